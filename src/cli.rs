//! The command line: it runs a controller, checks files, prints schemas and queries a running controller.
//!
//! The doc comments of arguments and commands are their `--help` texts.

use crate::config::Config;
use crate::features::Features;
use crate::status::Status;
use crate::{service, status_client};
use clap::{Parser, Subcommand, ValueEnum};
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

#[derive(Parser)]
#[command(
    version,
    about = "A scheduler for fleets of machines that serve language models"
)]
struct Args {
    /// Run a controller with this settings file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// What is switched on beyond the service as it was.
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and end.
    CheckConfig { file: PathBuf },
    /// Check a features file and end.
    CheckFeatures { file: PathBuf },
    /// Ask a running controller who may use how much of the teams' limits, and which controllers it takes for failed.
    Status {
        /// The controller's `mesh_addr`.
        #[arg(long, value_name = "IP:PORT")]
        address: SocketAddr,
        /// Print what it answers as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print the JSON schema of what a file may hold or what an answer holds.
    Schema { of: SchemaOf },
}

/// A file or answer with a published JSON schema.
#[derive(Clone, Copy, ValueEnum)]
enum SchemaOf {
    /// The features file.
    Features,
    /// The answer of `status --json`.
    Status,
}

/// Exit code if the controller cannot start.
const SERVICE_ERROR: u8 = 1;
/// Exit code for invalid arguments and invalid files.
const USAGE_ERROR: u8 = 2;
/// Exit code if the queried controller gives no valid answer.
const NO_ANSWER: u8 = 3;

/// Runs the program with the arguments of the process and returns the exit code.
pub fn main() -> ExitCode {
    let args = Args::parse();
    match (args.command, args.config) {
        (Some(Command::CheckConfig { file }), _) => report_check(&file, Config::load(&file)),
        (Some(Command::CheckFeatures { file }), _) => report_check(&file, Features::load(&file)),
        (Some(Command::Status { address, json }), _) => print_status(address, json),
        (Some(Command::Schema { of }), _) => print_schema(of),
        (None, Some(file)) => run(&file, args.features.as_deref()),
        (None, None) => usage_error(&"--config FILE is needed (see --help)"),
    }
}

/// Prints whether a file is valid, and the error if it is not.
fn report_check<T, E: Display>(file: &Path, loaded: Result<T, E>) -> ExitCode {
    match loaded {
        Ok(_) => {
            println!("{}: ok", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => usage_error(&error),
    }
}

fn print_status(address: SocketAddr, json: bool) -> ExitCode {
    let status = match status_client::fetch_status(address) {
        Ok(status) => status,
        Err(error) => return fail_with(NO_ANSWER, &error),
    };
    if json {
        return print_json(&status);
    }
    print!("{}", status.to_tables());
    ExitCode::SUCCESS
}

fn print_schema(of: SchemaOf) -> ExitCode {
    let schema = match of {
        SchemaOf::Features => schemars::schema_for!(Features),
        SchemaOf::Status => schemars::schema_for!(Status),
    };
    print_json(&schema)
}

fn print_json(value: &impl serde::Serialize) -> ExitCode {
    match serde_json::to_string_pretty(value) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => usage_error(&error),
    }
}

fn run(file: &Path, features: Option<&Path>) -> ExitCode {
    init_logging();
    let mut config = match Config::load(file) {
        Ok(config) => config,
        Err(error) => return usage_error(&error),
    };
    config.features = match features.map(Features::load).transpose() {
        Ok(features) => features.unwrap_or_default(),
        Err(error) => return usage_error(&error),
    };
    match service::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail_with(SERVICE_ERROR, &error),
    }
}

fn usage_error(message: &dyn Display) -> ExitCode {
    fail_with(USAGE_ERROR, message)
}

fn fail_with(code: u8, message: &dyn Display) -> ExitCode {
    eprintln!("ochredrum: {message}");
    ExitCode::from(code)
}

/// Logs to standard error at the level in the environment variable `LOG_LEVEL`, by default at `info`.
fn init_logging() {
    let requested = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let level = match requested.as_str() {
        "error" => Some(LevelFilter::ERROR),
        "info" => Some(LevelFilter::INFO),
        "debug" => Some(LevelFilter::DEBUG),
        _ => None,
    };
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    if level.is_none() {
        tracing::warn!(
            requested,
            "LOG_LEVEL is not error, info or debug: using info"
        );
    }
}
