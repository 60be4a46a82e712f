//! The command line.

use std::path::PathBuf;

use clap::{Arg, Command};
use clap_complete::Shell;
use settings::flag;

const AFTER_HELP: &str = "Exit codes: 0 done, 1 another fault, 2 wrong flags or files, \
3 the text does not pass the check, 4 another publish came first, 5 accepted but not seen \
in force everywhere in time, 6 the platform or a process did not answer.\n\
Every flag can also be set in the environment as HORNBEAMROCK_ and its name in capitals.";

/// The whole command line.
pub fn command() -> Command {
    Command::new("hornbeamrockctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Publishes the configuration of a customer and looks after processes")
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output().global(true))
        .subcommands([
            Command::new("check")
                .about("Checks a text; with --log, also against the other customers' texts")
                .arg(file())
                .arg(log()),
            publish(),
            Command::new("show")
                .about("Prints a customer's text as accepted")
                .arg(customer())
                .arg(log()),
            Command::new("diff")
                .about("Shows how a file differs from its customer's accepted text")
                .arg(file())
                .arg(log()),
            Command::new("history")
                .about("Lists the publishes that the log still keeps, with their verdicts")
                .arg(customer())
                .arg(log()),
            Command::new("status")
                .about("Shows versions, weights and who is leaving, process by process")
                .arg(admin("Admin addresses of the processes to ask")),
            Command::new("drain")
                .about("Tells processes to leave: they finish what is in progress, then end")
                .arg(admin("Admin addresses of the processes that are to leave")),
            rollback(),
            store(),
            spread(),
            completions(),
        ])
}

fn publish() -> Command {
    Command::new("publish")
        .about("Publishes a text and waits until it is in force")
        .arg(file())
        .arg(log())
        .arg(admin(
            "Admin addresses of the processes that must show it in force",
        ))
        .arg(flag(
            "base",
            "VERSION",
            "Version that the text was made on (default: the current one)",
        ))
        .arg(flag(
            "id",
            "ID",
            "Id of this publish (default: a random one)",
        ))
        .arg(flag("wait-ms", "MS", "How long to wait until it is in force").default_value("10000"))
}

fn rollback() -> Command {
    Command::new("rollback")
        .about("Rolls a model back to a version, under a new epoch")
        .arg(flag("entry", "IP:PORT", "Public address of any entry"))
        .arg(flag("service", "NAME", "The model"))
        .arg(flag(
            "weights",
            "EPOCH.VERSION",
            "Version to serve from now on",
        ))
        .arg(flag("token-file", "FILE", "File with an operator's token"))
}

fn store() -> Command {
    let kind = |name, about| Command::new(name).about(about).arg(store_address());
    Command::new("store")
        .about("Shows what stands in the platform's store, without a front")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            kind("routes", "The configuration in force, route by route"),
            kind(
                "versions",
                "Newest named versions and how many replicas hold them",
            ),
            kind(
                "replicas",
                "Replicas with state and versions, by their own records",
            ),
            kind("steps", "Accepted steps with their progress"),
            kind(
                "shards",
                "Shards with items to run, and the fronts that run them",
            ),
            kind("lease", "Who gives orders to replicas"),
            kind("customers", "Customers in force, without their keys"),
            kind(
                "usage",
                "Requests of customers by windows, and which were reported",
            ),
            kind("duties", "Duties towards the platform, and who does them"),
        ])
}

fn store_address() -> Arg {
    flag("store", "IP:PORT", "Address of the platform's store")
}

fn spread() -> Command {
    Command::new("spread")
        .about("Shows how long changes take from the first front that knows them to the last")
        .after_help("Each line begins with the seconds and the front that the collector adds.")
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Logs of the fronts"),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints shell completions")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(clap::value_parser!(Shell)),
        )
}

fn output() -> Arg {
    flag("output", "FORM", "table or json").default_value("table")
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help("The configuration text")
}

fn log() -> Arg {
    flag("log", "IP:PORT", "Address of the platform's log")
}

fn customer() -> Arg {
    flag("customer", "NAME", "The customer")
}

fn admin(help: &'static str) -> Arg {
    flag("admin", "IP:PORT,…", help)
}
