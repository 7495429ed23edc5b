//! Starts and stops real controller processes on loopback.

use crate::workers::{LEASE_MS, REPORT_INTERVAL_MS};
use crate::Environment;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// How long a graceful stop may take before the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of sockets that a controller may use unless [`Controllers::limit_sockets`] sets another limit.
const DEFAULT_SOCKET_LIMIT: usize = 400;
/// First port of the first block. Each process takes the ports of all its controllers from one block.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in a block.
const PORTS_PER_BLOCK: u16 = 100;
/// Number of blocks. All of them lie below the ephemeral ports that the system assigns.
const PORT_BLOCK_COUNT: u32 = 190;
/// Interval between checks whether a stopping process has exited.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Offset, within this process's block, of the next port to allocate.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// A build of the service and the operator settings that it is started with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Build {
    /// Path of the executable.
    pub program: PathBuf,
    /// Path of the operator settings file, if any.
    pub operator_settings: Option<PathBuf>,
}

/// The controller processes of a cluster. Dropping it kills all of them.
pub struct Controllers {
    folder: PathBuf,
    labels: Vec<String>,
    /// Addresses for users and workers.
    public_addresses: Vec<SocketAddr>,
    /// Addresses for the other controllers.
    peer_addresses: Vec<SocketAddr>,
    processes: Vec<Option<Child>>,
    /// Number of starts so far. It is part of the names of the log files.
    start_count: usize,
    /// Number of sockets that a controller may use.
    socket_limit: usize,
}

impl Controllers {
    /// Chooses addresses for `count` controllers without starting them. Their settings and log files go into `folder`.
    pub fn new(folder: &Path, count: usize) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let mut candidates = free_addresses();
        let mut addresses = || -> io::Result<Vec<SocketAddr>> {
            let free: Vec<SocketAddr> = candidates.by_ref().take(count).collect();
            match free.len() == count {
                true => Ok(free),
                false => Err(io::ErrorKind::AddrNotAvailable.into()),
            }
        };
        Ok(Controllers {
            folder: folder.to_path_buf(),
            labels: (0..count).map(|i| format!("n{i}")).collect(),
            public_addresses: addresses()?,
            peer_addresses: addresses()?,
            processes: (0..count).map(|_| None).collect(),
            start_count: 0,
            socket_limit: DEFAULT_SOCKET_LIMIT,
        })
    }

    /// Limits the number of sockets of each controller that is started from now on.
    pub fn limit_sockets(&mut self, socket_limit: usize) {
        self.socket_limit = socket_limit;
    }

    /// Labels of the controllers, in order of their numbers.
    pub fn labels(&self) -> Vec<String> {
        self.labels.clone()
    }

    /// Addresses for users and workers, in order of the controller numbers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.public_addresses.clone()
    }

    /// Starts a controller with a new log file.
    pub fn start(
        &mut self,
        number: usize,
        build: &Build,
        environment: &Environment,
    ) -> io::Result<()> {
        let settings = self.write_settings(number, environment)?;
        self.start_count += 1;
        let log = File::create(
            self.folder
                .join(format!("n{number}-{}.log", self.start_count)),
        )?;
        let mut command = Command::new(&build.program);
        if let Some(operator_settings) = &build.operator_settings {
            command.arg("--operator").arg(operator_settings);
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
    pub fn write_settings(&self, number: usize, environment: &Environment) -> io::Result<PathBuf> {
        let settings = self.folder.join(format!("n{number}.toml"));
        std::fs::write(&settings, self.settings(number, environment))?;
        Ok(settings)
    }

    /// Kills a controller (SIGKILL) and waits for it to exit.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut process) = self.processes[number].take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends SIGTERM to a controller and waits for it to exit. After a timeout it kills the controller and returns an error.
    pub fn stop(&mut self, number: usize) -> io::Result<()> {
        let Some(process) = &mut self.processes[number] else {
            return Ok(());
        };
        let id = process.id().to_string();
        Command::new("kill").arg("-TERM").arg(id).status()?;
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline {
            if process.try_wait()?.is_some() {
                self.processes[number] = None;
                return Ok(());
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        self.kill(number);
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "controller did not stop within the timeout",
        ))
    }

    /// The contents of all log files so far.
    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(&self.folder)
            .into_iter()
            .flatten()
            .flatten();
        let logs = files.filter(|file| file.path().extension().is_some_and(|end| end == "log"));
        let texts = logs.filter_map(|file| std::fs::read_to_string(file.path()).ok());
        texts.collect()
    }

    /// Returns the settings of a controller in TOML.
    fn settings(&self, number: usize, environment: &Environment) -> String {
        let mut text = format!(
            "label = \"{}\"\narea = \"a\"\npublic_addr = \"{}\"\nback = \"{}\"\n\
             [outside]\ncloud = \"{}\"\nstate = \"{}\"\n",
            self.labels[number],
            self.public_addresses[number],
            self.peer_addresses[number],
            environment.cloud_addr(),
            environment.state_addr()
        );
        for other in (0..self.labels.len()).filter(|other| *other != number) {
            text += &format!(
                "[[siblings]]\nlabel = \"{}\"\narea = \"a\"\naddr = \"{}\"\n",
                self.labels[other], self.peer_addresses[other]
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
            REPORT_INTERVAL_MS as f64 / 1000.0,
            LEASE_MS as f64 / 1000.0,
            self.socket_limit
        )
    }
}

/// Loopback addresses that no process listens on. Their ports lie below the ephemeral range, so that the system does not
/// assign the port of a controller to another socket while the controller restarts. Each address is returned only once
/// per process, so two clusters of one process never share an address.
fn free_addresses() -> impl Iterator<Item = SocketAddr> {
    let first = FIRST_PORT + (std::process::id() % PORT_BLOCK_COUNT) as u16 * PORTS_PER_BLOCK;
    let next =
        || Some(NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed)).filter(|n| *n < PORTS_PER_BLOCK);
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
