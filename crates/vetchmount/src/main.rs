//! The controller daemon: command line, settings, logging and the main loop that drives a [`control::Node`].

mod daemon;
mod http_client;
mod http_server;
mod net;
mod peer_connections;
mod settings;

use clap::Parser;
use control::{Operator, Settings};
use settings::SettingsError;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// vetchmount, a cluster scheduler: one controller node.
#[derive(Parser)]
#[command(name = "vetchmount", version, about)]
struct Cli {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (JSON, see schema/operator.schema.json); defaults apply without this file.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    /// Print the schema of the operators' settings and exit.
    #[arg(long)]
    print_schema: bool,
}

/// Exit code for a missing `--config` or invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if cli.print_schema {
        println!("{}", settings::schema_text());
        return ExitCode::SUCCESS;
    }
    let Some(config) = &cli.config else {
        eprintln!("vetchmount: --config FILE is required, see --help");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let (settings, operator) = match load_settings(config, cli.operator.as_deref()) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("vetchmount: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if cli.check {
        println!("{}: ok", config.display());
        return ExitCode::SUCCESS;
    }
    start_logging();
    match daemon::run(settings, operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=fatal why={error}");
            ExitCode::FAILURE
        }
    }
}

/// Loads the platform's settings and the operators' own settings. The defaults of the latter apply if no file is given.
fn load_settings(
    config: &Path,
    operator: Option<&Path>,
) -> Result<(Settings, Operator), SettingsError> {
    let settings = settings::load_platform(config)?;
    let operator = match operator {
        Some(path) => settings::load_operator(path)?,
        None => Operator::default(),
    };
    settings::check_compatibility(&operator, &settings)?;
    Ok((settings, operator))
}

/// Environment variable that sets the log level.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";
/// Log level if the environment variable is not set.
const DEFAULT_LOG_LEVEL: &str = "error";

/// Writes log lines as `key=value` to standard error. The `polling` crate's own lines are left out, except for errors.
fn start_logging() {
    let level = std::env::var(LOG_LEVEL_VARIABLE).unwrap_or_else(|_| DEFAULT_LOG_LEVEL.into());
    let filter = level.parse().unwrap_or(log::LevelFilter::Error);
    env_logger::Builder::new()
        .filter_level(filter)
        .filter_module("polling", log::LevelFilter::Error)
        .format(|output, record| writeln!(output, "level={} {}", record.level(), record.args()))
        .init();
}
