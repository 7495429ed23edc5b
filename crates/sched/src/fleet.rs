//! How many machines of which type, zone and kind are wanted.

use crate::{Res, View};
use constants::STANDING_ASK;

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
    pub total: Res,
    /// Price an hour.
    pub price: f64,
    /// Whether it may be asked for now (the cloud did not just refuse it).
    pub open: bool,
}

/// What fleet planning sees besides the round's view.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
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

/// Machines that the waiting work needs beyond what is there and coming.
///
/// Waiting tasks are packed into free and coming room; what is left over is packed into new machines, each task
/// on the offer with the lowest price for the task. Where money does not count, every open offer is asked for
/// more, up to what the cloud gives: capacity shows only in what it refuses.
pub fn plan_fleet(view: &View, fleet: &FleetView) -> Vec<RentWish> {
    let mut wishes = vec![0u32; fleet.offers.len()];
    if !fleet.thrifty {
        for (i, offer) in fleet.offers.iter().enumerate() {
            wishes[i] = if offer.open { STANDING_ASK } else { 0 };
        }
        return to_list(wishes);
    }
    // Room that running tasks leave before a new machine could be up is as good as the new machine.
    let mut coming_free: Vec<Res> = view.machines.iter().map(|m| m.free).collect();
    for r in view.running.iter().filter(|r| r.left_s < fleet.horizon_s) {
        coming_free[r.machine].add(&r.res);
    }
    let mut rooms: Vec<(usize, usize, bool, Res)> = view
        .machines
        .iter()
        .zip(coming_free)
        .filter(|(m, _)| m.usable)
        .map(|(m, free)| (m.kind, m.zone, m.spot, free))
        .collect();
    for (offer, n) in fleet.offers.iter().zip(&fleet.coming) {
        for _ in 0..*n {
            rooms.push((offer.kind, offer.zone, offer.spot, offer.total));
        }
    }
    let mut teams = view.teams.clone();
    let mut order: Vec<usize> = (0..view.jobs.len()).collect();
    order.sort_by_key(|&j| (!view.jobs[j].gang, view.jobs[j].order));
    for j in order {
        let job = &view.jobs[j];
        // Tasks by zone, those on machines included: machines in a zone the job can't use are of no help to it.
        let mut by_zone = job.zones_used.clone();
        let only = job
            .one_zone
            .then(|| home_zone(job, &rooms, fleet))
            .flatten();
        for _ in &job.waiting {
            if !teams[job.team].allows(&job.task) {
                break;
            }
            let suits = |kind: usize, zone: usize, spot: bool| {
                (job.spot || !spot)
                    && job.zone.is_none_or(|z| z == zone)
                    && only.is_none_or(|z| z == zone)
                    && job.zone_cap.is_none_or(|cap| in_zone(&by_zone, zone) < cap)
                    && job.kinds.as_ref().is_none_or(|k| k.contains(&kind))
            };
            teams[job.team].used.add(&job.task);
            let there = rooms
                .iter_mut()
                .filter(|(k, z, s, room)| suits(*k, *z, *s) && room.fits(&job.task))
                .min_by(|a, b| {
                    (a.3.gpus, !a.2)
                        .partial_cmp(&(b.3.gpus, !b.2))
                        .unwrap_or(std::cmp::Ordering::Equal)
                });
            if let Some((_, zone, _, room)) = there {
                room.sub(&job.task);
                by_zone.push((*zone, 1));
                continue;
            }
            let cheapest = fleet
                .offers
                .iter()
                .enumerate()
                .filter(|(_, o)| o.open && suits(o.kind, o.zone, o.spot) && o.total.fits(&job.task))
                .map(|(i, o)| {
                    (
                        o.price / f64::from(o.total.holds(&job.task, 1000).max(1)),
                        i,
                    )
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, i)) = cheapest {
                wishes[i] += 1;
                let o = &fleet.offers[i];
                let mut room = o.total;
                room.sub(&job.task);
                by_zone.push((o.zone, 1));
                rooms.push((o.kind, o.zone, o.spot, room));
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
fn home_zone(
    job: &crate::JobView,
    rooms: &[(usize, usize, bool, Res)],
    fleet: &FleetView,
) -> Option<usize> {
    if let Some((zone, _)) = job.zones_used.iter().find(|(_, n)| *n > 0) {
        return Some(*zone);
    }
    let allowed = |kind: &usize, zone: &usize, spot: bool| {
        (job.spot || !spot)
            && job.zone.is_none_or(|z| z == *zone)
            && job.kinds.as_ref().is_none_or(|k| k.contains(kind))
    };
    let open = fleet.offers.iter().filter(|o| o.open);
    let offered = open.map(|o| (&o.kind, &o.zone, o.spot, &o.total, 0));
    let there = rooms.iter().map(|(k, z, s, r)| (k, z, *s, r, 1_000));
    let mut score: Vec<(usize, u32)> = Vec::new();
    for (kind, zone, spot, room, weight) in there.chain(offered) {
        let n = room.holds(&job.task, 1_000);
        if n > 0 && allowed(kind, zone, spot) {
            score.push((*zone, n * weight + 1));
        }
    }
    let best = score
        .iter()
        .max_by_key(|(z, _)| (in_zone(&score, *z), usize::MAX - z));
    best.map(|(z, _)| *z)
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
    use crate::{JobView, MachineView, TeamView};

    /// Found by a story: room in two zones counted as enough for a gang that must stay in one, and machines were
    /// rented in a zone that its other tasks ruled out.
    #[test]
    fn a_gang_of_one_zone_is_given_machines_in_its_zone() {
        let total = Res {
            cpus: 32.0,
            gpus: 4.0,
            mem: 256.0,
        };
        let machine = |zone| MachineView {
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
        };
        let mut job = JobView {
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
            image: 0,
            waiting: vec![0, 1],
            pilots_due: 0,
            sampling: false,
            queue: 0,
            order: 0,
            running: 0,
            avoid: vec![],
            kept: vec![],
        };
        let offer = |zone| Offer {
            kind: 0,
            zone,
            spot: false,
            total,
            price: 1.0,
            open: true,
        };
        let fleet = FleetView {
            offers: vec![offer(0), offer(1)],
            coming: vec![0, 0],
            thrifty: true,
            horizon_s: 0.0,
        };
        let view = |job: &JobView, machines| View {
            machines,
            teams: vec![TeamView::default()],
            jobs: vec![job.clone()],
            running: vec![],
        };
        let one_each = plan_fleet(&view(&job, vec![machine(0), machine(1)]), &fleet);
        assert_eq!(one_each, vec![RentWish { offer: 0, count: 1 }]);
        job.zones_used = vec![(1, 1)];
        job.waiting = vec![1];
        let rest = plan_fleet(&view(&job, vec![machine(0)]), &fleet);
        assert_eq!(rest, vec![RentWish { offer: 1, count: 1 }]);
    }
}
