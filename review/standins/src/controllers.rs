//! The service's own processes, started with the command of the deploy file.

use crate::http::free_address;
use crate::lock;
use crate::record::Record;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

/// Seconds after which a case is ended in any case.
const CASE_LIMIT_S: f64 = 114.0;

/// Exit status of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Where a controller finds the others and the services.
#[derive(Clone)]
pub struct Surroundings {
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    /// Address of each controller for this one, by number; its own is not used.
    pub peers: Vec<SocketAddr>,
}

/// All controllers of a deployment.
pub struct Controllers {
    record: Record,
    folder: PathBuf,
    run: Vec<String>,
    /// Addresses for users and workers.
    pub public: Vec<SocketAddr>,
    /// Addresses for the other controllers.
    pub back: Vec<SocketAddr>,
    processes: Arc<Mutex<Vec<Option<Child>>>>,
    starts: usize,
}

impl Controllers {
    /// Chooses addresses. The run command is read from the deploy file, in the current folder.
    pub fn new(record: &Record, folder: &Path, count: usize) -> Self {
        let file = std::env::var("DEPLOY").unwrap_or("deploy/service.toml".into());
        let deploy = std::fs::read_to_string(file).expect("read the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .expect("a run command");
        let processes = Arc::new(Mutex::new((0..count).map(|_| None).collect::<Vec<_>>()));
        end_in_time(record, Arc::clone(&processes));
        Controllers {
            record: record.clone(),
            folder: folder.to_path_buf(),
            run: run
                .trim_matches('"')
                .split(' ')
                .map(str::to_string)
                .collect(),
            public: (0..count).map(|_| free_address()).collect(),
            back: (0..count).map(|_| free_address()).collect(),
            processes,
            starts: 0,
        }
    }

    /// Label of a controller.
    pub fn label(number: usize) -> String {
        format!("steading-{number}")
    }

    /// Starts a controller. `deployment` is the part of its settings that all controllers have.
    pub fn start(
        &mut self,
        number: usize,
        zones: &[&str],
        around: &Surroundings,
        deployment: &str,
    ) {
        let zone = |number: usize| zones[number % zones.len()];
        let mut settings = format!(
            "label = \"{}\"\narea = \"{}\"\npublic_addr = \"{}\"\nback = \"{}\"\n",
            Self::label(number),
            zone(number),
            self.public[number],
            self.back[number]
        );
        for other in (0..self.public.len()).filter(|other| *other != number) {
            settings += &format!(
                "\n[[siblings]]\nlabel = \"{}\"\narea = \"{}\"\naddr = \"{}\"\n",
                Self::label(other),
                zone(other),
                around.peers[other]
            );
        }
        settings += &format!(
            "\n[outside]\ncloud = \"{}\"\nstate = \"{}\"\n\n",
            around.cloud, around.state
        );
        settings += deployment;
        let path = self.folder.join(format!("n{number}.toml"));
        std::fs::write(&path, settings).expect("write the settings");
        self.starts += 1;
        let log = File::create(self.log_path(number, self.starts)).expect("create the log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&path)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start a controller");
        self.record.say(format!(
            "controller n{number} started, process {}",
            child.id()
        ));
        self.note_process(child.id());
        lock(&self.processes)[number] = Some(child);
    }

    /// Notes a process for the script, which ends it if this program is killed.
    fn note_process(&self, id: u32) {
        let path = self.folder.join("pids");
        let file = File::options().create(true).append(true).open(path);
        let _ = file.and_then(|mut file| writeln!(file, "{id}"));
    }

    fn log_path(&self, number: usize, start: usize) -> PathBuf {
        self.folder.join(format!("n{number}-{start}.log"))
    }

    /// All that a controller has logged so far.
    pub fn logged(&self, number: usize) -> String {
        let starts = 1..=self.starts;
        let logs =
            starts.filter_map(|start| std::fs::read_to_string(self.log_path(number, start)).ok());
        logs.collect()
    }

    /// Copies the logged lines that contain one of these words into the record.
    pub fn record_logged(&self, words: &[&str]) {
        for number in 0..self.public.len() {
            for line in self.logged(number).lines() {
                if words.iter().any(|word| line.contains(word)) {
                    self.record.say(format!("log n{number} {line}"));
                }
            }
        }
    }

    /// Sends a signal to a controller.
    pub fn signal(&self, number: usize, signal: &str) {
        let processes = lock(&self.processes);
        if let Some(child) = &processes[number] {
            self.record
                .say(format!("controller n{number} gets {signal}"));
            let id = child.id().to_string();
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(id)
                .status();
        }
    }

    /// Kills a controller and waits for its end.
    pub fn kill(&self, number: usize) {
        self.record.say(format!("controller n{number} is killed"));
        if let Some(mut child) = lock(&self.processes)[number].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process of a controller has ended by itself.
    pub fn has_ended(&self, number: usize) -> bool {
        let mut processes = lock(&self.processes);
        processes[number]
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Ends all controllers, and the case.
    pub fn finish(&self, status: i32) -> ! {
        end_all(&self.processes);
        self.record.say(format!("exit {status}"));
        std::process::exit(status);
    }
}

fn end_all(processes: &Mutex<Vec<Option<Child>>>) {
    for child in lock(processes).iter_mut().flatten() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends the case when it takes too long or a thread panics.
fn end_in_time(record: &Record, processes: Arc<Mutex<Vec<Option<Child>>>>) {
    let (timed, at_panic) = (record.clone(), record.clone());
    let ended = Arc::clone(&processes);
    std::thread::spawn(move || {
        crate::sleep(CASE_LIMIT_S - timed.now());
        timed.say("the case took too long");
        end_all(&ended);
        std::process::exit(COULD_NOT_RUN);
    });
    std::panic::set_hook(Box::new(move |panic| {
        at_panic.say(format!("{panic}"));
        end_all(&processes);
        std::process::exit(COULD_NOT_RUN);
    }));
}
