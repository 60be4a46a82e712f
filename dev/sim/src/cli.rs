//! Command line of `hornbeamrock-sim`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the command line parser.
pub fn command() -> Command {
    Command::new("hornbeamrock-sim")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Simulates fleets of fronts on one store; reports calls, bytes and latencies")
        .arg(
            Arg::new("fronts")
                .long("fronts")
                .value_name("COUNT,…")
                .help("Numbers of fronts to simulate, one run each")
                .value_delimiter(',')
                .value_parser(value_parser!(u64).range(1..=10_000))
                .default_value("300,635,1270"),
        )
        .arg(number("appends", "Appends to the index per second", "200"))
        .arg(number(
            "reads-per-s",
            "Reads per second that the store serves before it throttles",
            "16000",
        ))
        .arg(number(
            "partitions",
            "Partitions of the fronts' group",
            "48",
        ))
        .arg(number("seed", "Seed of the random numbers", "1"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .help(
                    "Fault from 12 to 18 s at a third of the fronts, the lease holder and an owner",
                )
                .value_parser(["none", "killed", "frozen", "turned-away"])
                .default_value("none"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints one line of JSON per fleet size")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Plots calls per second by fleet size into an SVG file")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("COUNT")
        .help(help)
        .value_parser(value_parser!(u64).range(1..))
        .default_value(default)
}
