//! Runs a state service, a cloud and workers on loopback, for manual tests of the service.
//!
//! `local_outside FOLDER MINUTES` writes the settings of three controllers to FOLDER, as `n0.toml` to `n2.toml`, and
//! exits after MINUTES minutes.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use vetchmount_standins::{Controllers, Environment};

const CONTROLLERS: usize = 3;
const MACHINES: usize = 6;

fn run(folder: &Path, minutes: u64) -> std::io::Result<()> {
    let controllers = Controllers::new(folder, CONTROLLERS)?;
    let environment = Environment::start(controllers.labels(), controllers.addresses(), MACHINES);
    for (number, addr) in controllers.addresses().iter().enumerate() {
        let settings = controllers.write_settings(number, &environment)?;
        println!("{} serves users at {addr}", settings.display());
    }
    std::thread::sleep(Duration::from_secs(60 * minutes));
    environment.stop();
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [folder, minutes] = arguments.as_slice() else {
        eprintln!("local_outside: usage: FOLDER MINUTES");
        return ExitCode::from(2);
    };
    let Ok(minutes) = minutes.parse() else {
        eprintln!("local_outside: MINUTES: not a number: {minutes:?}");
        return ExitCode::from(2);
    };
    match run(Path::new(folder), minutes) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("local_outside: {error}");
            ExitCode::FAILURE
        }
    }
}
