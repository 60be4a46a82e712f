//! Command line of `hornbeamrock`.

use clap::{Arg, Command};

/// Subcommand that runs a front: serves clients' requests, runs steps and gives orders to replicas.
pub const FRONT: &str = "front";

/// Definition of the command line.
pub fn command() -> Command {
    let log_level = Arg::new("log-level")
        .long("log-level")
        .env("HORNBEAMROCK_LOG_LEVEL")
        .value_parser(telemetry::LogLevel::NAMES)
        .default_value("info")
        .help("Lowest level of log lines that are written");
    let front = Command::new(FRONT)
        .about("Takes clients' requests, runs steps and gives orders to replicas")
        .arg(log_level);
    Command::new("hornbeamrock")
        .about("Rollout service for reinforcement learning, on the users' platform")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(front)
}
