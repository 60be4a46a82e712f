//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The whole command line.
pub fn command() -> Command {
    Command::new("hornbeamrock-sim")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Simulates fleets of fronts before one store: calls, bytes and times by size")
        .arg(
            Arg::new("fronts")
                .long("fronts")
                .value_name("COUNT,…")
                .help("Sizes of the fleet")
                .value_delimiter(',')
                .value_parser(value_parser!(u64).range(1..=10_000))
                .default_value("300,635,1270"),
        )
        .arg(number("appends", "Appends to the index a second", "200"))
        .arg(number(
            "reads-per-s",
            "Reads a second that the store allows",
            "16000",
        ))
        .arg(number("partitions", "Partitions of the group", "48"))
        .arg(number("seed", "Seed of all draws", "1"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .help("What is lost from 12 to 18 s: a third of the fronts, the holder, an owner")
                .value_parser(["none", "killed", "frozen", "turned-away"])
                .default_value("none"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("One line of JSON a size")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Draws calls by size; SVG")
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
