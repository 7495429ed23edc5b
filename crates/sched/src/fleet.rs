//! How many machines of which type, zone and kind are wanted.

use crate::{ClusterSnapshot, JobSnapshot, Resources};
use constants::RENT_MAX;

/// A type of machine in a zone, spot or not.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Type, as the caller numbers them.
    pub kind: usize,
    /// Zone, as the caller numbers them.
    pub zone: usize,
    /// Whether it is spot.
    pub spot: bool,
    /// What a machine has.
    pub total: Resources,
    /// Price an hour.
    pub price: f64,
    /// Whether it may be asked for now (the cloud did not just refuse it).
    pub open: bool,
}

/// What fleet planning sees besides the round's snapshot.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// What the cloud offers.
    pub offers: Vec<Offer>,
    /// Machines on their way, by offer.
    pub coming: Vec<u32>,
    /// Whether the objectives ask about money.
    pub thrifty: bool,
    /// Seconds until a machine rented now could run a task.
    pub horizon_s: f64,
}

/// Machines to ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentWish {
    /// Offer.
    pub offer: usize,
    /// How many.
    pub count: u32,
}

/// Room of machines that are alike.
#[derive(Clone, Copy)]
struct Room {
    kind: usize,
    zone: usize,
    spot: bool,
    free: Resources,
    count: u32,
}

/// Adds rooms, to those that are alike where there are any.
fn add_rooms(rooms: &mut Vec<Room>, room: Room) {
    let same = |r: &&mut Room| {
        (r.kind, r.zone, r.spot) == (room.kind, room.zone, room.spot) && r.free == room.free
    };
    match rooms.iter_mut().find(same) {
        Some(r) => r.count += room.count,
        None => rooms.push(room),
    }
}

/// Machines that the waiting work needs beyond what is there and coming.
///
/// Waiting tasks are packed into free and coming room; what is left over is packed into new machines, each task
/// on the offer with the lowest price for the task. Where money does not count, every open offer is asked for
/// as much as one request may: capacity shows only in what the cloud refuses.
pub fn plan_fleet(snapshot: &ClusterSnapshot, fleet: &FleetSnapshot) -> Vec<RentWish> {
    let mut wishes = vec![0u32; fleet.offers.len()];
    if !fleet.thrifty {
        for (i, offer) in fleet.offers.iter().enumerate() {
            wishes[i] = if offer.open { RENT_MAX } else { 0 };
        }
        return to_list(wishes);
    }
    let wants = |j: &&JobSnapshot| !j.waiting.is_empty() && !j.resting;
    let waiting = || snapshot.jobs.iter().filter(wants);
    let Some(least) = waiting().map(|j| j.task).reduce(|a, b| a.min(&b)) else {
        return Vec::new();
    };
    // Room that running tasks leave before a new machine could be up is as good as the new machine.
    let mut coming_free: Vec<Resources> = snapshot.machines.iter().map(|m| m.free).collect();
    for r in snapshot
        .running
        .iter()
        .filter(|r| r.left_s < fleet.horizon_s)
    {
        coming_free[r.machine].add(&r.resources);
    }
    // Full machines are of no interest, and machines that are alike count together: a large fleet comes down
    // to a few rooms.
    let mut rooms: Vec<Room> = Vec::new();
    for (m, free) in snapshot.machines.iter().zip(coming_free) {
        if m.usable && free.fits(&least) {
            let (kind, zone, spot) = (m.kind, m.zone, m.spot);
            add_rooms(
                &mut rooms,
                Room {
                    kind,
                    zone,
                    spot,
                    free,
                    count: 1,
                },
            );
        }
    }
    for (offer, &count) in fleet.offers.iter().zip(&fleet.coming) {
        if count > 0 {
            add_rooms(
                &mut rooms,
                Room {
                    kind: offer.kind,
                    zone: offer.zone,
                    spot: offer.spot,
                    free: offer.total,
                    count,
                },
            );
        }
    }
    let mut teams = snapshot.teams.clone();
    let mut order: Vec<usize> = (0..snapshot.jobs.len())
        .filter(|&j| wants(&&snapshot.jobs[j]))
        .collect();
    order.sort_by_key(|&j| (!snapshot.jobs[j].gang, snapshot.jobs[j].order));
    for j in order {
        let job = &snapshot.jobs[j];
        // Tasks by zone, those on machines included: machines in a zone the job can't use are of no help to it.
        let mut by_zone = job.zones_used.clone();
        let only = job
            .one_zone
            .then(|| home_zone(job, &rooms, fleet))
            .flatten();
        let mut left = job.waiting.len() as u32;
        while left > 0 {
            if !teams[job.team].allows(&job.task) {
                break;
            }
            let cap = |zone: usize| {
                let used = in_zone(&by_zone, zone);
                job.zone_cap
                    .map_or(u32::MAX, |cap| cap.saturating_sub(used))
            };
            let suits = |kind: usize, zone: usize, spot: bool| {
                (job.spot || !spot)
                    && job.zone.is_none_or(|z| z == zone)
                    && only.is_none_or(|z| z == zone)
                    && cap(zone) > 0
                    && job.kinds.as_ref().is_none_or(|k| k.contains(&kind))
            };
            let there = (0..rooms.len())
                .filter(|&i| {
                    let r = &rooms[i];
                    r.count > 0 && r.free.fits(&job.task) && suits(r.kind, r.zone, r.spot)
                })
                .min_by(|&a, &b| {
                    (rooms[a].free.gpus, !rooms[a].spot)
                        .partial_cmp(&(rooms[b].free.gpus, !rooms[b].spot))
                        .unwrap_or(std::cmp::Ordering::Equal)
                });
            let room = match there {
                Some(i) => {
                    rooms[i].count -= 1;
                    Room {
                        count: 1,
                        ..rooms[i]
                    }
                }
                None => {
                    let price =
                        |o: &Offer| o.price / f64::from(o.total.holds(&job.task, 1000).max(1));
                    let cheapest = (0..fleet.offers.len())
                        .filter(|&i| {
                            let o = &fleet.offers[i];
                            o.open && suits(o.kind, o.zone, o.spot) && o.total.fits(&job.task)
                        })
                        .min_by(|&a, &b| {
                            price(&fleet.offers[a]).total_cmp(&price(&fleet.offers[b]))
                        });
                    let Some(i) = cheapest else { break };
                    wishes[i] += 1;
                    let o = &fleet.offers[i];
                    Room {
                        kind: o.kind,
                        zone: o.zone,
                        spot: o.spot,
                        free: o.total,
                        count: 1,
                    }
                }
            };
            let mut n = 0;
            let mut rest = room;
            while n < left.min(cap(room.zone)) && rest.free.fits(&job.task) {
                if n > 0 && !teams[job.team].allows(&job.task) {
                    break;
                }
                rest.free.sub(&job.task);
                teams[job.team].used.add(&job.task);
                n += 1;
            }
            by_zone.push((room.zone, n));
            left -= n;
            if rest.free.fits(&least) {
                add_rooms(&mut rooms, rest);
            }
        }
    }
    to_list(wishes)
}

fn in_zone(by_zone: &[(usize, u32)], zone: usize) -> u32 {
    let here = by_zone.iter().filter(|(z, _)| *z == zone);
    here.map(|(_, n)| n).sum()
}

/// The zone for a job that must stay in one: where it is, else where most room is, else where most is offered.
fn home_zone(job: &crate::JobSnapshot, rooms: &[Room], fleet: &FleetSnapshot) -> Option<usize> {
    if let Some((zone, _)) = job.zones_used.iter().find(|(_, n)| *n > 0) {
        return Some(*zone);
    }
    let allowed = |kind: &usize, zone: &usize, spot: bool| {
        (job.spot || !spot)
            && job.zone.is_none_or(|z| z == *zone)
            && job.kinds.as_ref().is_none_or(|k| k.contains(kind))
    };
    let need = job.waiting.len() as u32;
    let mut zones: Vec<(usize, u32, bool)> = Vec::new();
    let mut note = |zone: usize, n: u32, offered: bool| match zones.iter_mut().find(|z| z.0 == zone)
    {
        Some(z) => (z.1, z.2) = (z.1.saturating_add(n), z.2 || offered),
        None => zones.push((zone, n, offered)),
    };
    for r in rooms {
        let n = r.free.holds(&job.task, need).saturating_mul(r.count);
        if n > 0 && allowed(&r.kind, &r.zone, r.spot) {
            note(r.zone, n, false);
        }
    }
    for o in fleet.offers.iter().filter(|o| o.open) {
        if o.total.fits(&job.task) && allowed(&o.kind, &o.zone, o.spot) {
            note(o.zone, 0, true);
        }
    }
    // Room enough is best, else where more can be had, else where most is.
    let best = zones
        .iter()
        .max_by_key(|(z, n, offered)| (*n >= need, *offered, *n, usize::MAX - z));
    best.map(|(z, ..)| *z)
}

fn to_list(wishes: Vec<u32>) -> Vec<RentWish> {
    wishes
        .into_iter()
        .enumerate()
        .filter(|(_, n)| *n > 0)
        .map(|(offer, count)| RentWish { offer, count })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{MachineSnapshot, TeamSnapshot};

    /// Found by a story: room in two zones counted as enough for a gang that must stay in one, and machines were
    /// rented in a zone that its other tasks ruled out.
    #[test]
    fn a_gang_of_one_zone_is_given_machines_in_its_zone() {
        let total = Resources {
            cpus: 32.0,
            gpus: 4.0,
            memory_gb: 256.0,
        };
        let machine = |zone| MachineSnapshot {
            kind: 0,
            zone,
            spot: false,
            free: total,
            soon: total,
            total,
            usable: true,
            slots: 9,
            pilots: 0,
            slow: false,
            images: vec![],
            busy_s: 0.0,
            reach_s: 0.0,
            coming_s: None,
        };
        let mut job = JobSnapshot {
            team: 0,
            gang: true,
            service: false,
            priority: 1,
            task: total,
            kinds: None,
            zone: None,
            one_zone: true,
            zone_cap: None,
            zones_used: vec![],
            spot: false,
            fragile: false,
            image: 0,
            waiting: vec![0, 1],
            pilots_due: 0,
            sampling: false,
            queue: 0,
            order: 0,
            running: 0,
            avoid: vec![],
            reserved_machines: vec![],
            overdue: false,
            resting: false,
            may_claim_limit: true,
            aims: true,
        };
        let offer = |zone| Offer {
            kind: 0,
            zone,
            spot: false,
            total,
            price: 1.0,
            open: true,
        };
        let fleet = FleetSnapshot {
            offers: vec![offer(0), offer(1)],
            coming: vec![0, 0],
            thrifty: true,
            horizon_s: 0.0,
        };
        let snapshot = |job: &JobSnapshot, machines| ClusterSnapshot {
            machines,
            teams: vec![TeamSnapshot::default()],
            jobs: vec![job.clone()],
            running: vec![],
        };
        let one_each = plan_fleet(&snapshot(&job, vec![machine(0), machine(1)]), &fleet);
        assert_eq!(one_each, vec![RentWish { offer: 0, count: 1 }]);
        job.zones_used = vec![(1, 1)];
        job.waiting = vec![1];
        let rest = plan_fleet(&snapshot(&job, vec![machine(0)]), &fleet);
        assert_eq!(rest, vec![RentWish { offer: 1, count: 1 }]);
    }
}
