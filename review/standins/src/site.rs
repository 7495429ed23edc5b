//! A small deployment on loopback: the settings of `kabundukan-coastal-ferries`, or of `kla-hutgrid`, with few machines.

use crate::cloud::{Breed, Cloud, Host};
use crate::controllers::{Controllers, Surroundings};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::state::{Limits, State};
use crate::user::Users;
use crate::worker::{Behaviours, Gangs, Machine, Timing, Worker};
use crate::{cloud, lock, sleep};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// What a deployment is like.
#[derive(Clone)]
pub struct Plan {
    pub controllers: usize,
    pub zones: Vec<&'static str>,
    /// The first team's name.
    pub team: &'static str,
    /// The teams' names, their guaranteed GPUs and the most GPUs that each may use.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub breed: Breed,
    pub timing: Timing,
    pub cancel_s: f64,
    pub state: Limits,
    pub cloud: cloud::Limits,
    /// Further lines of the settings: objectives and the limits of the process.
    pub further: &'static str,
}

impl Plan {
    /// The deployment of the coastal ferries.
    pub fn ferries() -> Self {
        Plan {
            controllers: 5,
            zones: vec!["siargao-east", "camiguin-bay"],
            team: "harbor-desk",
            teams: vec![("harbor-desk", 0.0, 0.0)],
            breed: Breed {
                name: "daluyong-g24".into(),
                cpus: 24.0,
                gpus: 2.0,
                mem_gb: 192.0,
                hourly: 6.5,
                low_price: 2.25,
                startup_s: 50.0,
                valleys: vec!["siargao-east".into(), "camiguin-bay".into()],
            },
            timing: Timing { report_s: 5.0, lease_s: 29.0, gang_wait_s: 40.0, gang_peer_s: 6.0 },
            cancel_s: 59.0,
            state: Limits { rps: 90.0, write_rps: 35.0, value_kb: 8.0, txn_ops: 8, latency_s: 0.002 },
            cloud: cloud::Limits { rps: 5.0, list_lag_s: 3.0, latency_s: 0.08 },
            further: "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"tidecast-train\"\nwithin_s = 18.0\nshare = 0.82\n\n\
                [[deployment.objectives]]\nkind = \"finished\"\nclass = \"swellrisk-sweep\"\nwithin_s = 200.0\nshare = 0.78\n\n\
                [deployment.quota]\ncpu = 0.24\nmem_mb = 136.0\nmax_connections = 3000\n",
        }
    }

    /// The deployment of the hut grid as it began, without an aim for work within a guarantee, so that idle machines
    /// are given back.
    pub fn hut_grid() -> Self {
        Plan {
            controllers: 3,
            zones: vec!["luzon-north", "visayas-central", "mindanao-south"],
            team: "weather-unit",
            teams: vec![
                ("weather-unit", 40.0, 136.0),
                ("reservations-desk", 16.0, 40.0),
                ("ranger-ops", 16.0, 40.0),
                ("permits-office", 16.0, 48.0),
            ],
            breed: Breed {
                name: "bantay-g32".into(),
                cpus: 32.0,
                gpus: 4.0,
                mem_gb: 256.0,
                hourly: 13.2,
                low_price: 6.21,
                startup_s: 25.0,
                valleys: vec!["luzon-north".into(), "visayas-central".into(), "mindanao-south".into()],
            },
            timing: Timing { report_s: 2.0, lease_s: 12.0, gang_wait_s: 35.0, gang_peer_s: 8.0 },
            cancel_s: 37.0,
            state: Limits { rps: 150.0, write_rps: 50.0, value_kb: 16.0, txn_ops: 12, latency_s: 0.002 },
            cloud: cloud::Limits { rps: 2.0, list_lag_s: 10.0, latency_s: 0.1 },
            further: "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"ridgecast-train\"\nwithin_s = 50.0\nshare = 0.82\n\n\
                [[deployment.objectives]]\nkind = \"finished\"\nclass = \"bunkscore-sweep\"\nwithin_s = 180.0\nshare = 0.94\n\n\
                [deployment.quota]\ncpu = 0.096\nmem_mb = 72.0\nmax_connections = 1200\n",
        }
    }

    /// The deployment of the hut grid as it began, with its aim for work within a guarantee.
    pub fn hut_grid_with_guarantee() -> Self {
        let further = "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"ridgecast-train\"\nwithin_s = 50.0\nshare = 0.82\n\n\
            [[deployment.objectives]]\nkind = \"finished\"\nclass = \"ridgecast-train\"\nwithin_s = 250.0\nshare = 0.82\n\n\
            [[deployment.objectives]]\nkind = \"finished\"\nclass = \"bunkscore-sweep\"\nwithin_s = 100.0\nshare = 0.78\n\n\
            [[deployment.objectives]]\nkind = \"finished\"\nclass = \"bunkscore-sweep\"\nwithin_s = 180.0\nshare = 0.94\n\n\
            [[deployment.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.82\n\n\
            [deployment.quota]\ncpu = 0.096\nmem_mb = 72.0\nmax_connections = 1200\n";
        Plan {
            further,
            ..Plan::hut_grid()
        }
    }

    fn settings(&self) -> String {
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("{zone:?}")).collect();
        let team = |(name, gpus, gpus_max): &(&str, f64, f64)| {
            format!(
                "[[deployment.teams]]\nname = {name:?}\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:?}\ngpus_max = {gpus_max:?}\n\n"
            )
        };
        let teams: String = self.teams.iter().map(team).collect();
        format!(
            "[deployment]\ninitial_size = {}\nzones = [{}]\ntime_bound_ms = 1000.0\n\n{teams}\
             [deployment.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n\n\
             [deployment.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n\
             [deployment.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n{}",
            self.controllers,
            zones.join(", "),
            self.timing.report_s,
            self.timing.lease_s,
            self.timing.gang_wait_s,
            self.timing.gang_peer_s,
            self.cancel_s,
            self.state.rps,
            self.state.write_rps,
            self.state.value_kb,
            self.state.txn_ops,
            self.cloud.rps,
            self.cloud.list_lag_s,
            self.further
        )
    }
}

/// A running deployment.
pub struct Site {
    pub record: Record,
    pub plan: Plan,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub controllers: Controllers,
    pub users: Users,
    pub workers: Arc<Mutex<BTreeMap<String, Arc<Worker>>>>,
    pub gangs: Arc<Gangs>,
    to_state: Vec<Proxy>,
    /// The link from one controller to another.
    links: BTreeMap<(usize, usize), Proxy>,
    cloud_addrs: Vec<SocketAddr>,
}

impl Site {
    /// Prepares a deployment. The record and the temporary folder are the arguments of the program.
    pub fn prepare(plan: Plan) -> Self {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let (Some(record), Some(folder)) = (arguments.next(), arguments.next()) else {
            eprintln!("arguments: RECORD FOLDER");
            std::process::exit(crate::controllers::COULD_NOT_RUN);
        };
        let record = Record::create(&record).expect("create the record");
        record.say(format!(
            "disruption: {}",
            if crate::trouble() { "on" } else { "off" }
        ));
        let controllers = Controllers::new(&record, &folder, plan.controllers);
        let state = State::start(plan.state);
        let cloud = Cloud::start(&record, vec![plan.breed.clone()], plan.cloud);
        let nodes = 0..plan.controllers;
        let to_state = nodes
            .clone()
            .map(|node| Proxy::start(state.address_for(node)))
            .collect();
        let mut links = BTreeMap::new();
        for from in nodes.clone() {
            for to in nodes.clone().filter(|to| *to != from) {
                links.insert((from, to), Proxy::start(controllers.back[to]));
            }
        }
        let cloud_addrs = nodes.map(|node| cloud.address_for(node)).collect();
        let users = Users {
            record: record.clone(),
            controllers: controllers.public.clone(),
        };
        let workers: Arc<Mutex<BTreeMap<String, Arc<Worker>>>> = Arc::default();
        let gone = Arc::clone(&workers);
        cloud.on_gone(Arc::new(move |host: &str| {
            let worker = lock(&gone).get(host).cloned();
            if let Some(worker) = worker {
                worker.vanish();
            }
        }));
        Site {
            record,
            plan,
            state,
            cloud,
            controllers,
            users,
            workers,
            gangs: Arc::default(),
            to_state,
            links,
            cloud_addrs,
        }
    }

    /// Starts a controller.
    pub fn start_controller(&mut self, node: usize) {
        let peers = 0..self.plan.controllers;
        let peer = |to: usize| {
            self.links
                .get(&(node, to))
                .map_or(self.controllers.back[to], |link| link.addr)
        };
        let around = Surroundings {
            state: self.to_state[node].addr,
            cloud: self.cloud_addrs[node],
            peers: peers.map(peer).collect(),
        };
        let settings = self.plan.settings();
        let zones = self.plan.zones.clone();
        self.controllers.start(node, &zones, &around, &settings);
    }

    /// Starts all controllers.
    pub fn start_controllers(&mut self) {
        for node in 0..self.plan.controllers {
            self.start_controller(node);
        }
    }

    /// Cuts a controller from the state service and from the other controllers, or ends the cut. Users, workers and
    /// the cloud reach it all the time.
    pub fn cut_from_state_and_peers(&self, node: usize, cut: bool) {
        let what = if cut { "is cut" } else { "is no longer cut" };
        self.record.say(format!(
            "controller n{node} {what} from the state service and the other controllers"
        ));
        self.to_state[node].set_cut(cut);
        self.cut_links(node, cut);
    }

    /// Cuts a controller from the state service, or ends the cut.
    pub fn cut_from_state(&self, node: usize, cut: bool) {
        self.to_state[node].set_cut(cut);
    }

    /// Cuts a controller from the other controllers, or ends the cut.
    pub fn cut_links(&self, node: usize, cut: bool) {
        for ((from, to), link) in &self.links {
            if *from == node || *to == node {
                link.set_cut(cut);
            }
        }
    }

    /// Adds a machine that has been up for a while.
    pub fn add_machine(
        &self,
        host: &str,
        zone: usize,
        loaners: bool,
        behaviours: &Arc<Behaviours>,
    ) -> Arc<Worker> {
        let garage = self.garage(behaviours);
        let (worker, listed) = garage.start(host, self.plan.zones[zone], loaners, 0.0);
        self.cloud.add(listed);
        worker
    }

    /// Lets so many machines be rented. They take six tenths of the type's usual time to come up.
    pub fn offer_machines(&self, machines: u64, behaviours: &Arc<Behaviours>) {
        let garage = self.garage(behaviours);
        let boot_s = 0.6 * self.plan.breed.startup_s;
        self.cloud.offer(
            machines,
            Arc::new(move |ask: &cloud::Ask, host: &str| {
                garage.start(host, &ask.valley, ask.loaners, boot_s).1
            }),
        );
    }

    fn garage(&self, behaviours: &Arc<Behaviours>) -> Garage {
        Garage {
            record: self.record.clone(),
            breed: self.plan.breed.name.clone(),
            timing: self.plan.timing,
            behaviours: Arc::clone(behaviours),
            gangs: Arc::clone(&self.gangs),
            controllers: self.controllers.public.clone(),
            workers: Arc::clone(&self.workers),
        }
    }

    /// Waits until a condition holds. Returns whether it does in time.
    pub fn wait(&self, seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
        let until = self.record.now() + seconds;
        while self.record.now() < until {
            if condition() {
                return true;
            }
            sleep(0.003);
        }
        condition()
    }
}

/// Starts machines.
struct Garage {
    record: Record,
    breed: String,
    timing: Timing,
    behaviours: Arc<Behaviours>,
    gangs: Arc<Gangs>,
    controllers: Vec<SocketAddr>,
    workers: Arc<Mutex<BTreeMap<String, Arc<Worker>>>>,
}

impl Garage {
    /// Starts a machine. Returns its worker, and how the cloud lists the machine.
    fn start(&self, host: &str, valley: &str, loaners: bool, up_in_s: f64) -> (Arc<Worker>, Host) {
        let labels: Vec<String> = (0..self.controllers.len())
            .map(Controllers::label)
            .collect();
        let machine = Machine {
            host,
            breed: &self.breed,
            valley,
            loaners,
            up_in_s,
        };
        let first = host.len() % self.controllers.len();
        let worker = Worker::start(
            &self.record,
            &machine,
            self.timing,
            &self.behaviours,
            &self.gangs,
            &self.controllers,
            &labels,
            first,
        );
        lock(&self.workers).insert(host.to_string(), Arc::clone(&worker));
        let now = self.record.now();
        let is_old = up_in_s <= 0.0;
        let listed = Host {
            id: host.to_string(),
            endpoint: worker.endpoint,
            breed: self.breed.clone(),
            valley: valley.to_string(),
            loaners,
            since: if is_old { -60.0 } else { now },
            up_at: if is_old { -60.0 } else { now + up_in_s },
            failed_at: None,
            gone_at: None,
        };
        (worker, listed)
    }
}
