//! Real controller processes on loopback.

use crate::workers::{LEASE_MS, REPORT_MS};
use crate::Outside;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// How long an orderly stop may take until the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Sockets of a controller, unless they are limited.
const SOCKETS: usize = 400;
/// First port of the first block. Each run of this process takes the ports of its controllers from one block.
const FIRST_PORT: u16 = 12_000;
/// Ports of a block.
const PORTS_IN_BLOCK: u16 = 100;
/// Number of blocks: all lie below the ports that the system assigns by itself.
const PORT_BLOCKS: u32 = 190;
/// How often a stopping process is checked.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Ports of this process's block that were given out.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A build of the service, and the settings that it is started with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Build {
    /// Its program.
    pub program: PathBuf,
    /// The operators' settings, if any.
    pub operator: Option<PathBuf>,
}

/// The controllers of a cluster.
pub struct Controllers {
    folder: PathBuf,
    labels: Vec<String>,
    /// Addresses for users and workers.
    public: Vec<SocketAddr>,
    /// Addresses for the other controllers.
    back: Vec<SocketAddr>,
    processes: Vec<Option<Child>>,
    /// Starts so far, which number the log files.
    starts: usize,
    /// Sockets that each controller may use.
    sockets: usize,
}

impl Controllers {
    /// Chooses addresses for that many controllers. Their files go into `folder`.
    pub fn new(folder: &Path, count: usize) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let mut ports = free_ports();
        let mut addresses = || -> io::Result<Vec<SocketAddr>> {
            let found: Vec<SocketAddr> = ports.by_ref().take(count).collect();
            match found.len() == count {
                true => Ok(found),
                false => Err(io::ErrorKind::AddrNotAvailable.into()),
            }
        };
        Ok(Controllers {
            folder: folder.to_path_buf(),
            labels: (0..count).map(|i| format!("n{i}")).collect(),
            public: addresses()?,
            back: addresses()?,
            processes: (0..count).map(|_| None).collect(),
            starts: 0,
            sockets: SOCKETS,
        })
    }

    /// Limits the sockets of controllers that are started from now on.
    pub fn limit_sockets(&mut self, sockets: usize) {
        self.sockets = sockets;
    }

    /// Their labels.
    pub fn labels(&self) -> Vec<String> {
        self.labels.clone()
    }

    /// Their addresses for users and workers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.public.clone()
    }

    /// Starts a controller.
    pub fn start(&mut self, number: usize, build: &Build, outside: &Outside) -> io::Result<()> {
        let settings = self.write_settings(number, outside)?;
        self.starts += 1;
        let log = File::create(self.folder.join(format!("n{number}-{}.log", self.starts)))?;
        let mut command = Command::new(&build.program);
        if let Some(operator) = &build.operator {
            command.arg("--operator").arg(operator);
        }
        command
            .arg("--config")
            .arg(&settings)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.processes[number] = Some(command.spawn()?);
        Ok(())
    }

    /// Writes the settings file of a controller and returns its path.
    pub fn write_settings(&self, number: usize, outside: &Outside) -> io::Result<PathBuf> {
        let settings = self.folder.join(format!("n{number}.toml"));
        std::fs::write(&settings, self.settings(number, outside))?;
        Ok(settings)
    }

    /// Ends a controller without warning.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut process) = self.processes[number].take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Asks a controller to stop, and waits until it has.
    pub fn stop(&mut self, number: usize) -> io::Result<()> {
        let Some(process) = &mut self.processes[number] else {
            return Ok(());
        };
        let id = process.id().to_string();
        Command::new("kill").arg("-TERM").arg(id).status()?;
        let until = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < until {
            if process.try_wait()?.is_some() {
                self.processes[number] = None;
                return Ok(());
            }
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        self.kill(number);
        Err(io::Error::new(io::ErrorKind::TimedOut, "it did not stop"))
    }

    /// All log lines so far.
    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(&self.folder)
            .into_iter()
            .flatten()
            .flatten();
        let logs = files.filter(|file| file.path().extension().is_some_and(|end| end == "log"));
        let texts = logs.filter_map(|file| std::fs::read_to_string(file.path()).ok());
        texts.collect()
    }

    /// The settings of a controller, in TOML.
    fn settings(&self, number: usize, outside: &Outside) -> String {
        let mut text = format!(
            "label = \"{}\"\narea = \"a\"\npublic_addr = \"{}\"\nback = \"{}\"\n\
             [outside]\ncloud = \"{}\"\nstate = \"{}\"\n",
            self.labels[number],
            self.public[number],
            self.back[number],
            outside.cloud_addr(),
            outside.state_addr()
        );
        for other in (0..self.labels.len()).filter(|other| *other != number) {
            text += &format!(
                "[[siblings]]\nlabel = \"{}\"\narea = \"a\"\naddr = \"{}\"\n",
                self.labels[other], self.back[other]
            );
        }
        text + &format!(
            "[deployment]\nzones = [\"a\"]\n[[deployment.teams]]\nname = \"t\"\n\
             [[deployment.objectives]]\nkind = \"guarantee\"\n\
             [deployment.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 35.0\n\
             gang_peer_s = 8.0\ncancel_s = 30.0\n\
             [deployment.state]\nrps = 400.0\nwrite_rps = 120.0\nvalue_kb = 16.0\ntxn_ops = 12\n\
             [deployment.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n\
             [deployment.quota]\ncpu = 1.0\nmem_mb = 200.0\nmax_connections = {}\n",
            REPORT_MS as f64 / 1000.0,
            LEASE_MS as f64 / 1000.0,
            self.sockets
        )
    }
}

/// Addresses that nobody listens on. They lie below the ports that the system assigns by itself, so that the port of a
/// controller that is down for a moment stays free. No two clusters of this process get the same.
fn free_ports() -> impl Iterator<Item = SocketAddr> {
    let first = FIRST_PORT + (std::process::id() % PORT_BLOCKS) as u16 * PORTS_IN_BLOCK;
    let next = || Some(NEXT_PORT.fetch_add(1, Ordering::Relaxed)).filter(|n| *n < PORTS_IN_BLOCK);
    let all = std::iter::from_fn(next).map(move |n| first + n);
    let addresses = all.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    addresses.filter(|addr| TcpListener::bind(addr).is_ok())
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for number in 0..self.processes.len() {
            self.kill(number);
        }
    }
}
