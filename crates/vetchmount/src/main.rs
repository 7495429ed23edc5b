//! The controller daemon: command line, settings, logging and the loop around a [`control::Node`].

mod clients;
mod daemon;
mod net;
mod peer_links;
mod servers;
mod settings;

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// vetchmount, a cluster scheduler: one controller node.
#[derive(Parser)]
#[command(name = "vetchmount", version, about)]
struct Cli {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (JSON, see schema/operator.schema.json); defaults hold without them.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    /// Print the schema of the operators' settings and exit.
    #[arg(long)]
    print_schema: bool,
}

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if cli.print_schema {
        println!("{}", settings::schema_text());
        return ExitCode::SUCCESS;
    }
    let Some(config) = cli.config else {
        eprintln!("vetchmount: --config FILE is required, see --help");
        return ExitCode::from(BAD_SETTINGS);
    };
    let loaded = settings::load(&config).and_then(|s| {
        let operator = match &cli.operator {
            Some(path) => settings::load_operator(path)?,
            None => control::Operator::default(),
        };
        operator.validate(&s)?;
        Ok((s, operator))
    });
    let (settings, operator) = match loaded {
        Ok(loaded) => loaded,
        Err(why) => {
            eprintln!("vetchmount: {why}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if cli.check {
        println!("{}: ok", config.display());
        return ExitCode::SUCCESS;
    }
    start_logging();
    match daemon::run(settings, operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::error!("event=fatal why={why}");
            ExitCode::FAILURE
        }
    }
}

fn start_logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "error".into());
    let filter = level.parse().unwrap_or(log::LevelFilter::Error);
    env_logger::Builder::new()
        .filter_level(filter)
        .filter_module("polling", log::LevelFilter::Error)
        .format(|out, record| {
            use std::io::Write;
            writeln!(out, "level={} {}", record.level(), record.args())
        })
        .init();
}
