//! Rounds of upgrade, rollback and upgrade again with an older build on loopback, under load; see
//! `scripts/upgrade-rounds`.
//!
//! `upgrade_rounds OLD NEW ROUNDS FOLDER`: OLD and NEW are programs, OLD is started without operators' settings.
//! Measures each pass through the controllers, and compares it with plain restarts of the same build. Not part of CI.

use hdrhistogram::Histogram;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use vetchmount_standins::{Build, Controllers, Outside};

/// Newest feature level of the build.
const NEWEST_LEVEL: u32 = 3;
const CONTROLLERS: usize = 3;
const MACHINES: usize = 8;
/// Between two restarts.
const SETTLE: Duration = Duration::from_millis(2_000);
/// Milliseconds for which what is waited for may take.
const WITHIN_MS: u64 = 60_000;

const HELD: &str = r#"{"rollout": {"finalize": "held"}}"#;
const AUTOMATIC: &str = r#"{"rollout": {"finalize": "automatic", "soak_s": 1.0}}"#;

/// A pass through all controllers.
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

/// What was measured of a kind of pass.
struct Measured {
    elections: Histogram<u64>,
    refused: Histogram<u64>,
    answers_ms: Histogram<u64>,
    starts_ms: Histogram<u64>,
}

impl Measured {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits");
        Measured {
            elections: histogram(),
            refused: histogram(),
            answers_ms: histogram(),
            starts_ms: histogram(),
        }
    }
}

struct Builds {
    old: Build,
    held: Build,
    automatic: Build,
}

impl Builds {
    fn of(&self, pass: Pass) -> &Build {
        match pass {
            Pass::RestartOld | Pass::Rollback => &self.old,
            Pass::Upgrade | Pass::RestartNew => &self.held,
            Pass::UpgradeAgain => &self.automatic,
        }
    }
}

fn through(
    pass: Pass,
    order: [usize; CONTROLLERS],
    builds: &Builds,
    controllers: &mut Controllers,
    outside: &Outside,
    measured: &mut Measured,
) -> std::io::Result<()> {
    let (from, term) = (outside.now_ms(), outside.term());
    let refused = outside.history().refusals();
    for number in order {
        controllers.stop(number)?;
        controllers.start(number, builds.of(pass), outside)?;
        std::thread::sleep(SETTLE);
    }
    let gaps = outside.history().gaps(from, outside.now_ms(), refused);
    let record = |histogram: &mut Histogram<u64>, value: u64| histogram.saturating_record(value);
    record(&mut measured.elections, outside.term() - term);
    record(&mut measured.refused, gaps.refused);
    record(&mut measured.answers_ms, gaps.answers_ms);
    record(&mut measured.starts_ms, gaps.starts_ms);
    Ok(())
}

/// Plays a round; whether it ended as it must.
fn round(
    number: usize,
    folder: &Path,
    builds: &Builds,
    measured: &mut [Measured],
) -> std::io::Result<bool> {
    let folder = folder.join(format!("round-{number}"));
    let mut controllers = Controllers::new(&folder, CONTROLLERS)?;
    let mut outside = Outside::start(controllers.labels(), controllers.addresses(), MACHINES);
    for controller in 0..CONTROLLERS {
        controllers.start(controller, &builds.old, &outside)?;
    }
    std::thread::sleep(2 * SETTLE);
    outside.start_users();
    std::thread::sleep(SETTLE);
    for (pass, measured) in PASSES.into_iter().zip(measured) {
        // Another order each time.
        let first = (number + pass as usize) % CONTROLLERS;
        let order = [first, (first + 1) % CONTROLLERS, (first + 2) % CONTROLLERS];
        through(pass, order, builds, &mut controllers, &outside, measured)?;
    }
    let until = outside.now_ms() + WITHIN_MS;
    while outside.finalized() < NEWEST_LEVEL && outside.now_ms() < until {
        std::thread::sleep(SETTLE / 10);
    }
    let is_final = outside.finalized() == NEWEST_LEVEL;
    let is_drained = outside.drain(WITHIN_MS);
    let (jobs, starts) = outside.history().counts();
    let breaches = outside.history().breaches().to_vec();
    println!(
        "round {number}: {jobs} jobs, {starts} starts, final {is_final}, all over {is_drained}, breaches {breaches:?}"
    );
    outside.stop();
    drop(controllers);
    let is_good = is_final && is_drained && breaches.is_empty();
    if is_good {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(is_good)
}

fn print_table(measured: &[Measured]) {
    println!("| pass | n | elections | refused | no answer, ms | no start, ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (pass, m) in PASSES.iter().zip(measured) {
        let of = |h: &Histogram<u64>| {
            format!(
                "{} / {} / {}",
                h.value_at_quantile(0.5),
                h.value_at_quantile(0.9),
                h.max()
            )
        };
        println!(
            "| {pass:?} | {} | {} | {} | {} | {} |",
            m.elections.len(),
            of(&m.elections),
            of(&m.refused),
            of(&m.answers_ms),
            of(&m.starts_ms)
        );
    }
}

fn run(old: PathBuf, new: PathBuf, rounds: usize, folder: &Path) -> std::io::Result<bool> {
    std::fs::create_dir_all(folder)?;
    let with = |name: &str, json: &str| -> std::io::Result<Build> {
        let operator = folder.join(name);
        std::fs::write(&operator, json)?;
        Ok(Build {
            program: new.clone(),
            operator: Some(operator),
        })
    };
    let builds = Builds {
        old: Build {
            program: old,
            operator: None,
        },
        held: with("held.json", HELD)?,
        automatic: with("automatic.json", AUTOMATIC)?,
    };
    let mut measured: Vec<Measured> = PASSES.iter().map(|_| Measured::new()).collect();
    let mut good = 0;
    for number in 0..rounds {
        good += usize::from(round(number, folder, &builds, &mut measured)?);
    }
    println!("{good} of {rounds} rounds ended as they must");
    println!("median / p90 / most:");
    print_table(&measured);
    Ok(good == rounds)
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
        Err(why) => {
            eprintln!("upgrade_rounds: {why}");
            ExitCode::FAILURE
        }
    }
}
