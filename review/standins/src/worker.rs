//! Workers: one for each machine. They report, keep a lease, and run tasks.

use crate::cbor::{
    decode, encode, get_int, get_list, get_number, get_text, int, json, map, text, Value,
};
use crate::http::{listen, serve, Client, Reply};
use crate::record::Record;
use crate::{lock, sleep};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Timing of workers, as the settings name it.
#[derive(Clone, Copy)]
pub struct Timing {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    /// How long the other tasks of a gang take to notice that one is gone.
    pub gang_peer_s: f64,
}

/// What a task does on any machine.
#[derive(Clone, Copy)]
pub struct Behaviour {
    pub fetch_s: f64,
    pub run_s: f64,
    /// Number of tasks of its gang; 1 for tasks of arrays.
    pub gang: usize,
}

/// Gives the behaviour of the tasks of a job.
pub type Behaviours = dyn Fn(&str) -> Behaviour + Send + Sync;

/// One attempt of a gang, on all machines.
#[derive(Default)]
struct Gang {
    /// Tasks that have their image.
    present: usize,
    /// When all began to run.
    started_at: Option<f64>,
    /// When the first task was gone after that.
    lost_at: Option<f64>,
}

/// Called with machine, task, attempt, whether the task is now on the machine with its image, and why not any more.
pub type Watcher = dyn Fn(&str, &str, u64, bool, &str) + Send + Sync;

/// All gangs, by job and attempt, and who watches the tasks of all machines.
#[derive(Default)]
pub struct Gangs(
    Mutex<BTreeMap<(String, u64), Gang>>,
    Mutex<Option<Arc<Watcher>>>,
);

impl Gangs {
    /// Sets who watches the tasks of all machines.
    pub fn watch(&self, watcher: Arc<Watcher>) {
        *lock(&self.1) = Some(watcher);
    }

    fn tell(&self, host: &str, key: &(String, u64), is_on: bool, why: &str) {
        let watcher = lock(&self.1).clone();
        if let Some(watcher) = watcher {
            watcher(host, &key.0, key.1, is_on, why);
        }
    }

    /// A task that had its image is no longer on its machine.
    fn lose(&self, shard: &str, attempt: u64, now: f64) {
        let job = shard.split('/').next().unwrap_or_default().to_string();
        if let Some(gang) = lock(&self.0).get_mut(&(job, attempt)) {
            gang.present = gang.present.saturating_sub(1);
            if gang.started_at.is_some() {
                gang.lost_at.get_or_insert(now);
            }
        }
    }
}

/// A task on a machine.
#[derive(Clone)]
struct Task {
    phase: &'static str,
    cause: &'static str,
    since: f64,
}

/// A launch that a worker has carried out.
#[derive(Clone, Debug)]
pub struct Launch {
    pub shard: String,
    /// When the report was sent whose answer carried it.
    pub report_sent_at: f64,
    pub at: f64,
    pub mandate: u64,
}

/// A token that a worker has seen for the first time.
#[derive(Clone, Debug)]
pub struct Seen {
    pub mandate: u64,
    pub node: usize,
    pub at: f64,
}

struct Inner {
    isolated_until: f64,
    deaf_until: f64,
    hung_until: f64,
    advanced_at: f64,
    copied: f64,
    fails: bool,
    seen: Vec<Seen>,
    tenure: u64,
    tick: u64,
    mandate: u64,
    lease_from: f64,
    tasks: BTreeMap<(String, u64), Task>,
    /// Controller that it reports to, by number.
    node: usize,
    next_report_at: f64,
    reported_at: f64,
    launches: Vec<Launch>,
    is_gone: bool,
    /// When the last answer that counts arrived, and from whom.
    answered_at: f64,
    answered_by: usize,
}

/// A running worker.
pub struct Worker {
    pub host: String,
    pub endpoint: SocketAddr,
    breed: String,
    valley: String,
    loaners: bool,
    record: Record,
    timing: Timing,
    behaviours: Arc<Behaviours>,
    gangs: Arc<Gangs>,
    controllers: Vec<SocketAddr>,
    labels: Vec<String>,
    inner: Mutex<Inner>,
}

/// The machine of a worker.
pub struct Machine<'a> {
    pub host: &'a str,
    pub breed: &'a str,
    pub valley: &'a str,
    pub loaners: bool,
    /// Seconds until it is up.
    pub up_in_s: f64,
}

impl Worker {
    /// Starts a worker that reports to a controller first.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        record: &Record,
        machine: &Machine,
        timing: Timing,
        behaviours: &Arc<Behaviours>,
        gangs: &Arc<Gangs>,
        controllers: &[SocketAddr],
        labels: &[String],
        first: usize,
    ) -> Arc<Self> {
        let (listener, endpoint) = listen();
        let now = record.now() + machine.up_in_s;
        let worker = Arc::new(Worker {
            host: machine.host.to_string(),
            endpoint,
            breed: machine.breed.to_string(),
            valley: machine.valley.to_string(),
            loaners: machine.loaners,
            record: record.clone(),
            timing,
            behaviours: Arc::clone(behaviours),
            gangs: Arc::clone(gangs),
            controllers: controllers.to_vec(),
            labels: labels.to_vec(),
            inner: Mutex::new(Inner {
                isolated_until: 0.0,
                deaf_until: 0.0,
                hung_until: 0.0,
                advanced_at: now,
                copied: 0.0,
                fails: false,
                seen: Vec::new(),
                tenure: 1,
                tick: 0,
                mandate: 0,
                lease_from: now,
                tasks: BTreeMap::new(),
                node: first,
                next_report_at: now,
                reported_at: now,
                launches: Vec::new(),
                is_gone: false,
                answered_at: 0.0,
                answered_by: first,
            }),
        });
        let served = Arc::clone(&worker);
        serve(
            listener,
            Arc::new(move |method: &str, target: &str, body: &[u8]| {
                served.handle(method, target, body)
            }),
        );
        let reporting = Arc::clone(&worker);
        std::thread::spawn(move || reporting.report_until_gone());
        let running = Arc::clone(&worker);
        std::thread::spawn(move || {
            while !lock(&running.inner).is_gone {
                running.advance();
                sleep(0.01);
            }
        });
        worker
    }

    /// The machine and everything on it are gone at once, without a word to anybody.
    pub fn vanish(&self) {
        self.record.say(format!(
            "machine {} is gone with {:?}",
            self.host,
            self.live()
        ));
        let mut inner = lock(&self.inner);
        inner.is_gone = true;
        self.lose_all(&mut inner);
    }

    /// Removes all tasks.
    fn lose_all(&self, inner: &mut Inner) {
        let now = self.record.now();
        for ((shard, attempt), task) in std::mem::take(&mut inner.tasks) {
            if task.phase == "running" || task.phase == "gathering" {
                self.gangs.lose(&shard, attempt, now);
                self.gangs
                    .tell(&self.host, &(shard, attempt), false, "lost");
            }
        }
    }

    /// The machine hears and is heard by nobody for some seconds.
    pub fn isolate(&self, seconds: f64) {
        lock(&self.inner).isolated_until = self.record.now() + seconds;
    }

    /// Answers and direct commands to the machine are lost for some seconds.
    pub fn deafen(&self, seconds: f64) {
        lock(&self.inner).deaf_until = self.record.now() + seconds;
    }

    /// The machine hangs for some seconds.
    pub fn hang(&self, seconds: f64) {
        let mut inner = lock(&self.inner);
        let now = self.record.now();
        inner.hung_until = now + seconds;
        // The other tasks of its gangs notice that.
        for ((shard, attempt), _) in inner
            .tasks
            .iter()
            .filter(|(_, task)| task.phase == "running")
        {
            self.gangs.lose(shard, *attempt, now);
        }
    }

    /// The machine fails every task that it starts, or no longer does.
    pub fn set_failing(&self, fails: bool) {
        self.record.say(format!(
            "machine {} {}",
            self.host,
            if fails {
                "fails what it starts"
            } else {
                "is sound again"
            }
        ));
        lock(&self.inner).fails = fails;
    }

    /// Copies of this share of the reports arrive again later.
    pub fn copy_reports(&self, share: f64) {
        lock(&self.inner).copied = share;
    }

    /// Chooses how long after the last report the next one is sent, within a quarter of the interval.
    pub fn set_next_report(&self, seconds: f64) {
        let (least, most) = (0.75 * self.timing.report_s, 1.25 * self.timing.report_s);
        let mut inner = lock(&self.inner);
        inner.next_report_at = inner.reported_at + seconds.clamp(least, most);
    }

    /// Names of the tasks that are on the machine and have their image.
    pub fn live(&self) -> Vec<String> {
        let inner = lock(&self.inner);
        let is_live = |task: &Task| task.phase == "running" || task.phase == "gathering";
        inner
            .tasks
            .iter()
            .filter(|(_, task)| is_live(task))
            .map(|((shard, _), _)| shard.clone())
            .collect()
    }

    /// Whether no task is on the machine, ended ones aside.
    pub fn is_empty(&self) -> bool {
        lock(&self.inner)
            .tasks
            .values()
            .all(|task| task.phase == "ended")
    }

    /// The launches that it has carried out.
    pub fn launches(&self) -> Vec<Launch> {
        lock(&self.inner).launches.clone()
    }

    /// When the last report was sent, when the last answer that counts arrived, and from which controller.
    pub fn contact(&self) -> (f64, f64, usize) {
        let inner = lock(&self.inner);
        (inner.reported_at, inner.answered_at, inner.answered_by)
    }

    /// The highest token that it has seen.
    pub fn mandate(&self) -> u64 {
        lock(&self.inner).mandate
    }

    /// The tokens that it has seen, each with the controller that gave it first.
    pub fn mandates(&self) -> Vec<Seen> {
        lock(&self.inner).seen.clone()
    }

    fn report(&self, inner: &mut Inner) -> Value {
        inner.tick += 1;
        let shard = |((shard, attempt), task): (&(String, u64), &Task)| {
            let mut fields = vec![
                ("shard", text(shard)),
                ("try", int(*attempt)),
                ("phase", text(task.phase)),
            ];
            if task.phase == "ended" {
                fields.push(("cause", text(task.cause)));
            }
            map(fields)
        };
        map(vec![
            ("host", text(&self.host)),
            ("endpoint", text(&self.endpoint.to_string())),
            ("breed", text(&self.breed)),
            ("valley", text(&self.valley)),
            ("loaners", Value::Bool(self.loaners)),
            ("tenure", int(inner.tenure)),
            ("tick", int(inner.tick)),
            ("mandate", int(inner.mandate)),
            ("recall_s", Value::Null),
            (
                "shards",
                Value::Array(inner.tasks.iter().map(shard).collect()),
            ),
        ])
    }

    fn handle(&self, method: &str, target: &str, body: &[u8]) -> Reply {
        let mut inner = lock(&self.inner);
        let now = self.record.now();
        if inner.is_gone || now < inner.isolated_until.max(inner.deaf_until) {
            return Reply::Silence;
        }
        while self.record.now() < inner.hung_until {
            drop(inner);
            sleep(0.02);
            inner = lock(&self.inner);
        }
        if method == "GET" && target == "/inspect" {
            let report = self.report(&mut inner);
            return Reply::Answer(200, encode(&report));
        }
        let request = decode(body).unwrap_or(Value::Null);
        let (Some(mandate), Some(tenure)) =
            (get_int(&request, "mandate"), get_int(&request, "tenure"))
        else {
            return Reply::Answer(400, Vec::new());
        };
        let is_valid = mandate >= inner.mandate && tenure == inner.tenure;
        self.record.say(format!(
            "worker {} direct valid={is_valid} {}",
            self.host,
            json(&request)
        ));
        if is_valid {
            let sent = self.record.now();
            self.carry_out(&mut inner, &request, sent);
        }
        let report = self.report(&mut inner);
        Reply::Answer(if is_valid { 200 } else { 409 }, encode(&report))
    }

    fn report_until_gone(&self) {
        let mut client = Client::default();
        loop {
            let (sent, node, body, tenure) = {
                let mut inner = lock(&self.inner);
                if inner.is_gone {
                    break;
                }
                let now = self.record.now();
                if now < inner.next_report_at.max(inner.hung_until) {
                    drop(inner);
                    sleep(0.005);
                    continue;
                }
                let report = self.report(&mut inner);
                let quarter =
                    (self.record.now() * 7.31 + self.endpoint.port() as f64).fract() * 0.5 - 0.25;
                let usual = self.timing.report_s * (1.0 + quarter);
                inner.reported_at = now;
                inner.next_report_at = now + usual;
                (now, inner.node, encode(&report), inner.tenure)
            };
            self.send_copy(&body);
            let is_isolated = || self.record.now() < lock(&self.inner).isolated_until;
            let mut response = None;
            if is_isolated() {
                sleep(4.0);
            } else {
                response = client
                    .call(self.controllers[node], "POST", "/v1/report", &body, 4.0)
                    .ok();
                while self.record.now() < lock(&self.inner).hung_until {
                    sleep(0.02);
                }
                let now = self.record.now();
                let is_lost = is_isolated() || now < lock(&self.inner).deaf_until;
                if is_lost && response.is_some() {
                    response = None;
                    sleep(sent + 4.0 - now);
                }
                if now > sent + 4.0 {
                    response = None;
                }
            }
            self.on_response(sent, node, tenure, response, &mut client);
        }
        // A machine that is gone is silent: its connection hangs without an error.
        if let Some(connection) = client.take_connection() {
            std::mem::forget(connection);
        }
    }

    /// Sends a copy of a report later, to any controller.
    fn send_copy(&self, body: &[u8]) {
        let draw = (self.record.now() * 1_000.0 * 0.618_033).fract();
        if draw >= lock(&self.inner).copied {
            return;
        }
        let delay_s = 2.0 + (draw * 7_919.0).fract() * 25.0;
        let node = self.controllers[(draw * 104_729.0) as usize % self.controllers.len()];
        let body = body.to_vec();
        std::thread::spawn(move || {
            sleep(delay_s);
            let _ = Client::default().call(node, "POST", "/v1/report", &body, 4.0);
        });
    }

    fn on_response(
        &self,
        sent: f64,
        node: usize,
        tenure: u64,
        response: Option<(u16, Vec<u8>)>,
        client: &mut Client,
    ) {
        let mut inner = lock(&self.inner);
        let now = self.record.now();
        if inner.is_gone {
            return;
        }
        if response.is_none() {
            client.close();
        }
        match response {
            Some((200, body)) => {
                let answer = decode(&body).unwrap_or(Value::Null);
                let mandate = get_int(&answer, "mandate").unwrap_or(0);
                let is_valid = inner.tenure == tenure && mandate >= inner.mandate && mandate > 0;
                if !get_list(&answer, "orders").is_empty() || !is_valid {
                    let valid = if is_valid { "" } else { " dropped" };
                    self.record.say(format!(
                        "worker {} report sent {sent:.3} to n{node} -> 200{valid} {}",
                        self.host,
                        json(&answer)
                    ));
                }
                if is_valid {
                    if mandate > inner.mandate {
                        self.record.say(format!(
                            "worker {} sees mandate {mandate} from n{node}",
                            self.host
                        ));
                        inner.seen.push(Seen {
                            mandate,
                            node,
                            at: now,
                        });
                    }
                    inner.mandate = mandate;
                    inner.lease_from = sent;
                    inner.answered_at = now;
                    inner.answered_by = node;
                    self.carry_out(&mut inner, &answer, sent);
                }
            }
            Some((421, body)) => {
                let answer = decode(&body).unwrap_or(Value::Null);
                let steward = get_text(&answer, "steward").map(str::to_string);
                let named =
                    steward.and_then(|name| self.labels.iter().position(|label| *label == name));
                client.close();
                match named.filter(|named| *named != node) {
                    Some(named) => {
                        inner.node = named;
                        inner.next_report_at = now;
                    }
                    None => self.try_next(&mut inner, node, now),
                }
            }
            _ => {
                client.close();
                self.try_next(&mut inner, node, now);
            }
        }
    }

    fn try_next(&self, inner: &mut Inner, node: usize, now: f64) {
        inner.node = (node + 1) % self.controllers.len();
        inner.next_report_at = now + 1.0;
    }

    /// Reports soon, since something has changed.
    fn report_soon(inner: &mut Inner, now: f64) {
        let at = now.max(inner.reported_at + 0.5);
        inner.next_report_at = inner.next_report_at.min(at);
    }

    fn carry_out(&self, inner: &mut Inner, answer: &Value, sent: f64) {
        let now = self.record.now();
        let mandate = get_int(answer, "mandate").unwrap_or(0);
        for order in get_list(answer, "orders") {
            let shard = get_text(order, "shard").unwrap_or("").to_string();
            let key = (shard.clone(), get_int(order, "try").unwrap_or(0));
            match get_text(order, "verb").unwrap_or("") {
                "launch" if !inner.tasks.contains_key(&key) => {
                    let is_here = inner
                        .tasks
                        .iter()
                        .any(|((s, _), t)| *s == shard && t.phase != "ended");
                    let (phase, cause) = if is_here {
                        ("ended", "in_use")
                    } else {
                        ("fetching", "")
                    };
                    inner.tasks.insert(
                        key,
                        Task {
                            phase,
                            cause,
                            since: now,
                        },
                    );
                    let launch = Launch {
                        shard,
                        report_sent_at: sent,
                        at: now,
                        mandate,
                    };
                    self.record
                        .say(format!("worker {} launches {}", self.host, launch.shard));
                    inner.launches.push(launch);
                    Self::report_soon(inner, now);
                }
                "kill" => {
                    let _ = get_number(order, "leeway_s");
                    if let Some(task) = inner
                        .tasks
                        .get_mut(&key)
                        .filter(|task| task.phase != "ended")
                    {
                        if task.phase != "fetching" {
                            self.gangs.lose(&key.0, key.1, now);
                            self.gangs.tell(&self.host, &key, false, "halted");
                        }
                        (task.phase, task.cause, task.since) = ("ended", "halted", now);
                        self.record
                            .say(format!("worker {} stops {}", self.host, key.0));
                        Self::report_soon(inner, now);
                    }
                }
                "reap" => {
                    let ended = inner.tasks.get(&key).filter(|task| task.phase == "ended");
                    if ended.is_some() {
                        inner.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn has_lost_a_task(&self, gang: &(String, u64), now: f64) -> bool {
        let gangs = lock(&self.gangs.0);
        let lost_at = gangs.get(gang).and_then(|gang| gang.lost_at);
        lost_at.is_some_and(|at| now >= at + self.timing.gang_peer_s)
    }

    /// Moves tasks and the lease on.
    fn advance(&self) {
        let mut inner = lock(&self.inner);
        let now = self.record.now();
        if inner.is_gone {
            return;
        }
        if now < inner.hung_until {
            if now > inner.lease_from + self.timing.lease_s && !inner.tasks.is_empty() {
                self.lose_all(&mut inner);
            }
            return;
        }
        let stood = if now - inner.advanced_at > 0.5 {
            now - inner.advanced_at
        } else {
            0.0
        };
        inner.advanced_at = now;
        for task in inner.tasks.values_mut() {
            task.since += stood;
        }
        if now > inner.lease_from + self.timing.lease_s {
            self.record
                .say(format!("worker {} loses its lease", self.host));
            self.lose_all(&mut inner);
            inner.tenure += 1;
            inner.lease_from = now;
            Self::report_soon(&mut inner, now);
        }
        let mut changed = false;
        let fails = inner.fails;
        for ((shard, attempt), task) in &mut inner.tasks {
            let job = shard.split('/').next().unwrap_or_default();
            let behaviour = (self.behaviours)(job);
            let before = task.phase;
            let gang = || (job.to_string(), *attempt);
            match task.phase {
                "fetching" if fails && now >= task.since + behaviour.fetch_s => {
                    (task.phase, task.cause, task.since) = ("ended", "error", now);
                }
                "fetching" if now >= task.since + behaviour.fetch_s => {
                    if behaviour.gang > 1 {
                        (task.phase, task.since) = ("gathering", now);
                        let mut gangs = lock(&self.gangs.0);
                        let gang = gangs.entry(gang()).or_default();
                        gang.present += 1;
                        if gang.present == behaviour.gang {
                            gang.started_at = Some(now);
                        }
                    } else {
                        (task.phase, task.since) = ("running", now);
                    }
                }
                "gathering" => {
                    let started = lock(&self.gangs.0)
                        .get(&gang())
                        .and_then(|gang| gang.started_at);
                    if let Some(started) = started {
                        (task.phase, task.since) = ("running", started);
                    } else if now >= task.since + self.timing.gang_wait_s {
                        (task.phase, task.cause, task.since) = ("ended", "alone", now);
                    }
                }
                "running" if behaviour.gang > 1 && self.has_lost_a_task(&gang(), now) => {
                    (task.phase, task.cause, task.since) = ("ended", "peers", now);
                }
                "running" if now >= task.since + behaviour.run_s => {
                    (task.phase, task.cause, task.since) = ("ended", "done", now);
                }
                _ => {}
            }
            if task.phase != before {
                changed = true;
                let key = (shard.clone(), *attempt);
                if before == "fetching" && task.phase != "ended" {
                    self.gangs.tell(&self.host, &key, true, "");
                } else if task.phase == "ended" && before != "fetching" {
                    self.gangs.tell(&self.host, &key, false, task.cause);
                }
                self.record.say(format!(
                    "worker {} {shard} {} {}",
                    self.host, task.phase, task.cause
                ));
            }
        }
        if changed {
            Self::report_soon(&mut inner, now);
        }
    }
}
