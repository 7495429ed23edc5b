//! How many machines of which type, zone and kind are wanted.

use crate::{ClusterSnapshot, JobSnapshot, Resources, RunningTask, TeamSnapshot};
use constants::RENT_MAX;

/// Tasks on one machine, at most, by which an offer's price is divided.
const PRICED_TASKS: u32 = 1000;

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
    pub minimizes_cost: bool,
    /// Seconds until a machine rented now could run a task.
    pub horizon_s: f64,
}

/// Machines to ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentRequest {
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

impl Room {
    /// Room of new machines.
    fn of_offer(offer: &Offer, count: u32) -> Self {
        Room {
            kind: offer.kind,
            zone: offer.zone,
            spot: offer.spot,
            free: offer.total,
            count,
        }
    }
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
pub fn plan_fleet(snapshot: &ClusterSnapshot, fleet: &FleetSnapshot) -> Vec<RentRequest> {
    if !fleet.minimizes_cost {
        let all = |offer: &Offer| if offer.open { RENT_MAX } else { 0 };
        return to_list(fleet.offers.iter().map(all).collect());
    }
    let is_waiting = |job: &&JobSnapshot| !job.waiting.is_empty() && !job.resting;
    let mut waiting: Vec<&JobSnapshot> = snapshot.jobs.iter().filter(is_waiting).collect();
    let tasks = waiting.iter().map(|job| job.task);
    let Some(smallest_task) = tasks.reduce(|a, b| a.min(&b)) else {
        return Vec::new();
    };
    waiting.sort_by_key(|job| (!job.gang, job.order));
    let mut packing = Packing {
        fleet,
        smallest_task,
        rooms: available_rooms(snapshot, fleet, &smallest_task),
        teams: snapshot.teams.clone(),
        requests_by_offer: vec![0; fleet.offers.len()],
    };
    for job in waiting {
        packing.pack(job);
    }
    to_list(packing.requests_by_offer)
}

/// Room on machines that are there or coming. Room that running tasks leave before a new machine could be up is as good
/// as the new machine. Full machines are of no interest, and machines that are alike count together: a large fleet comes
/// down to a few rooms.
fn available_rooms(
    snapshot: &ClusterSnapshot,
    fleet: &FleetSnapshot,
    smallest_task: &Resources,
) -> Vec<Room> {
    let mut free_soon: Vec<Resources> = snapshot.machines.iter().map(|m| m.free).collect();
    let ends_soon = |task: &&RunningTask| task.left_s < fleet.horizon_s;
    for task in snapshot.running.iter().filter(ends_soon) {
        free_soon[task.machine].add(&task.resources);
    }
    let mut rooms: Vec<Room> = Vec::new();
    for (machine, free) in snapshot.machines.iter().zip(free_soon) {
        if machine.usable && free.fits(smallest_task) {
            let room = Room {
                kind: machine.kind,
                zone: machine.zone,
                spot: machine.spot,
                free,
                count: 1,
            };
            add_rooms(&mut rooms, room);
        }
    }
    for (offer, &count) in fleet.offers.iter().zip(&fleet.coming) {
        if count > 0 {
            add_rooms(&mut rooms, Room::of_offer(offer, count));
        }
    }
    rooms
}

/// Waiting tasks being packed into rooms and new machines.
struct Packing<'a> {
    fleet: &'a FleetSnapshot,
    /// The least that any waiting task takes, resource by resource.
    smallest_task: Resources,
    rooms: Vec<Room>,
    /// With what has been packed counted as used.
    teams: Vec<TeamSnapshot>,
    /// Machines to rent, by offer.
    requests_by_offer: Vec<u32>,
}

/// Where tasks of one job may be packed.
struct Constraints<'a> {
    job: &'a JobSnapshot,
    /// The zone of a job that must stay in one.
    only_zone: Option<usize>,
    /// Tasks by zone, those on machines included: machines in a zone the job can't use are of no help to it.
    tasks_by_zone: Vec<(usize, u32)>,
}

impl Constraints<'_> {
    /// How many more tasks a zone may hold.
    fn zone_capacity(&self, zone: usize) -> u32 {
        let used = in_zone(&self.tasks_by_zone, zone);
        let cap = self.job.zone_cap;
        cap.map_or(u32::MAX, |cap| cap.saturating_sub(used))
    }

    fn allow(&self, kind: usize, zone: usize, spot: bool) -> bool {
        may_use(self.job, kind, zone, spot)
            && self.only_zone.is_none_or(|only| only == zone)
            && self.zone_capacity(zone) > 0
    }
}

impl Packing<'_> {
    /// Packs all waiting tasks of a job, as far as its team's limit and the offers go.
    fn pack(&mut self, job: &JobSnapshot) {
        let home = || home_zone(job, &self.rooms, self.fleet);
        let mut constraints = Constraints {
            job,
            only_zone: job.one_zone.then(home).flatten(),
            tasks_by_zone: job.zones_used.clone(),
        };
        let mut left = job.waiting.len() as u32;
        while left > 0 && self.teams[job.team].allows(&job.task) {
            let room = self.take_room(&constraints);
            let Some(room) = room.or_else(|| self.rent_room(&constraints)) else {
                break;
            };
            let most = left.min(constraints.zone_capacity(room.zone));
            let packed = self.fill(job, room, most);
            constraints.tasks_by_zone.push((room.zone, packed));
            left -= packed;
        }
    }

    /// Takes the tightest room that is there, spot machines first.
    fn take_room(&mut self, constraints: &Constraints) -> Option<Room> {
        let suits = |room: &Room| {
            room.count > 0
                && room.free.fits(&constraints.job.task)
                && constraints.allow(room.kind, room.zone, room.spot)
        };
        let tightness = |room: &Room| (room.free.gpus, !room.spot);
        let room = self
            .rooms
            .iter_mut()
            .filter(|room| suits(room))
            .min_by(|a, b| {
                let order = tightness(a).partial_cmp(&tightness(b));
                order.unwrap_or(std::cmp::Ordering::Equal)
            })?;
        room.count -= 1;
        Some(Room { count: 1, ..*room })
    }

    /// Wishes for a machine of the offer that is cheapest for a task.
    fn rent_room(&mut self, constraints: &Constraints) -> Option<Room> {
        let task = &constraints.job.task;
        let price =
            |offer: &Offer| offer.price / f64::from(offer.total.holds(task, PRICED_TASKS).max(1));
        let suits = |offer: &Offer| {
            offer.open
                && constraints.allow(offer.kind, offer.zone, offer.spot)
                && offer.total.fits(task)
        };
        let offers = self.fleet.offers.iter().enumerate();
        let (number, cheapest) = offers
            .filter(|(_, offer)| suits(offer))
            .min_by(|(_, a), (_, b)| price(a).total_cmp(&price(b)))?;
        self.requests_by_offer[number] += 1;
        Some(Room::of_offer(cheapest, 1))
    }

    /// Packs tasks into a room, the first one in any case; returns how many. What is left of the room stays available.
    fn fill(&mut self, job: &JobSnapshot, mut room: Room, most: u32) -> u32 {
        let mut packed = 0;
        while packed < most && room.free.fits(&job.task) {
            if packed > 0 && !self.teams[job.team].allows(&job.task) {
                break;
            }
            room.free.sub(&job.task);
            self.teams[job.team].used.add(&job.task);
            packed += 1;
        }
        if room.free.fits(&self.smallest_task) {
            add_rooms(&mut self.rooms, room);
        }
        packed
    }
}

fn in_zone(tasks_by_zone: &[(usize, u32)], zone: usize) -> u32 {
    let here = tasks_by_zone.iter().filter(|(z, _)| *z == zone);
    here.map(|(_, tasks)| tasks).sum()
}

/// Whether tasks of a job may go to machines of a type, zone and kind.
fn may_use(job: &JobSnapshot, kind: usize, zone: usize, spot: bool) -> bool {
    (job.spot || !spot)
        && job.zone.is_none_or(|only| only == zone)
        && job.kinds.as_ref().is_none_or(|kinds| kinds.contains(&kind))
}

/// The zone for a job that must stay in one: where it is, else where most room is, else where most is offered.
fn home_zone(job: &JobSnapshot, rooms: &[Room], fleet: &FleetSnapshot) -> Option<usize> {
    if let Some((zone, _)) = job.zones_used.iter().find(|(_, n)| *n > 0) {
        return Some(*zone);
    }
    let need = job.waiting.len() as u32;
    let mut zones: Vec<(usize, u32, bool)> = Vec::new();
    let mut note = |zone: usize, n: u32, offered: bool| match zones.iter_mut().find(|z| z.0 == zone)
    {
        Some(z) => (z.1, z.2) = (z.1.saturating_add(n), z.2 || offered),
        None => zones.push((zone, n, offered)),
    };
    for r in rooms {
        let n = r.free.holds(&job.task, need).saturating_mul(r.count);
        if n > 0 && may_use(job, r.kind, r.zone, r.spot) {
            note(r.zone, n, false);
        }
    }
    for o in fleet.offers.iter().filter(|o| o.open) {
        if o.total.fits(&job.task) && may_use(job, o.kind, o.zone, o.spot) {
            note(o.zone, 0, true);
        }
    }
    // Room enough is best, else where more can be had, else where most is.
    let best = zones
        .iter()
        .max_by_key(|(z, n, offered)| (*n >= need, *offered, *n, usize::MAX - z));
    best.map(|(z, ..)| *z)
}

fn to_list(requests_by_offer: Vec<u32>) -> Vec<RentRequest> {
    requests_by_offer
        .into_iter()
        .enumerate()
        .filter(|(_, n)| *n > 0)
        .map(|(offer, count)| RentRequest { offer, count })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::MachineSnapshot;

    /// Found by a scenario: room in two zones counted as enough for a gang that must stay in one, and machines were
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
            minimizes_cost: true,
            horizon_s: 0.0,
        };
        let snapshot = |job: &JobSnapshot, machines| ClusterSnapshot {
            machines,
            teams: vec![TeamSnapshot::default()],
            jobs: vec![job.clone()],
            running: vec![],
        };
        let one_each = plan_fleet(&snapshot(&job, vec![machine(0), machine(1)]), &fleet);
        assert_eq!(one_each, vec![RentRequest { offer: 0, count: 1 }]);
        job.zones_used = vec![(1, 1)];
        job.waiting = vec![1];
        let rest = plan_fleet(&snapshot(&job, vec![machine(0)]), &fleet);
        assert_eq!(rest, vec![RentRequest { offer: 1, count: 1 }]);
    }
}
