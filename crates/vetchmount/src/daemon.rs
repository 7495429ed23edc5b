//! The loop: sockets and time in, the node's outputs out.

use crate::clients::{Call, Clients, Outcome};
use crate::net::{Conn, KeySequence, Listener};
use crate::peer_links::PeerLinks;
use crate::servers::{Answer, Arrived, Servers};
use constants::*;
use control::{Input, Node, Now, Operator, Output, Settings, Target};
use polling::{Events, Poller};
use signal_hook::consts::SIGTERM;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Key of the listener for users, workers and the load balancer.
const PUBLIC: usize = 0;
/// Key of the listener for peers.
const BACK: usize = 1;
/// Where the keys of connections begin.
const FIRST_CONN: usize = 2;

struct Daemon {
    poller: Poller,
    public: Listener,
    back: Listener,
    servers: Servers,
    clients: Clients,
    /// Workers' reports that wait until users and the leader's lease have been served.
    reports: VecDeque<Arrived>,
    peers: PeerLinks,
    keys: KeySequence,
    node: Node,
    state: SocketAddrV4,
    cloud: SocketAddrV4,
    start: Instant,
    /// Set by the signal that asks the process to stop.
    stop: Arc<AtomicBool>,
}

fn address(text: &str) -> Result<SocketAddrV4, String> {
    text.parse().map_err(|_| format!("bad address {text:?}"))
}

/// Runs until the process is killed.
pub fn run(settings: Settings, operator: Operator) -> Result<(), String> {
    let poller = Poller::new().map_err(|e| format!("poller: {e}"))?;
    // When a leader falls, all workers connect anew within a second or two.
    let backlog = settings.deployment.quota.max_connections as i32;
    let bind = |addr: &str, key| {
        Listener::bind(&poller, address(addr)?, key, backlog).map_err(|e| format!("{addr}: {e}"))
    };
    let public = bind(&settings.public_addr, PUBLIC)?;
    let back = bind(&settings.back, BACK)?;
    let siblings = settings
        .siblings
        .iter()
        .map(|s| {
            let addr = address(&s.addr)?;
            Ok((s.label.clone(), addr))
        })
        .collect::<Result<Vec<_>, String>>()?;
    let sockets = settings.deployment.quota.max_connections;
    let start = Instant::now();
    let boot = fastrand::u64(..) >> 12;
    let label = settings.label.clone();
    let (state, cloud) = (
        address(&settings.outside.state)?,
        address(&settings.outside.cloud)?,
    );
    log::info!(
        "event=start node={label} boot={boot} public={} back={}",
        settings.public_addr,
        settings.back
    );
    let stop = Arc::new(AtomicBool::new(false));
    if operator.rollout.is_some() {
        // Only then is there something to hand over.
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop))
            .map_err(|e| format!("SIGTERM: {e}"))?;
    }
    let node = Node::new(settings, operator, now_since(start), boot, stopwatch);
    let daemon = Daemon {
        poller,
        public,
        back,
        servers: Servers::new(sockets),
        clients: Clients::default(),
        reports: VecDeque::new(),
        peers: PeerLinks::new(label, siblings),
        keys: KeySequence::starting_at(FIRST_CONN),
        node,
        state,
        cloud,
        start,
        stop,
    };
    daemon.serve()
}

fn stopwatch() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

fn now_since(start: Instant) -> Now {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    // Moments start at 1 s, so that 0 can stand for never.
    let mono = 1_000 + start.elapsed().as_millis() as u64;
    Now { mono, unix }
}

impl Daemon {
    fn now(&self) -> Now {
        now_since(self.start)
    }

    fn serve(mut self) -> Result<(), String> {
        let mut events = Events::with_capacity(EVENTS_A_TURN);
        let mut buf = vec![0u8; READ_CHUNK];
        let mut arrived = Vec::new();
        let mut done = Vec::new();
        loop {
            let now = self.now().mono;
            let wake = self.node.next_wake().min(self.clients.next_wake());
            // Even if something is overdue: events that are there end the wait at once, and a wake-up that nobody acts
            // upon must never become a loop that takes the whole processor share.
            let wait = match self.reports.is_empty() {
                true => wake.saturating_sub(now).clamp(LOOP_MIN_MS, LOOP_MAX_MS),
                false => 0,
            };
            events.clear();
            self.poller
                .wait(&mut events, Some(Duration::from_millis(wait)))
                .map_err(|e| format!("poll: {e}"))?;
            let now = self.now();
            for event in events.iter() {
                self.on_event(event.key, &mut buf, now.mono, &mut arrived, &mut done);
            }
            self.clients
                .expire(&self.poller, &mut self.keys, now.mono, &mut done);
            self.node.set_crowded(self.servers.is_crowded(now.mono));
            self.feed(now, &mut arrived, &mut done);
            if now.mono >= self.node.next_wake() {
                self.node.tick(now);
            }
            self.peers.tick(&self.poller, &mut self.keys, now.mono);
            self.feed(now, &mut arrived, &mut done);
            self.feed_reports(&mut arrived, &mut done);
            if self.stop.load(Ordering::Relaxed) && self.has_stopped(&mut arrived, &mut done) {
                return Ok(());
            }
            let took_ms = self.now().mono.saturating_sub(now.mono);
            if took_ms >= SLOW_TURN_MS {
                log::info!("event=slow_turn took_ms={took_ms} events={}", events.len());
            }
        }
    }

    /// Lets the node end what it has in hand; whether it has.
    fn has_stopped(&mut self, arrived: &mut Vec<Arrived>, done: &mut Vec<Outcome>) -> bool {
        let now = self.now();
        self.node.handle(now, Input::Stop);
        self.feed(now, arrived, done);
        let is_stopped = self.node.is_stopped(now.mono);
        if is_stopped {
            log::info!("event=stopped");
        }
        is_stopped
    }

    fn on_event(
        &mut self,
        key: usize,
        buf: &mut [u8],
        now: u64,
        arrived: &mut Vec<Arrived>,
        done: &mut Vec<Outcome>,
    ) {
        if key == PUBLIC {
            // What is left is told again in the next turn.
            for _ in 0..ACCEPTS_A_TURN {
                let Some(stream) = self.public.accept() else {
                    break;
                };
                let key = self.keys.take();
                if let Ok(conn) = Conn::new(&self.poller, stream, key, false) {
                    self.servers.add(&self.poller, conn, key, now);
                }
            }
        } else if key == BACK {
            while let Some(stream) = self.back.accept() {
                let key = self.keys.take();
                if let Ok(conn) = Conn::new(&self.poller, stream, key, false) {
                    self.peers.accept(&self.poller, key, conn, now);
                }
            }
        } else if self.servers.has(key) {
            self.servers.on_event(&self.poller, key, buf, now, arrived);
        } else if self.clients.has(key) {
            self.clients
                .on_event(&self.poller, key, buf, &mut self.keys, now, done);
        } else {
            for input in self.peers.on_event(&self.poller, key, buf) {
                let now = self.now();
                self.node.handle(now, input);
            }
        }
    }

    /// Gives the node what has happened, and carries out what it wants, until nothing is left.
    fn feed(&mut self, now: Now, arrived: &mut Vec<Arrived>, done: &mut Vec<Outcome>) {
        loop {
            for a in std::mem::take(arrived) {
                if a.worker {
                    self.reports.push_back(a);
                } else {
                    self.request(now, a);
                }
            }
            for (call, result) in std::mem::take(done) {
                self.node.handle(now, Input::Reply { call, result });
            }
            self.carry_out(now, arrived, done);
            if arrived.is_empty() && done.is_empty() {
                return;
            }
        }
    }

    fn request(&mut self, now: Now, arrived: Arrived) {
        let Arrived { id, request, .. } = arrived;
        let http::Request {
            method,
            target,
            body,
            ..
        } = request;
        let input = Input::Request {
            id,
            method,
            target,
            body,
        };
        self.node.handle(now, input);
    }

    /// Gives the node workers' reports for a while. The storm of them after a change of leader would otherwise keep
    /// users, the load balancer and the renewal of the lease waiting for seconds.
    fn feed_reports(&mut self, arrived: &mut Vec<Arrived>, done: &mut Vec<Outcome>) {
        let until = self.now().mono + REPORTS_A_TURN_MS;
        while let Some(report) = self.reports.pop_front() {
            let now = self.now();
            // The worker may have given up meanwhile.
            if self.servers.is_open(report.id) {
                self.request(now, report);
                self.feed(now, arrived, done);
            }
            if now.mono >= until {
                return;
            }
        }
    }

    fn carry_out(&mut self, now: Now, arrived: &mut Vec<Arrived>, done: &mut Vec<Outcome>) {
        while let Some(output) = self.node.next_output() {
            match output {
                Output::Respond {
                    id,
                    status,
                    retry_after_s,
                    body,
                } => {
                    let answer = Answer {
                        id,
                        status,
                        retry_after_s,
                        body,
                    };
                    self.servers
                        .respond(&self.poller, &answer, now.mono, arrived);
                }
                Output::Call {
                    call,
                    target,
                    method,
                    path,
                    body,
                    timeout_ms,
                } => {
                    let addr = match &target {
                        Target::State => Ok(self.state),
                        Target::Cloud => Ok(self.cloud),
                        Target::Worker(text) => address(text),
                    };
                    let Ok(addr) = addr else {
                        done.push((call, Err(control::CallError::NotSent)));
                        continue;
                    };
                    let call = Call {
                        id: call,
                        addr,
                        method,
                        path,
                        body,
                        deadline: now.mono + timeout_ms,
                    };
                    self.clients
                        .call(&self.poller, call, &mut self.keys, now.mono, done);
                }
                Output::Peer { to, message } => {
                    self.peers.send(&self.poller, to.as_deref(), &message);
                }
            }
        }
    }
}
