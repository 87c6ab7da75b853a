//! The command line.

use crate::config::Config;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

#[derive(Parser)]
#[command(version, about = "A scheduler for fleets of machines that serve language models")]
struct Args {
    /// Run a controller with this settings file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and end.
    CheckConfig { file: PathBuf },
}

/// What a wrong call or wrong settings end with.
const USAGE: u8 = 2;

pub fn main() -> ExitCode {
    let args = Args::parse();
    match (args.command, args.config) {
        (Some(Command::CheckConfig { file }), _) => match Config::load(&file) {
            Ok(_) => {
                println!("{}: ok", file.display());
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e),
        },
        (None, Some(file)) => run(&file),
        (None, None) => fail(&"--config FILE is needed (see --help)"),
    }
}

fn run(file: &std::path::Path) -> ExitCode {
    init_log();
    let config = match Config::load(file) {
        Ok(config) => config,
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
