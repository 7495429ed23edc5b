//! Repeatedly upgrades a cluster on loopback from an older build, rolls it back and upgrades it again, under load; see
//! `scripts/upgrade-rounds`.
//!
//! `upgrade_rounds OLD NEW ROUNDS FOLDER`: OLD and NEW are executables; OLD is started without operator settings.
//! Measures each pass through the controllers, and plain restarts of the same build for comparison. Not part of CI.

use hdrhistogram::Histogram;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use vetchmount_standins::{Build, Controllers, Environment};

/// Newest feature level of the NEW build.
const NEWEST_LEVEL: u32 = 3;
const CONTROLLERS: usize = 3;
const MACHINES: usize = 8;
/// Pause after each restart.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Timeout, in milliseconds, for the finalization of the level and for the completion of all jobs.
const WAIT_TIMEOUT_MS: u64 = 60_000;

/// Operator settings that hold finalization back.
const HELD_SETTINGS: &str = r#"{"rollout": {"finalize": "held"}}"#;
/// Operator settings that finalize automatically after a soak time of 1 s.
const AUTOMATIC_SETTINGS: &str = r#"{"rollout": {"finalize": "automatic", "soak_s": 1.0}}"#;

/// A kind of pass that restarts all controllers, one after another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Pass {
    RestartOld,
    Upgrade,
    RestartNew,
    Rollback,
    UpgradeAgain,
}

const PASSES: [Pass; 5] = [
    Pass::RestartOld,
    Pass::Upgrade,
    Pass::RestartNew,
    Pass::Rollback,
    Pass::UpgradeAgain,
];

/// Measurements of all passes of one kind.
struct PassMeasurements {
    elections: Histogram<u64>,
    refused: Histogram<u64>,
    answers_ms: Histogram<u64>,
    starts_ms: Histogram<u64>,
}

impl PassMeasurements {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three significant digits are supported");
        PassMeasurements {
            elections: histogram(),
            refused: histogram(),
            answers_ms: histogram(),
            starts_ms: histogram(),
        }
    }
}

/// The builds that the passes start.
struct Builds {
    old: Build,
    /// The new build with finalization held back.
    held: Build,
    /// The new build with automatic finalization.
    automatic: Build,
}

impl Builds {
    fn for_pass(&self, pass: Pass) -> &Build {
        match pass {
            Pass::RestartOld | Pass::Rollback => &self.old,
            Pass::Upgrade | Pass::RestartNew => &self.held,
            Pass::UpgradeAgain => &self.automatic,
        }
    }
}

/// Restarts all controllers in the given order with the build of the pass, and records measurements.
fn run_pass(
    pass: Pass,
    order: [usize; CONTROLLERS],
    builds: &Builds,
    controllers: &mut Controllers,
    environment: &Environment,
    measured: &mut PassMeasurements,
) -> std::io::Result<()> {
    let (from, term) = (environment.now_ms(), environment.term());
    let refused = environment.history().refused_requests();
    for number in order {
        controllers.stop(number)?;
        controllers.start(number, builds.for_pass(pass), environment)?;
        std::thread::sleep(SETTLE_TIME);
    }
    let gaps = environment
        .history()
        .longest_gaps(from, environment.now_ms(), refused);
    let record = |histogram: &mut Histogram<u64>, value: u64| histogram.saturating_record(value);
    record(&mut measured.elections, environment.term() - term);
    record(&mut measured.refused, gaps.refused);
    record(&mut measured.answers_ms, gaps.answers_ms);
    record(&mut measured.starts_ms, gaps.starts_ms);
    Ok(())
}

/// Runs a round on a new cluster. Returns whether the newest level was finalized, all jobs ended and no rule was
/// violated.
fn run_round(
    number: usize,
    folder: &Path,
    builds: &Builds,
    measured: &mut [PassMeasurements],
) -> std::io::Result<bool> {
    let folder = folder.join(format!("round-{number}"));
    let mut controllers = Controllers::new(&folder, CONTROLLERS)?;
    let mut environment =
        Environment::start(controllers.labels(), controllers.addresses(), MACHINES);
    for controller in 0..CONTROLLERS {
        controllers.start(controller, &builds.old, &environment)?;
    }
    std::thread::sleep(2 * SETTLE_TIME);
    environment.start_users();
    std::thread::sleep(SETTLE_TIME);
    for (pass, measured) in PASSES.into_iter().zip(measured) {
        // The controller that restarts first varies by round and pass.
        let first = (number + pass as usize) % CONTROLLERS;
        let order = [first, (first + 1) % CONTROLLERS, (first + 2) % CONTROLLERS];
        run_pass(
            pass,
            order,
            builds,
            &mut controllers,
            &environment,
            measured,
        )?;
    }
    let deadline = environment.now_ms() + WAIT_TIMEOUT_MS;
    while environment.finalized_level() < NEWEST_LEVEL && environment.now_ms() < deadline {
        std::thread::sleep(SETTLE_TIME / 10);
    }
    let is_final = environment.finalized_level() == NEWEST_LEVEL;
    let is_drained = environment.drain(WAIT_TIMEOUT_MS);
    let (jobs, starts) = environment.history().job_and_start_counts();
    let violations = environment.history().violations().to_vec();
    println!(
        "round {number}: {jobs} jobs, {starts} starts, final {is_final}, all over {is_drained}, breaches {violations:?}"
    );
    environment.stop();
    drop(controllers);
    let succeeded = is_final && is_drained && violations.is_empty();
    if succeeded {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(succeeded)
}

fn print_table(measured: &[PassMeasurements]) {
    println!("| pass | n | elections | refused | no answer, ms | no start, ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (pass, measurements) in PASSES.iter().zip(measured) {
        let quantiles = |histogram: &Histogram<u64>| {
            format!(
                "{} / {} / {}",
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.9),
                histogram.max()
            )
        };
        println!(
            "| {pass:?} | {} | {} | {} | {} | {} |",
            measurements.elections.len(),
            quantiles(&measurements.elections),
            quantiles(&measurements.refused),
            quantiles(&measurements.answers_ms),
            quantiles(&measurements.starts_ms)
        );
    }
}

fn run(old: PathBuf, new: PathBuf, rounds: usize, folder: &Path) -> std::io::Result<bool> {
    std::fs::create_dir_all(folder)?;
    let write_build = |name: &str, json: &str| -> std::io::Result<Build> {
        let operator_settings = folder.join(name);
        std::fs::write(&operator_settings, json)?;
        Ok(Build {
            program: new.clone(),
            operator_settings: Some(operator_settings),
        })
    };
    let builds = Builds {
        old: Build {
            program: old,
            operator_settings: None,
        },
        held: write_build("held.json", HELD_SETTINGS)?,
        automatic: write_build("automatic.json", AUTOMATIC_SETTINGS)?,
    };
    let mut measured: Vec<PassMeasurements> =
        PASSES.iter().map(|_| PassMeasurements::new()).collect();
    let mut succeeded_rounds = 0;
    for number in 0..rounds {
        succeeded_rounds += usize::from(run_round(number, folder, &builds, &mut measured)?);
    }
    println!("{succeeded_rounds} of {rounds} rounds ended as they must");
    println!("median / p90 / most:");
    print_table(&measured);
    Ok(succeeded_rounds == rounds)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [old, new, rounds, folder] = arguments.as_slice() else {
        eprintln!("upgrade_rounds: usage: OLD NEW ROUNDS FOLDER");
        return ExitCode::from(2);
    };
    let Ok(rounds) = rounds.parse() else {
        eprintln!("upgrade_rounds: ROUNDS: not a number: {rounds:?}");
        return ExitCode::from(2);
    };
    match run(old.into(), new.into(), rounds, Path::new(folder)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("upgrade_rounds: {error}");
            ExitCode::FAILURE
        }
    }
}
