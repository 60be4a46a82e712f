//! Command line of `hornbeamrock-ablate`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the command line parser.
pub fn command() -> Command {
    Command::new("hornbeamrock-ablate")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Measures the effect of each mechanism by running bench days with and without it")
        .arg(path("sources", "Git repository to clone").default_value("."))
        .arg(path("mechanisms", "Table of mechanisms").default_value("dev/ablate/mechanisms.toml"))
        .arg(
            path(
                "scratch",
                "Folder for the two scratch clones; reused if present",
            )
            .required(true),
        )
        .arg(
            path(
                "bench",
                "Bench program that builds a clone and runs its days",
            )
            .required(true),
        )
        .arg(
            path("site", "Site file of the bench; may be repeated")
                .required(true)
                .action(ArgAction::Append),
        )
        .arg(list("days", "Days to run").default_value("trouble-1,trouble-2,trouble-3"))
        .arg(list(
            "only",
            "Names of the mechanisms to switch off, one at a time; all by default",
        ))
        .arg(number_arg("first-seed", "First seed").default_value("1"))
        .arg(number_arg("seeds", "Number of seeds per day").default_value("10"))
        .arg(
            number_arg(
                "jobs",
                "Days run in parallel; use at most half of the processors",
            )
            .default_value("4"),
        )
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

fn number_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(u64).range(1..))
}
