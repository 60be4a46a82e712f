//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The whole command line.
pub fn command() -> Command {
    Command::new("hornbeamrock-ablate")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Shows what each mechanism is worth on the days of a bench")
        .arg(path("sources", "Sources to clone").default_value("."))
        .arg(path("mechanisms", "Table of mechanisms").default_value("dev/ablate/mechanisms.toml"))
        .arg(path("scratch", "Folder for the two scratch clones").required(true))
        .arg(path("bench", "Program that plays days").required(true))
        .arg(
            path("site", "Site file; may come again")
                .required(true)
                .action(ArgAction::Append),
        )
        .arg(list("days", "Days to play").default_value("trouble-1,trouble-2,trouble-3"))
        .arg(list(
            "only",
            "Names of the mechanisms to switch off; all by default",
        ))
        .arg(number("first-seed", "First seed").default_value("1"))
        .arg(number("seeds", "Seeds a day").default_value("10"))
        .arg(number("jobs", "Days at a time; half of the processors at most").default_value("4"))
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

fn list(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).value_delimiter(',')
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(u64).range(1..))
}
