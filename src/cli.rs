//! The command line.

use crate::config::Config;
use crate::features::Features;
use crate::operator;
use crate::status::Status;
use clap::{Parser, Subcommand};
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

/// What has a published schema.
#[derive(Clone, Copy, clap::ValueEnum)]
enum SchemaOf {
    /// The features file.
    Features,
    /// The answer of `status --json`.
    Status,
}

/// What a wrong call or wrong settings end with.
const USAGE: u8 = 2;
/// What a question that got no answer ends with.
const NO_ANSWER: u8 = 3;

pub fn main() -> ExitCode {
    let args = Args::parse();
    match (args.command, args.config) {
        (Some(Command::CheckConfig { file }), _) => checked(&file, Config::load(&file)),
        (Some(Command::CheckFeatures { file }), _) => checked(&file, Features::load(&file)),
        (Some(Command::Status { address, json }), _) => status(address, json),
        (Some(Command::Schema { of }), _) => print_schema(of),
        (None, Some(file)) => run(&file, args.features.as_deref()),
        (None, None) => fail(&"--config FILE is needed (see --help)"),
    }
}

/// Says whether a file is as it should be.
fn checked<T, E: std::fmt::Display>(file: &Path, loaded: Result<T, E>) -> ExitCode {
    match loaded {
        Ok(_) => {
            println!("{}: ok", file.display());
            ExitCode::SUCCESS
        }
        Err(e) => fail(&e),
    }
}

fn status(address: SocketAddr, json: bool) -> ExitCode {
    let status = match operator::status(address) {
        Ok(status) => status,
        Err(e) => {
            eprintln!("ochredrum: {e}");
            return ExitCode::from(NO_ANSWER);
        }
    };
    if json {
        return print_json(&status);
    }
    print!("{}", status.table());
    ExitCode::SUCCESS
}

fn print_schema(of: SchemaOf) -> ExitCode {
    print_json(&match of {
        SchemaOf::Features => schemars::schema_for!(Features),
        SchemaOf::Status => schemars::schema_for!(Status),
    })
}

fn print_json(value: &impl serde::Serialize) -> ExitCode {
    match serde_json::to_string_pretty(value) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => fail(&e),
    }
}

fn run(file: &Path, features: Option<&Path>) -> ExitCode {
    init_log();
    let mut config = match Config::load(file) {
        Ok(config) => config,
        Err(e) => return fail(&e),
    };
    config.features = match features.map(Features::load).transpose() {
        Ok(features) => features.unwrap_or_default(),
        Err(e) => return fail(&e),
    };
    match crate::service::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ochredrum: {e}");
            ExitCode::FAILURE
        }
    }
}

fn fail(message: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("ochredrum: {message}");
    ExitCode::from(USAGE)
}

fn init_log() {
    let wanted = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let level = match wanted.as_str() {
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
        tracing::warn!("LOG_LEVEL={wanted:?} is not error, info or debug; using info");
    }
}
