//! Stand-ins for the review's cases: state service, cloud, workers and users of the published protocols, and the
//! controllers as separate processes. The standard library only. Everything listens on loopback.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- values (CBOR)

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    U(u64),
    I(i64),
    F(f64),
    T(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

pub fn t(s: &str) -> V {
    V::T(s.to_string())
}
pub fn m(pairs: Vec<(&str, V)>) -> V {
    V::M(pairs.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

impl V {
    pub fn get(&self, key: &str) -> &V {
        match self {
            V::M(pairs) => pairs.iter().find(|(k, _)| k == key).map_or(&V::Null, |(_, v)| v),
            _ => &V::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            V::T(s) => s,
            _ => "",
        }
    }
    pub fn u(&self) -> u64 {
        match self {
            V::U(n) => *n,
            V::I(n) => *n as u64,
            V::F(f) => *f as u64,
            _ => 0,
        }
    }
    pub fn f(&self) -> f64 {
        match self {
            V::U(n) => *n as f64,
            V::I(n) => *n as f64,
            V::F(f) => *f,
            _ => 0.0,
        }
    }
    pub fn arr(&self) -> &[V] {
        match self {
            V::A(a) => a,
            _ => &[],
        }
    }
    pub fn is_true(&self) -> bool {
        matches!(self, V::Bool(true))
    }
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }
    fn write(&self, out: &mut Vec<u8>) {
        match self {
            V::Null => out.push(0xf6),
            V::Bool(b) => out.push(if *b { 0xf5 } else { 0xf4 }),
            V::U(n) => head(out, 0, *n),
            V::I(n) if *n >= 0 => head(out, 0, *n as u64),
            V::I(n) => head(out, 1, (-1 - *n) as u64),
            V::F(f) => {
                out.push(0xfb);
                out.extend(f.to_be_bytes());
            }
            V::T(s) => {
                head(out, 3, s.len() as u64);
                out.extend(s.as_bytes());
            }
            V::A(a) => {
                head(out, 4, a.len() as u64);
                a.iter().for_each(|v| v.write(out));
            }
            V::M(p) => {
                head(out, 5, p.len() as u64);
                for (k, v) in p {
                    head(out, 3, k.len() as u64);
                    out.extend(k.as_bytes());
                    v.write(out);
                }
            }
        }
    }
    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        read_value(bytes, &mut at)
    }
    /// Rendered as JSON, for the record.
    pub fn show(&self) -> String {
        match self {
            V::Null => "null".into(),
            V::Bool(b) => b.to_string(),
            V::U(n) => n.to_string(),
            V::I(n) => n.to_string(),
            V::F(f) => format!("{f:?}"),
            V::T(s) => format!("{s:?}"),
            V::A(a) => format!("[{}]", a.iter().map(V::show).collect::<Vec<_>>().join(",")),
            V::M(p) => {
                let all: Vec<String> = p.iter().map(|(k, v)| format!("{k:?}:{}", v.show())).collect();
                format!("{{{}}}", all.join(","))
            }
        }
    }
}

fn head(out: &mut Vec<u8>, major: u8, n: u64) {
    let major = major << 5;
    match n {
        0..=23 => out.push(major | n as u8),
        24..=0xff => out.extend([major | 24, n as u8]),
        0x100..=0xffff => {
            out.push(major | 25);
            out.extend((n as u16).to_be_bytes());
        }
        0x10000..=0xffff_ffff => {
            out.push(major | 26);
            out.extend((n as u32).to_be_bytes());
        }
        _ => {
            out.push(major | 27);
            out.extend(n.to_be_bytes());
        }
    }
}

fn read_value(b: &[u8], at: &mut usize) -> Option<V> {
    let first = *b.get(*at)?;
    *at += 1;
    let (major, info) = (first >> 5, first & 31);
    let mut number = |width: usize| -> Option<u64> {
        let bytes = b.get(*at..*at + width)?;
        *at += width;
        Some(bytes.iter().fold(0u64, |n, byte| n << 8 | u64::from(*byte)))
    };
    if major == 7 {
        return Some(match info {
            20 => V::Bool(false),
            21 => V::Bool(true),
            25 => V::F(half(number(2)? as u16)),
            26 => V::F(f32::from_bits(number(4)? as u32).into()),
            27 => V::F(f64::from_bits(number(8)?)),
            _ => V::Null,
        });
    }
    let n = match info {
        0..=23 => Some(u64::from(info)),
        24 => Some(number(1)?),
        25 => Some(number(2)?),
        26 => Some(number(4)?),
        27 => Some(number(8)?),
        31 => None,
        _ => return None,
    };
    let more = |at: &mut usize, done: u64| -> Option<bool> {
        match n {
            Some(n) => Some(done < n),
            None if *b.get(*at)? == 0xff => {
                *at += 1;
                Some(false)
            }
            None => Some(true),
        }
    };
    match major {
        0 => Some(V::U(n?)),
        1 => Some(V::I(-1 - n? as i64)),
        2 | 3 => {
            if let Some(n) = n {
                let bytes = b.get(*at..*at + n as usize)?;
                *at += n as usize;
                return Some(V::T(String::from_utf8_lossy(bytes).into_owned()));
            }
            let mut text = String::new();
            while more(at, 0)? {
                text += read_value(b, at)?.str();
            }
            Some(V::T(text))
        }
        4 => {
            let mut all = Vec::new();
            while more(at, all.len() as u64)? {
                all.push(read_value(b, at)?);
            }
            Some(V::A(all))
        }
        5 => {
            let mut all = Vec::new();
            while more(at, all.len() as u64)? {
                let key = read_value(b, at)?.str().to_string();
                all.push((key, read_value(b, at)?));
            }
            Some(V::M(all))
        }
        _ => read_value(b, at),
    }
}

fn half(bits: u16) -> f64 {
    let (sign, exp, frac) = (bits >> 15, (bits >> 10) & 31, f64::from(bits & 1023));
    let size = match exp {
        0 => frac * 2f64.powi(-24),
        31 if frac == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (1024.0 + frac) * 2f64.powi(i32::from(exp) - 25),
    };
    if sign == 1 {
        -size
    } else {
        size
    }
}

// ---------------------------------------------------------------- time and record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}
pub fn now_ms() -> u64 {
    (now() * 1000.0) as u64
}
pub fn wait_until(at: f64) {
    let left = at - now();
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left));
    }
}
pub fn pause(ms: u64) {
    sleep(Duration::from_millis(ms));
}
pub fn note(line: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(lock(file), "{:8.3} {line}", now());
    }
}
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Opens `record.txt` in the folder that the first argument names, and limits the run's time.
pub fn begin(children: &Controllers) {
    now();
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let file = File::create(format!("{folder}/record.txt")).expect("record.txt");
    let _ = RECORD.set(Mutex::new(file));
    note(&format!("trouble={}", trouble()));
    let processes = Arc::clone(&children.processes);
    spawn(move || {
        sleep(Duration::from_millis(118_500));
        note("could not run: out of time");
        end_all(&processes);
        std::process::exit(2);
    });
}

/// Ends all processes and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(controllers: &Controllers, code: i32, why: &str) -> ! {
    note(&format!("end exit={code} {why}"));
    println!("exit={code} {why}");
    end_all(&controllers.processes);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&controllers.folder);
    } else {
        println!("kept {}", controllers.folder);
    }
    std::process::exit(code)
}

fn end_all(processes: &Mutex<Vec<Option<Child>>>) {
    for child in lock(processes).iter_mut().flatten() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: Vec<u8>,
}

fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>, until: Instant) -> Option<(String, Vec<u8>, bool)> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut length = 0;
            let mut close = false;
            for line in text.split("\r\n").skip(1) {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().unwrap_or(0);
                }
                if name.eq_ignore_ascii_case("connection") {
                    close = value.trim().eq_ignore_ascii_case("close");
                }
            }
            if buf.len() >= end + 4 + length {
                let body = buf[end + 4..end + 4 + length].to_vec();
                buf.drain(..end + 4 + length);
                let first = text.split("\r\n").next().unwrap_or("").to_string();
                return Some((first, body, close));
            }
        }
        let left = until.checked_duration_since(Instant::now())?;
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(n) => buf.extend_from_slice(&chunk[..n]),
            Err(_) => return None,
        }
    }
}

pub type Answer = Option<(u16, V)>;

/// Serves requests on a free loopback port, a thread a connection. `None` as an answer: the connection stays silent.
pub fn serve(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let handler = Arc::new(handler);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            spawn(move || serve_one(stream, &*handler));
        }
    });
    addr
}

fn serve_one(mut stream: TcpStream, handler: &(impl Fn(Request) -> Answer + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    loop {
        let until = Instant::now() + Duration::from_secs(600);
        let Some((first, body, _)) = read_message(&mut stream, &mut buf, until) else { return };
        let mut parts = first.split(' ');
        let method = parts.next().unwrap_or("").to_string();
        let target = parts.next().unwrap_or("").to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        let request = Request { method, path: path.to_string(), query, body };
        let Some((status, value)) = handler(request) else {
            // Silent: the caller gives up.
            sleep(Duration::from_secs(30));
            return;
        };
        let body = value.encode();
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut out = head.into_bytes();
        out.extend(body);
        if stream.write_all(&out).is_err() {
            return;
        }
    }
}

/// A client with one connection that is kept open.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddr, TcpStream, Vec<u8>)>,
}

impl Client {
    pub fn call(&mut self, addr: SocketAddr, method: &str, path: &str, body: Option<&V>, timeout_ms: u64) -> Option<(u16, V)> {
        let until = Instant::now() + Duration::from_millis(timeout_ms);
        let (mut stream, mut buf) = match self.open.take() {
            Some((known, stream, buf)) if known == addr => (stream, buf),
            _ => (TcpStream::connect_timeout(&addr, Duration::from_millis(timeout_ms.min(500))).ok()?, Vec::new()),
        };
        let _ = stream.set_nodelay(true);
        let body = body.map(V::encode).unwrap_or_default();
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut out = head.into_bytes();
        out.extend(body);
        stream.write_all(&out).ok()?;
        let (first, body, close) = read_message(&mut stream, &mut buf, until)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        if !close {
            self.open = Some((addr, stream, buf));
        }
        Some((status, V::decode(&body).unwrap_or(V::Null)))
    }
}

/// One request on a connection of its own.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: Option<&V>, timeout_ms: u64) -> Option<(u16, V)> {
    Client::default().call(addr, method, path, body, timeout_ms)
}

// ---------------------------------------------------------------- state service

struct Entry {
    value: V,
    stamp: u64,
    tether: Option<u64>,
}

#[derive(Default)]
struct Kv {
    epoch: u64,
    keys: BTreeMap<String, Entry>,
    log: Vec<(u64, String, Option<V>)>,
    leases: HashMap<u64, (u64, u64)>, // id -> (life, ends)
    last_lease: u64,
    tokens: f64,
    write_tokens: f64,
    refilled: f64,
}

pub struct StateService {
    kv: Mutex<Kv>,
    changed: Condvar,
    rps: f64,
    write_rps: f64,
    /// Each answer takes this much longer.
    pub latency_ms: AtomicU64,
    /// Everything is answered 503, and open watches wait.
    pub down: AtomicBool,
}

impl StateService {
    pub fn start(rps: f64, write_rps: f64) -> (Arc<Self>, SocketAddr) {
        let service = Arc::new(StateService {
            kv: Mutex::new(Kv { tokens: rps, write_tokens: write_rps, ..Kv::default() }),
            changed: Condvar::new(),
            rps,
            write_rps,
            latency_ms: AtomicU64::new(0),
            down: AtomicBool::new(false),
        });
        let polled = Arc::clone(&service);
        spawn(move || loop {
            pause(10);
            polled.expire();
        });
        let handled = Arc::clone(&service);
        let addr = serve(move |request| Some(handled.handle(request)));
        (service, addr)
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        lock(&self.kv).keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }
    pub fn value(&self, key: &str) -> Option<V> {
        lock(&self.kv).keys.get(key).map(|e| e.value.clone())
    }

    fn expire(&self) {
        if self.down.load(SeqCst) {
            return;
        }
        let mut kv = lock(&self.kv);
        let now = now_ms();
        let ended: Vec<u64> = kv.leases.iter().filter(|(_, l)| l.1 < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(&mut kv, id);
        }
    }

    fn end_lease(&self, kv: &mut Kv, id: u64) -> bool {
        let known = kv.leases.remove(&id).is_some();
        let keys: Vec<String> = kv.keys.iter().filter(|(_, e)| e.tether == Some(id)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            kv.epoch += 1;
            for key in keys {
                kv.keys.remove(&key);
                let epoch = kv.epoch;
                kv.log.push((epoch, key, None));
            }
            self.changed.notify_all();
        }
        known
    }

    fn handle(&self, r: Request) -> (u16, V) {
        let latency = self.latency_ms.load(SeqCst);
        if latency > 0 {
            pause(latency);
        }
        if self.down.load(SeqCst) {
            return (503, V::Null);
        }
        let mut kv = lock(&self.kv);
        let elapsed = now() - kv.refilled;
        kv.refilled = now();
        kv.tokens = (kv.tokens + elapsed * self.rps).min(self.rps);
        kv.write_tokens = (kv.write_tokens + elapsed * self.write_rps).min(self.write_rps);
        if kv.tokens < 1.0 {
            note("state 429 requests");
            return (429, V::Null);
        }
        kv.tokens -= 1.0;
        let path = r.path.as_str();
        match (r.method.as_str(), path) {
            ("GET", "/kv") => {
                let under = r.query.get("under").cloned().unwrap_or_default();
                let from = r.query.get("from").cloned().unwrap_or_default();
                let limit = r.query.get("limit").and_then(|l| l.parse().ok()).unwrap_or(1000).min(1000);
                let mut items = Vec::new();
                let mut more = false;
                for (key, e) in kv.keys.range(under.clone()..).take_while(|(k, _)| k.starts_with(&under)) {
                    if !from.is_empty() && *key <= from {
                        continue;
                    }
                    if items.len() >= limit {
                        more = true;
                        break;
                    }
                    items.push(item(key, e));
                }
                (200, m(vec![("items", V::A(items)), ("has_next", V::Bool(more)), ("epoch", V::U(kv.epoch))]))
            }
            ("GET", "/changes") => {
                let under = r.query.get("under").cloned().unwrap_or_default();
                let from: u64 = r.query.get("from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let hold: u64 = r.query.get("hold_ms").and_then(|h| h.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(hold.min(60_000));
                loop {
                    if kv.log.len() > 10_000 && kv.log[kv.log.len() - 10_000].0 > from + 1 {
                        return (410, V::Null);
                    }
                    let at = kv.log.partition_point(|(epoch, ..)| *epoch <= from);
                    let log: Vec<V> = kv.log[at..]
                        .iter()
                        .filter(|(_, key, _)| key.starts_with(&under))
                        .map(|(stamp, key, value)| match value {
                            Some(v) => m(vec![("write", t(key)), ("v", v.clone()), ("stamp", V::U(*stamp))]),
                            None => m(vec![("drop", t(key)), ("stamp", V::U(*stamp))]),
                        })
                        .collect();
                    let left = until.checked_duration_since(Instant::now());
                    let down = self.down.load(SeqCst);
                    if !down && (!log.is_empty() || left.is_none()) {
                        return (200, m(vec![("epoch", V::U(kv.epoch)), ("log", V::A(log))]));
                    }
                    let wait = left.unwrap_or(Duration::from_millis(50)).min(Duration::from_millis(50));
                    kv = self.changed.wait_timeout(kv, wait).unwrap_or_else(|e| e.into_inner()).0;
                }
            }
            ("POST", "/multi") => {
                let Some(body) = V::decode(&r.body) else { return (400, V::Null) };
                let writes = body.get("writes").arr().len() as f64;
                if kv.write_tokens < writes.min(self.write_rps) {
                    note("state 429 changes");
                    return (429, V::Null);
                }
                kv.write_tokens -= writes;
                let failed: Vec<V> = body
                    .get("guards")
                    .arr()
                    .iter()
                    .filter(|g| kv.keys.get(g.get("path").str()).map_or(0, |e| e.stamp) != g.get("stamp").u())
                    .map(|g| g.get("path").clone())
                    .collect();
                if !failed.is_empty() {
                    return (409, m(vec![("failed", V::A(failed)), ("epoch", V::U(kv.epoch))]));
                }
                for w in body.get("writes").arr() {
                    if let V::U(id) = w.get("tether") {
                        if !kv.leases.contains_key(id) {
                            return (400, m(vec![("error", t("no such lease"))]));
                        }
                    }
                }
                if writes > 0.0 {
                    kv.epoch += 1;
                }
                let stamp = kv.epoch;
                for w in body.get("writes").arr() {
                    if let V::T(key) = w.get("write") {
                        let tether = match w.get("tether") {
                            V::U(id) => Some(*id),
                            _ => None,
                        };
                        let value = w.get("v").clone();
                        kv.log.push((stamp, key.clone(), Some(value.clone())));
                        kv.keys.insert(key.clone(), Entry { value, stamp, tether });
                    } else if let V::T(key) = w.get("drop") {
                        if kv.keys.remove(key).is_some() {
                            kv.log.push((stamp, key.clone(), None));
                        }
                    }
                }
                if writes > 0.0 {
                    self.changed.notify_all();
                }
                (200, m(vec![("epoch", V::U(kv.epoch))]))
            }
            ("POST", "/leases") => {
                let life = V::decode(&r.body).map_or(0, |b| b.get("life_ms").u()).clamp(100, 600_000);
                kv.last_lease += 1;
                let id = kv.last_lease;
                kv.leases.insert(id, (life, now_ms() + life));
                (200, m(vec![("tether", V::U(id))]))
            }
            ("POST", _) if path.starts_with("/leases/") && path.ends_with("/renew") => {
                let id: u64 = path.trim_start_matches("/leases/").trim_end_matches("/renew").parse().unwrap_or(0);
                match kv.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.1 = now_ms() + lease.0;
                        (200, m(vec![("tether", V::U(id))]))
                    }
                    None => (404, V::Null),
                }
            }
            ("DELETE", _) if path.starts_with("/leases/") => {
                let id: u64 = path.trim_start_matches("/leases/").parse().unwrap_or(0);
                let known = self.end_lease(&mut kv, id);
                (if known { 200 } else { 404 }, V::Null)
            }
            ("GET", _) if path.starts_with("/kv/") => match kv.keys.get(&path[4..]) {
                Some(e) => (200, item(&path[4..], e)),
                None => (404, m(vec![("epoch", V::U(kv.epoch))])),
            },
            _ => (400, V::Null),
        }
    }
}

fn item(key: &str, e: &Entry) -> V {
    let mut pairs = vec![("path", t(key)), ("v", e.value.clone()), ("stamp", V::U(e.stamp))];
    if let Some(id) = e.tether {
        pairs.push(("tether", V::U(id)));
    }
    m(pairs)
}

// ---------------------------------------------------------------- cloud

#[derive(Clone)]
pub struct Breed {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub startup_s: f64,
}

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub valley: String,
    pub spot: bool,
    pub rented_at: f64,
    pub gone_at: Option<f64>,
}

pub struct Cloud {
    pub breed: Breed,
    pub valleys: Vec<&'static str>,
    pub lag_s: f64,
    /// Machines that may be held at a time.
    pub capacity: AtomicU64,
    pub hosts: Mutex<Vec<Host>>,
    asks: Mutex<HashMap<String, V>>,
    world: Arc<World>,
}

impl Cloud {
    /// A cloud with `up` machines that have been up for a while.
    pub fn start(world: &Arc<World>, breed: Breed, valleys: Vec<&'static str>, up: usize, capacity: u64, lag_s: f64) -> (Arc<Self>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            breed,
            valleys,
            lag_s,
            capacity: AtomicU64::new(capacity),
            hosts: Mutex::default(),
            asks: Mutex::default(),
            world: Arc::clone(world),
        });
        for i in 0..up {
            let valley = cloud.valleys[i % cloud.valleys.len()];
            cloud.add(valley, false, -300.0, 0.0);
        }
        let handled = Arc::clone(&cloud);
        let addr = serve(move |r| Some(handled.handle(r)));
        (cloud, addr)
    }

    fn add(&self, valley: &str, spot: bool, rented_at: f64, boot_s: f64) -> String {
        let mut hosts = lock(&self.hosts);
        let name = format!("vm-{:06}", 100 + hosts.len());
        hosts.push(Host { name: name.clone(), valley: valley.into(), spot, rented_at, gone_at: None });
        let (world, breed) = (Arc::clone(&self.world), self.breed.clone());
        let (host, valley) = (name.clone(), valley.to_string());
        spawn(move || {
            sleep(Duration::from_secs_f64(boot_s));
            start_worker(&world, &host, breed.name, &valley, spot);
        });
        name
    }

    fn handle(&self, r: Request) -> (u16, V) {
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/machine_types") => {
                let b = &self.breed;
                let valleys = V::A(self.valleys.iter().map(|v| t(v)).collect());
                let breed = m(vec![
                    ("name", t(b.name)),
                    ("cpus", V::F(b.cpus)),
                    ("gpus", V::F(b.gpus)),
                    ("mem_gb", V::F(b.mem_gb)),
                    ("local_gb", V::F(200.0)),
                    ("fetch_gb_per_s", V::F(1.0)),
                    ("hourly", V::F(13.88)),
                    ("low_price", V::F(4.84)),
                    ("startup_s", V::F(b.startup_s)),
                    ("valleys", valleys),
                ]);
                (200, m(vec![("breeds", V::A(vec![breed]))]))
            }
            ("GET", "/hosts") => {
                let from = r.query.get("from").cloned().unwrap_or_default();
                let at = now() - self.lag_s;
                let hosts: Vec<V> = lock(&self.hosts)
                    .iter()
                    .filter(|h| h.name > from && h.rented_at <= at && h.gone_at.map_or(true, |gone| gone > at))
                    .map(|h| {
                        let endpoint = lock(&self.world.endpoints).get(&h.name).cloned();
                        m(vec![
                            ("id", t(&h.name)),
                            ("endpoint", endpoint.map_or(V::Null, V::T)),
                            ("breed", t(self.breed.name)),
                            ("valley", t(&h.valley)),
                            ("loaners", V::Bool(h.spot)),
                            ("phase", t("running")),
                            ("held_s", V::F(at - h.rented_at)),
                        ])
                    })
                    .collect();
                (200, m(vec![("hosts", V::A(hosts)), ("has_next", V::Bool(false))]))
            }
            ("POST", "/hosts") => {
                let body = V::decode(&r.body).unwrap_or(V::Null);
                let ask = body.get("ask").str().to_string();
                if let Some(known) = lock(&self.asks).get(&ask) {
                    return (200, known.clone());
                }
                let held = lock(&self.hosts).iter().filter(|h| h.gone_at.is_none()).count() as u64;
                let number = body.get("number").u().min(self.capacity.load(SeqCst).saturating_sub(held));
                if number == 0 {
                    note(&format!("cloud refuses {}: no capacity", body.show()));
                    return (503, m(vec![("error", t("no capacity"))]));
                }
                let (valley, spot) = (body.get("valley").str(), body.get("loaners").is_true());
                let names: Vec<V> = (0..number).map(|_| V::T(self.add(valley, spot, now(), self.breed.startup_s))).collect();
                note(&format!("cloud rents {} -> {} machines", body.show(), names.len()));
                let answer = m(vec![("hosts", V::A(names))]);
                lock(&self.asks).insert(ask, answer.clone());
                (200, answer)
            }
            ("POST", "/hosts/return") => {
                let body = V::decode(&r.body).unwrap_or(V::Null);
                note(&format!("cloud takes back {}", body.show()));
                for name in body.get("hosts").arr() {
                    if let Some(worker) = lock(&self.world.workers).get(name.str()) {
                        worker.gone.store(true, SeqCst);
                    }
                    let mut hosts = lock(&self.hosts);
                    if let Some(host) = hosts.iter_mut().find(|h| h.name == name.str()) {
                        host.gone_at.get_or_insert(now());
                    }
                }
                (200, m(vec![]))
            }
            _ => (400, V::Null),
        }
    }
}

// ---------------------------------------------------------------- workers

/// What a worker knows of a job: users upload the description.
#[derive(Clone)]
pub struct JobSpec {
    pub run_s: f64,
    pub fetch_s: f64,
    pub gang: bool,
    pub shards: u64,
    pub saves_s: f64,
    pub cpus: f64,
    pub gpus: f64,
    pub tenant: String,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub phase: &'static str,
    pub cause: Option<&'static str>,
    /// When the phase ends.
    pub until: f64,
}

pub struct Worker {
    pub name: String,
    /// Cut from the network: nothing arrives and nothing leaves.
    pub cut: AtomicBool,
    /// Gone for good.
    pub gone: AtomicBool,
    pub inner: Mutex<Inner>,
}

pub struct Inner {
    pub tenure: u64,
    pub tick: u64,
    pub mandate: u64,
    pub lease_start: f64,
    pub next_report: f64,
    pub tasks: BTreeMap<(String, u64), Task>,
    pub images: BTreeSet<String>,
}

/// What all stand-ins share.
#[derive(Default)]
pub struct World {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    pub jobs: Mutex<HashMap<String, JobSpec>>,
    pub workers: Mutex<BTreeMap<String, Arc<Worker>>>,
    pub endpoints: Mutex<HashMap<String, String>>,
    /// First start, with image, of each task: (time, machine).
    pub started: Mutex<HashMap<String, (f64, String)>>,
    pub done: Mutex<HashMap<String, f64>>,
    /// Members of a gang's attempt: job/attempt -> tasks that wait or run.
    pub gangs: Mutex<HashMap<String, GangAttempt>>,
}

#[derive(Default)]
pub struct GangAttempt {
    present: BTreeSet<String>,
    runs_until: Option<f64>,
    lost_at: Option<f64>,
    done: bool,
}

fn start_worker(world: &Arc<World>, name: &str, breed: &'static str, valley: &str, spot: bool) {
    let worker = Arc::new(Worker {
        name: name.to_string(),
        cut: AtomicBool::new(false),
        gone: AtomicBool::new(false),
        inner: Mutex::new(Inner {
            tenure: 1,
            tick: 0,
            mandate: 0,
            lease_start: now(),
            next_report: now(),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
        }),
    });
    let served = (Arc::clone(world), Arc::clone(&worker));
    let endpoint = serve(move |r| {
        let (world, worker) = &served;
        if worker.cut.load(SeqCst) || worker.gone.load(SeqCst) {
            return None;
        }
        Some(worker.on_direct(world, r))
    });
    lock(&world.endpoints).insert(name.to_string(), endpoint.to_string());
    lock(&world.workers).insert(name.to_string(), Arc::clone(&worker));
    note(&format!("machine {name} up in {valley} spot={spot}"));
    let world = Arc::clone(world);
    let fixed = vec![
        ("host", t(name)),
        ("endpoint", V::T(endpoint.to_string())),
        ("breed", t(breed)),
        ("valley", t(valley)),
        ("loaners", V::Bool(spot)),
    ];
    spawn(move || worker.run(&world, &fixed));
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl Worker {
    fn on_direct(&self, world: &World, r: Request) -> (u16, V) {
        let mut inner = lock(&self.inner);
        inner.tick += 1;
        if r.path != "/orders" {
            return (200, inner.tasks_value(&[]));
        }
        let body = V::decode(&r.body).unwrap_or(V::Null);
        let (mandate, tenure) = (body.get("mandate"), body.get("tenure"));
        if *mandate == V::Null || *tenure == V::Null {
            return (400, V::Null);
        }
        if mandate.u() < inner.mandate || tenure.u() != inner.tenure {
            return (409, inner.tasks_value(&[]));
        }
        inner.mandate = inner.mandate.max(mandate.u());
        self.execute(world, &mut inner, body.get("orders"));
        (200, inner.tasks_value(&[]))
    }

    fn execute(&self, world: &World, inner: &mut Inner, orders: &V) {
        for order in orders.arr() {
            let (task, attempt) = (order.get("shard").str().to_string(), order.get("try").u());
            let key = (task.clone(), attempt);
            note(&format!("order {} {} {task} try={attempt}", self.name, order.get("verb").str()));
            match order.get("verb").str() {
                "launch" => {
                    if inner.tasks.contains_key(&key) {
                        continue;
                    }
                    let busy = inner.tasks.iter().any(|((n, _), s)| *n == task && s.phase != "ended");
                    let spec = lock(&world.jobs).get(job_of(&task)).cloned();
                    let state = match spec {
                        _ if busy => Task { phase: "ended", cause: Some("in_use"), until: 0.0 },
                        None => Task { phase: "ended", cause: Some("unknown"), until: 0.0 },
                        Some(spec) => {
                            let fetch = if inner.images.contains(job_of(&task)) { 0.0 } else { spec.fetch_s };
                            Task { phase: "fetching", cause: None, until: now() + fetch }
                        }
                    };
                    inner.tasks.insert(key, state);
                }
                "kill" => {
                    let saves = lock(&world.jobs).get(job_of(&task)).map_or(0.0, |s| s.saves_s);
                    if let Some(state) = inner.tasks.get_mut(&key) {
                        if state.phase == "running" && saves > 0.0 && order.get("leeway_s").f() >= saves {
                            state.phase = "saving";
                            state.until = now() + saves;
                        } else if state.phase != "ended" && !(state.phase == "saving" && order.get("leeway_s").f() > 0.0) {
                            leave_gang(world, &task, attempt);
                            *state = Task { phase: "ended", cause: Some("halted"), until: 0.0 };
                            note(&format!("halted {} {task} try={attempt}", self.name));
                        }
                    }
                }
                "reap" => {
                    if inner.tasks.get(&key).is_some_and(|s| s.phase == "ended") {
                        inner.tasks.remove(&key);
                    }
                }
                _ => {}
            }
            inner.next_report = inner.next_report.min(now() + 0.5);
        }
    }

    /// Moves tasks on.
    fn advance(&self, world: &World, inner: &mut Inner) {
        let at = now();
        let mut changed = false;
        let Inner { tasks, images, .. } = inner;
        for ((task, attempt), state) in tasks.iter_mut() {
            let Some(spec) = lock(&world.jobs).get(job_of(task)).cloned() else { continue };
            let before = state.phase;
            match state.phase {
                "fetching" if at >= state.until => {
                    images.insert(job_of(task).to_string());
                    let done = lock(&world.done).contains_key(task);
                    if done {
                        *state = Task { phase: "ended", cause: Some("done"), until: 0.0 };
                    } else if spec.gang && spec.shards > 1 {
                        state.phase = "gathering";
                        state.until = at + world.gang_wait_s;
                        join_gang(world, task, *attempt, &spec);
                    } else {
                        state.phase = "running";
                        state.until = at + spec.run_s;
                    }
                    if !done {
                        note(&format!("on machine {} {task} try={attempt}", self.name));
                        lock(&world.started).entry(task.clone()).or_insert((at, self.name.clone()));
                    }
                }
                "gathering" | "running" if spec.gang && spec.shards > 1 => {
                    let mut gangs = lock(&world.gangs);
                    let gang = gangs.entry(format!("{}#{attempt}", job_of(task))).or_default();
                    if gang.done || gang.runs_until.is_some_and(|u| at >= u && gang.lost_at.is_none()) {
                        gang.done = true;
                        *state = Task { phase: "ended", cause: Some("done"), until: 0.0 };
                        lock(&world.done).insert(task.clone(), at);
                        note(&format!("done {} {task} try={attempt}", self.name));
                    } else if gang.runs_until.is_some() && gang.lost_at.is_some_and(|l| at > l + 4.0) {
                        *state = Task { phase: "ended", cause: Some("peers"), until: 0.0 };
                    } else if gang.runs_until.is_some() {
                        state.phase = "running";
                    } else if at >= state.until {
                        gang.present.remove(task);
                        *state = Task { phase: "ended", cause: Some("alone"), until: 0.0 };
                    }
                }
                "running" if at >= state.until => {
                    *state = Task { phase: "ended", cause: Some("done"), until: 0.0 };
                    lock(&world.done).insert(task.clone(), at);
                    note(&format!("done {} {task} try={attempt}", self.name));
                }
                "saving" if at >= state.until => {
                    *state = Task { phase: "ended", cause: Some("halted"), until: 0.0 };
                    note(&format!("halted {} {task} try={attempt}", self.name));
                }
                _ => {}
            }
            changed |= state.phase != before;
        }
        if changed {
            inner.next_report = inner.next_report.min(at + 0.5);
        }
    }

    fn run(&self, world: &Arc<World>, fixed: &[(&str, V)]) {
        let mut node = self.name.bytes().map(usize::from).sum::<usize>();
        let mut open: Option<(SocketAddr, TcpStream)> = None;
        // The report in flight: stream, bytes so far, when it was sent, its session.
        let mut flight: Option<(TcpStream, Vec<u8>, f64, u64)> = None;
        // A cut hides connections; they are neither closed nor used.
        let mut hidden: Vec<TcpStream> = Vec::new();
        loop {
            pause(15);
            if self.gone.load(SeqCst) {
                let tasks: Vec<(String, u64)> = lock(&self.inner).tasks.keys().cloned().collect();
                tasks.iter().for_each(|(task, attempt)| leave_gang(world, task, *attempt));
                note(&format!("machine {} gone", self.name));
                return;
            }
            let mut inner = lock(&self.inner);
            let at = now();
            self.advance(world, &mut inner);
            if at > inner.lease_start + world.lease_s {
                for ((task, attempt), state) in std::mem::take(&mut inner.tasks) {
                    if state.phase != "ended" {
                        leave_gang(world, &task, attempt);
                        note(&format!("lease over {} {task} try={attempt}", self.name));
                    }
                }
                inner.tenure += 1;
                inner.lease_start = at;
            }
            if self.cut.load(SeqCst) {
                hidden.extend(open.take().map(|(_, s)| s));
                if flight.as_ref().is_some_and(|f| at > f.2 + 4.0) {
                    hidden.extend(flight.take().map(|f| f.0));
                }
                if flight.is_none() && at >= inner.next_report {
                    node += 1;
                    inner.next_report = at + 1.5;
                }
                continue;
            }
            let controllers = lock(&world.controllers).clone();
            let addr = controllers[node % controllers.len()].1;
            if let Some((mut stream, mut buf, sent_at, tenure)) = flight.take() {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
                drop(inner);
                let got = read_message(&mut stream, &mut buf, Instant::now() + Duration::from_millis(10));
                let mut inner = lock(&self.inner);
                match got {
                    Some((first, body, close)) => {
                        let status = first.split(' ').nth(1).unwrap_or("");
                        let body = V::decode(&body).unwrap_or(V::Null);
                        let mandate = body.get("mandate").clone();
                        if status == "200" {
                            if mandate != V::Null && mandate.u() >= inner.mandate && inner.tenure == tenure {
                                if mandate.u() > inner.mandate {
                                    inner.next_report = inner.next_report.min(now() + 0.5);
                                }
                                inner.mandate = mandate.u();
                                inner.lease_start = inner.lease_start.max(sent_at);
                                self.execute(world, &mut inner, body.get("orders"));
                            }
                            if !close {
                                open = Some((addr, stream));
                            }
                        } else if status == "421" {
                            let steward = body.get("steward").str().to_string();
                            let known = controllers.iter().position(|(label, _)| *label == steward);
                            match known.filter(|k| *k != node % controllers.len()) {
                                Some(known) => {
                                    node = known;
                                    inner.next_report = now() + 0.1;
                                }
                                None => {
                                    node += 1;
                                    inner.next_report = now() + 1.0;
                                }
                            }
                        } else {
                            node += 1;
                            inner.next_report = now() + 1.0;
                        }
                    }
                    None if now() > sent_at + 4.0 => {
                        node += 1;
                        inner.next_report = now() + 1.0;
                    }
                    None => flight = Some((stream, buf, sent_at, tenure)),
                }
                continue;
            }
            if at < inner.next_report {
                continue;
            }
            inner.tick += 1;
            inner.next_report = at + world.report_s;
            let body = inner.tasks_value(fixed).encode();
            let tenure = inner.tenure;
            drop(inner);
            let stream = match open.take() {
                Some((known, stream)) if known == addr => Some(stream),
                _ => TcpStream::connect_timeout(&addr, Duration::from_millis(500)).ok(),
            };
            let head = format!("POST /v1/report HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n", body.len());
            let sent = stream.and_then(|mut s| {
                let _ = s.set_nodelay(true);
                let mut out = head.into_bytes();
                out.extend(body);
                s.write_all(&out).ok().map(|()| s)
            });
            match sent {
                Some(stream) => flight = Some((stream, Vec::new(), at, tenure)),
                None => {
                    node += 1;
                    lock(&self.inner).next_report = at + 1.0;
                }
            }
        }
    }
}

impl Inner {
    fn tasks_value(&self, fixed: &[(&str, V)]) -> V {
        let shards = self
            .tasks
            .iter()
            .map(|((task, attempt), state)| {
                let mut pairs = vec![("shard", t(task)), ("try", V::U(*attempt)), ("phase", t(state.phase))];
                if let Some(cause) = state.cause {
                    pairs.push(("cause", t(cause)));
                }
                m(pairs)
            })
            .collect();
        let mut pairs: Vec<(&str, V)> = fixed.to_vec();
        pairs.push(("tenure", V::U(self.tenure)));
        pairs.push(("tick", V::U(self.tick)));
        pairs.push(("mandate", V::U(self.mandate)));
        pairs.push(("recall_s", V::Null));
        pairs.push(("shards", V::A(shards)));
        m(pairs)
    }
}

fn join_gang(world: &World, task: &str, attempt: u64, spec: &JobSpec) {
    let mut gangs = lock(&world.gangs);
    let gang = gangs.entry(format!("{}#{attempt}", job_of(task))).or_default();
    gang.present.insert(task.to_string());
    if gang.present.len() as u64 >= spec.shards && gang.runs_until.is_none() {
        gang.runs_until = Some(now() + spec.run_s);
        note(&format!("gang {} try={attempt} runs", job_of(task)));
    }
}

fn leave_gang(world: &World, task: &str, attempt: u64) {
    let mut gangs = lock(&world.gangs);
    if let Some(gang) = gangs.get_mut(&format!("{}#{attempt}", job_of(task))) {
        gang.present.remove(task);
        if gang.runs_until.is_some() {
            gang.lost_at.get_or_insert(now());
        }
    }
}

impl World {
    /// Tasks that are on a machine (image there, not exited), by machine.
    pub fn on_machines(&self) -> BTreeMap<String, Vec<String>> {
        let workers: Vec<Arc<Worker>> = lock(&self.workers).values().cloned().collect();
        let mut all = BTreeMap::new();
        for worker in workers.iter().filter(|w| !w.gone.load(SeqCst)) {
            let tasks = lock(&worker.inner)
                .tasks
                .iter()
                .filter(|(_, s)| s.phase != "ended")
                .map(|((task, _), _)| task.clone())
                .collect();
            all.insert(worker.name.clone(), tasks);
        }
        all
    }
    pub fn worker(&self, name: &str) -> Option<Arc<Worker>> {
        lock(&self.workers).get(name).cloned()
    }
    pub fn started_at(&self, task: &str) -> Option<f64> {
        lock(&self.started).get(task).map(|s| s.0)
    }
    pub fn machine_of(&self, task: &str) -> Option<String> {
        lock(&self.started).get(task).map(|s| s.1.clone())
    }
}

// ---------------------------------------------------------------- jobs and users

/// A submission; fields not named here have plain values.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub cohort: &'static str,
    pub tenant: &'static str,
    pub shape: &'static str,
    pub rank: &'static str,
    pub shards: u64,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub loaners: bool,
    pub same_place: bool,
    pub apart: bool,
    pub guess_s: f64,
    pub run_s: f64,
    pub awaits: Vec<String>,
}

impl Job {
    pub fn new(number: u64, cohort: &'static str, tenant: &'static str) -> Self {
        Job {
            id: format!("run-{number:06}"),
            cohort,
            tenant,
            shape: "array",
            rank: "normal",
            shards: 1,
            cpus: 6.0,
            gpus: 1.0,
            mem_gb: 48.0,
            loaners: false,
            same_place: false,
            apart: false,
            guess_s: 60.0,
            run_s: 60.0,
            awaits: Vec::new(),
        }
    }

    fn body(&self) -> V {
        let mut pairs = vec![
            ("id", t(&self.id)),
            ("cohort", t(self.cohort)),
            ("tenant", t(self.tenant)),
            ("shape", t(self.shape)),
            ("rank", t(self.rank)),
            ("shards", V::U(self.shards)),
            ("cpus", V::F(self.cpus)),
            ("gpus", V::F(self.gpus)),
            ("mem_gb", V::F(self.mem_gb)),
            ("bundle", t("img-01")),
            ("pull_gb", V::F(0.5)),
            ("breeds", V::Null),
            ("valley", V::Null),
            ("same_place", V::Bool(self.same_place)),
            ("apart", V::Bool(self.apart)),
            ("loaners", V::Bool(self.loaners)),
            ("guess_s", V::F(self.guess_s)),
            ("stow_every_s", V::F(0.0)),
            ("stow_s", V::F(0.0)),
            ("due_s", V::Null),
        ];
        if !self.awaits.is_empty() {
            pairs.push(("awaits", V::A(self.awaits.iter().map(|id| t(id)).collect())));
        }
        m(pairs)
    }

    /// Uploads the description for the workers and submits until it is accepted, for at most 60 s.
    pub fn submit(&self, world: &World, addr: SocketAddr) -> bool {
        lock(&world.jobs).insert(
            self.id.clone(),
            JobSpec {
                run_s: self.run_s,
                fetch_s: 0.5,
                gang: self.shape == "group",
                shards: self.shards,
                saves_s: 0.0,
                cpus: self.cpus,
                gpus: self.gpus,
                tenant: self.tenant.to_string(),
            },
        );
        let until = now() + 60.0;
        while now() < until {
            let answer = call(addr, "POST", "/submissions", Some(&self.body()), 5000);
            let status = answer.as_ref().map_or(0, |a| a.0);
            note(&format!("submit {} {} -> {status} {}", self.id, self.cohort, answer.map_or(String::new(), |a| a.1.show())));
            match status {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => pause(1000),
            }
        }
        false
    }
}

/// A poll by a user, who waits 2 s. The phase, or `None` without one.
pub fn poll(addr: SocketAddr, id: &str) -> (u16, String) {
    match call(addr, "GET", &format!("/submissions/{id}"), None, 2000) {
        Some((status, body)) => (status, body.get("phase").str().to_string()),
        None => (0, String::new()),
    }
}

// ---------------------------------------------------------------- controllers

pub struct Settings {
    pub zones: Vec<&'static str>,
    /// Name, guaranteed GPUs, most GPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Kind, class, seconds, share.
    pub objectives: Vec<(&'static str, &'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu: f64,
    pub mem_mb: f64,
    pub max_connections: u64,
}

pub struct Controllers {
    pub folder: String,
    pub labels: Vec<String>,
    pub public: Vec<SocketAddr>,
    back: Vec<SocketAddr>,
    processes: Arc<Mutex<Vec<Option<Child>>>>,
    starts: AtomicU64,
    run: Vec<String>,
}

impl Controllers {
    pub fn new(count: usize) -> Self {
        let processes: Arc<Mutex<Vec<Option<Child>>>> = Arc::new(Mutex::new((0..count).map(|_| None).collect()));
        // A stand-in that panics ends the run: the case could not run.
        let ended = Arc::clone(&processes);
        std::panic::set_hook(Box::new(move |why| {
            eprintln!("{why}");
            note(&format!("could not run: {why}"));
            end_all(&ended);
            std::process::exit(2);
        }));
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let deploy = std::fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = ")).expect("run").trim().trim_matches('"');
        Controllers {
            folder: folder.to_string_lossy().into_owned(),
            labels: (0..count).map(|i| format!("steading-{i}")).collect(),
            public: (0..count).map(|_| free_addr()).collect(),
            back: (0..count).map(|_| free_addr()).collect(),
            processes,
            starts: AtomicU64::new(0),
            run: run.split(' ').map(str::to_string).collect(),
        }
    }

    pub fn write_settings(&self, s: &Settings, cloud: SocketAddr, state: SocketAddr) {
        for i in 0..self.labels.len() {
            let area = |i: usize| s.zones[i % s.zones.len()];
            let mut text = format!(
                "label = {:?}\narea = {:?}\npublic_addr = \"{}\"\nback = \"{}\"\n",
                self.labels[i], area(i), self.public[i], self.back[i]
            );
            for j in (0..self.labels.len()).filter(|j| *j != i) {
                text += &format!("[[siblings]]\nlabel = {:?}\narea = {:?}\naddr = \"{}\"\n", self.labels[j], area(j), self.back[j]);
            }
            text += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n");
            text += &format!("[deployment]\ninitial_size = {}\nzones = {:?}\ntime_bound_ms = 25.0\n", self.labels.len(), s.zones);
            for (name, gpus, max) in &s.teams {
                text += &format!(
                    "[[deployment.teams]]\nname = {name:?}\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:.1}\ngpus_max = {max:.1}\n"
                );
            }
            for (kind, class, within, share) in &s.objectives {
                text += &format!("[[deployment.objectives]]\nkind = {kind:?}\nwithin_s = {within:.1}\nshare = {share}\n");
                if !class.is_empty() {
                    text += &format!("class = {class:?}\n");
                }
            }
            text += &format!(
                "[deployment.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = {:.1}\ngang_peer_s = {:.1}\ncancel_s = {:.1}\n",
                s.report_s, s.lease_s, s.gang_wait_s, s.gang_peer_s, s.cancel_s
            );
            text += &format!(
                "[deployment.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n",
                s.rps, s.write_rps, s.value_kb, s.txn_ops
            );
            text += &format!("[deployment.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n", s.cloud_rps, s.list_lag_s);
            text += &format!(
                "[deployment.quota]\ncpu = {}\nmem_mb = {:.1}\nmax_connections = {}\n",
                s.cpu, s.mem_mb, s.max_connections
            );
            std::fs::write(format!("{}/n{i}.toml", self.folder), text).expect("settings");
        }
    }

    pub fn start(&self, i: usize) {
        let number = self.starts.fetch_add(1, SeqCst);
        let log = File::create(format!("{}/n{i}-{number}.log", self.folder)).expect("log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(format!("{}/n{i}.toml", self.folder))
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                note(&format!("start controller {i} pid={}", child.id()));
                lock(&self.processes)[i] = Some(child);
            }
            Err(why) => {
                note(&format!("controller {i} does not start: {why}"));
                finish(self, 2, "a controller does not start");
            }
        }
    }
    pub fn start_all(&self) {
        (0..self.labels.len()).for_each(|i| self.start(i));
    }
    pub fn kill(&self, i: usize) {
        if let Some(mut child) = lock(&self.processes)[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        note(&format!("kill controller {i}"));
    }
    /// Sends STOP or CONT.
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = lock(&self.processes)[i].as_ref() {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
        note(&format!("signal {signal} controller {i}"));
    }
    pub fn alive(&self, i: usize) -> bool {
        lock(&self.processes)[i].as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }
    /// Waits until a leader has read its records and every node is ready.
    pub fn wait_ready(&self, until: f64) -> bool {
        while now() < until {
            let ready = self.public.iter().all(|a| matches!(call(*a, "GET", "/ready", None, 1000), Some((200, _))));
            if ready && self.logs().contains("event=leader_state_loaded") {
                return true;
            }
            pause(200);
        }
        false
    }
    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let logs = files.filter(|f| f.path().extension().is_some_and(|e| e == "log"));
        logs.filter_map(|f| std::fs::read_to_string(f.path()).ok()).collect()
    }
    /// The controller that was elected last, by its log.
    pub fn leader(&self, state: &StateService) -> Option<usize> {
        let record = state.value("lead")?;
        self.labels.iter().position(|l| l == record.get("node").str())
    }
}

/// A free loopback address below the ports that the system gives out by itself.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id() % 190) * 100;
    loop {
        let port = 12_000 + (first + NEXT.fetch_add(1, SeqCst)) % 19_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
