//! The cloud: rents machines, lists them late, and takes them back.

use crate::cbor::{decode, encode, get, get_int, get_list, get_text, map, text, Value};
use crate::http::{listen, serve, Reply};
use crate::record::Record;
use crate::{lock, sleep, Bucket};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A machine type.
#[derive(Clone)]
pub struct Breed {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub hourly: f64,
    pub low_price: f64,
    pub startup_s: f64,
    pub valleys: Vec<String>,
}

/// Limits of the cloud.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub list_lag_s: f64,
    /// Time that an answer takes, in seconds.
    pub latency_s: f64,
}

/// A machine that the cloud has rented out.
#[derive(Clone)]
pub struct Host {
    pub id: String,
    pub endpoint: SocketAddr,
    pub breed: String,
    pub valley: String,
    pub loaners: bool,
    /// When it was rented; machines that are up at the start have a time before it.
    pub since: f64,
    /// When its worker began, or will begin, to report.
    pub up_at: f64,
    /// When it stopped by itself.
    pub failed_at: Option<f64>,
    /// When it was given back or taken.
    pub gone_at: Option<f64>,
}

/// A return request that the cloud has carried out.
#[derive(Clone)]
pub struct Returned {
    pub at: f64,
    /// The controller that asked, by number.
    pub node: usize,
    pub hosts: Vec<String>,
}

/// A rental request.
pub struct Ask {
    pub breed: String,
    pub valley: String,
    pub loaners: bool,
}

/// Called for each machine that is rented, with its name. It starts the machine, and returns how the cloud lists it.
pub type OnRent = dyn Fn(&Ask, &str) -> Host + Send + Sync;

struct Market {
    /// How many machines may still be rented.
    left: u64,
    /// The answers so far, by request name.
    asks: BTreeMap<String, Vec<String>>,
    hosts: BTreeMap<String, Host>,
    calls: Bucket,
    returns: Vec<Returned>,
}

/// Called with the name of each machine that is given back.
pub type OnGone = dyn Fn(&str) + Send + Sync;

/// A running cloud. It has no more machines than those it was started with, unless some are added to be rented.
pub struct Cloud {
    record: Record,
    breeds: Vec<Breed>,
    limits: Limits,
    market: Mutex<Market>,
    on_gone: Mutex<Option<Arc<OnGone>>>,
    on_rent: Mutex<Option<Arc<OnRent>>>,
}

impl Cloud {
    /// Starts the cloud.
    pub fn start(record: &Record, breeds: Vec<Breed>, limits: Limits) -> Arc<Self> {
        Arc::new(Cloud {
            record: record.clone(),
            breeds,
            limits,
            market: Mutex::new(Market {
                left: 0,
                asks: BTreeMap::new(),
                hosts: BTreeMap::new(),
                calls: Bucket::new(limits.rps, 2.0),
                returns: Vec::new(),
            }),
            on_gone: Mutex::new(None),
            on_rent: Mutex::new(None),
        })
    }

    /// Opens an address of the cloud for one controller, so that the cloud can tell who calls.
    pub fn address_for(self: &Arc<Self>, node: usize) -> SocketAddr {
        let (listener, addr) = listen();
        let cloud = Arc::clone(self);
        serve(
            listener,
            Arc::new(move |method: &str, target: &str, body: &[u8]| {
                cloud.handle(node, method, target, body)
            }),
        );
        addr
    }

    /// Adds a machine.
    pub fn add(&self, host: Host) {
        lock(&self.market).hosts.insert(host.id.clone(), host);
    }

    /// Marks a machine as stopped by itself. It is listed so after some 30 s.
    pub fn fail(&self, id: &str) {
        if let Some(host) = lock(&self.market).hosts.get_mut(id) {
            host.failed_at = Some(self.record.now());
        }
    }

    /// Sets what is called when a machine is given back.
    pub fn on_gone(&self, call: Arc<OnGone>) {
        *lock(&self.on_gone) = Some(call);
    }

    /// Lets so many machines be rented.
    pub fn offer(&self, machines: u64, start: Arc<OnRent>) {
        lock(&self.market).left = machines;
        *lock(&self.on_rent) = Some(start);
    }

    /// Number of requests for machines so far that were filled.
    pub fn rentals(&self) -> usize {
        lock(&self.market).asks.len()
    }

    /// The return requests so far.
    pub fn returns(&self) -> Vec<Returned> {
        lock(&self.market).returns.clone()
    }

    fn handle(&self, node: usize, method: &str, target: &str, body: &[u8]) -> Reply {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if !lock(&self.market).calls.take(1.0) {
            self.record
                .say(format!("cloud n{node} {method} {path} -> 429"));
            return Reply::Answer(429, Vec::new());
        }
        let request = decode(body).unwrap_or(Value::Null);
        let (status, answer) = match (method, path) {
            ("GET", "/machine_types") => (200, self.types()),
            ("GET", "/hosts") => (200, self.list(query)),
            ("POST", "/hosts") => self.rent(node, &request),
            ("POST", "/hosts/return") => (200, self.take_back(node, &request)),
            _ => (400, Value::Null),
        };
        sleep(self.limits.latency_s);
        Reply::Answer(status, encode(&answer))
    }

    /// A repeated request gets the same answer and rents nothing.
    fn rent(&self, node: usize, request: &Value) -> (u16, Value) {
        let field = |name: &str| get_text(request, name).unwrap_or("").to_string();
        let (ask, number) = (
            field("ask"),
            get_int(request, "number").unwrap_or(0).min(50),
        );
        let loaners = matches!(get(request, "loaners"), Some(Value::Bool(true)));
        let details = Ask {
            breed: field("breed"),
            valley: field("valley"),
            loaners,
        };
        let mut market = lock(&self.market);
        let known = market.asks.get(&ask).cloned();
        let names = known.unwrap_or_else(|| {
            let rented = number.min(market.left);
            let first = 1_000 - market.left;
            market.left -= rented;
            let names: Vec<String> = (first..first + rented)
                .map(|n| format!("vm-{n:06}"))
                .collect();
            let start = lock(&self.on_rent).clone();
            for name in &names {
                if let Some(start) = &start {
                    market.hosts.insert(name.clone(), start(&details, name));
                }
            }
            if !names.is_empty() {
                market.asks.insert(ask.clone(), names.clone());
            }
            names
        });
        drop(market);
        if names.is_empty() {
            self.record.say(format!(
                "cloud n{node} rent {ask} {number} -> 503 no capacity"
            ));
            return (503, map(vec![("error", text("no capacity"))]));
        }
        self.record
            .say(format!("cloud n{node} rent {ask} {number} -> {names:?}"));
        let names = names.iter().map(|name| text(name)).collect();
        (200, map(vec![("hosts", Value::Array(names))]))
    }

    fn types(&self) -> Value {
        let breed = |breed: &Breed| {
            map(vec![
                ("name", text(&breed.name)),
                ("cpus", Value::Float(breed.cpus)),
                ("gpus", Value::Float(breed.gpus)),
                ("mem_gb", Value::Float(breed.mem_gb)),
                ("local_gb", Value::Float(60.0)),
                ("fetch_gb_per_s", Value::Float(1.0)),
                ("hourly", Value::Float(breed.hourly)),
                ("low_price", Value::Float(breed.low_price)),
                ("startup_s", Value::Float(breed.startup_s)),
                (
                    "valleys",
                    Value::Array(breed.valleys.iter().map(|v| text(v)).collect()),
                ),
            ])
        };
        map(vec![(
            "breeds",
            Value::Array(self.breeds.iter().map(breed).collect()),
        )])
    }

    /// The machines as they were `list_lag_s` ago.
    fn list(&self, query: &str) -> Value {
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| {
                pair.strip_prefix(name)?
                    .strip_prefix('=')
                    .map(str::to_string)
            })
        };
        let from = parameter("from").unwrap_or_default();
        let limit: usize = parameter("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(500);
        let as_of = self.record.now() - self.limits.list_lag_s;
        let market = lock(&self.market);
        let is_listed = |host: &&Host| {
            host.id > from && host.since <= as_of && host.gone_at.is_none_or(|gone| gone > as_of)
        };
        let mut hosts: Vec<Value> = Vec::new();
        let mut has_next = false;
        for host in market.hosts.values().filter(is_listed) {
            if hosts.len() >= limit.min(500) {
                has_next = true;
                break;
            }
            let is_failed = host
                .failed_at
                .is_some_and(|at| at + 30.0 <= self.record.now());
            let phase = match is_failed {
                true => "failed",
                false if host.up_at > as_of => "booting",
                false => "running",
            };
            hosts.push(map(vec![
                ("id", text(&host.id)),
                ("endpoint", text(&host.endpoint.to_string())),
                ("breed", text(&host.breed)),
                ("valley", text(&host.valley)),
                ("loaners", Value::Bool(host.loaners)),
                ("phase", text(phase)),
                ("held_s", Value::Float(as_of - host.since)),
            ]));
        }
        map(vec![
            ("hosts", Value::Array(hosts)),
            ("has_next", Value::Bool(has_next)),
        ])
    }

    fn take_back(&self, node: usize, request: &Value) -> Value {
        let names = get_list(request, "hosts").iter();
        let names: Vec<String> = names
            .filter_map(|name| match name {
                Value::Text(name) => Some(name.clone()),
                _ => None,
            })
            .collect();
        let at = self.record.now();
        self.record.say(format!("cloud n{node} return {names:?}"));
        let on_gone = lock(&self.on_gone).clone();
        for name in &names {
            let mut market = lock(&self.market);
            let host = market
                .hosts
                .get_mut(name)
                .filter(|host| host.gone_at.is_none());
            let Some(host) = host else { continue };
            host.gone_at = Some(at);
            drop(market);
            if let Some(call) = &on_gone {
                call(name);
            }
        }
        lock(&self.market).returns.push(Returned {
            at,
            node,
            hosts: names,
        });
        Value::Map(Vec::new())
    }
}
