//! Definition of the command line.

use std::path::PathBuf;

use clap::{Arg, Command};
use clap_complete::Shell;
use settings::flag;

const AFTER_HELP: &str = "Exit codes: 0 success, 1 other failure, 2 invalid flags or files, \
3 invalid configuration text, 4 another publish with the same base came first, 5 accepted but \
not active at every process in time, 6 no answer from the platform or a process.\n\
Every flag can also be set by an environment variable: HORNBEAMROCK_ and the name of the flag in \
capitals with underscores.";

/// Command line with all subcommands.
pub fn command() -> Command {
    Command::new("hornbeamrockctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Publishes the configuration of customers and controls processes")
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output().global(true))
        .subcommands([
            Command::new("check")
                .about("Checks a text; with --log, also against the texts of other customers")
                .arg(file())
                .arg(log()),
            publish(),
            Command::new("show")
                .about("Prints a customer's accepted configuration text")
                .arg(customer())
                .arg(log()),
            Command::new("diff")
                .about("Shows the differences between a file and its customer's accepted text")
                .arg(file())
                .arg(log()),
            Command::new("history")
                .about("Lists the publishes that the log still has, with their verdicts")
                .arg(customer())
                .arg(log()),
            Command::new("status")
                .about("Shows the state, configuration versions and weight versions of processes")
                .arg(admin("Admin addresses of the processes to query")),
            Command::new("drain")
                .about("Drains processes: they finish the work in progress and then exit")
                .arg(admin("Admin addresses of the processes to drain")),
            rollback(),
            store(),
            spread(),
            completions(),
        ])
}

fn publish() -> Command {
    Command::new("publish")
        .about("Publishes a configuration text and waits until it is active")
        .arg(file())
        .arg(log())
        .arg(admin(
            "Admin addresses of the processes at which the text has to become active",
        ))
        .arg(flag(
            "base",
            "VERSION",
            "Version that the text is based on (default: the current version)",
        ))
        .arg(flag(
            "id",
            "ID",
            "Id of this publish (default: a random id)",
        ))
        .arg(
            flag("wait-ms", "MS", "How long to wait until the text is active")
                .default_value("10000"),
        )
}

fn rollback() -> Command {
    Command::new("rollback")
        .about("Rolls a model back to a weight version and starts a new epoch")
        .arg(flag("entry", "IP:PORT", "Public address of any entry"))
        .arg(flag("service", "NAME", "Name of the model"))
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
        .about("Shows the contents of the platform's store; needs no running front")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            kind("routes", "Routes of the active configuration"),
            kind(
                "versions",
                "Newest named versions and the number of replicas that have loaded them",
            ),
            kind(
                "replicas",
                "State and versions of the replicas, according to their own records",
            ),
            kind("steps", "Accepted steps with their progress"),
            kind(
                "shards",
                "Shards of open steps and the fronts that run them",
            ),
            kind("lease", "Holder of the lease for orders to replicas"),
            kind(
                "customers",
                "Customers of the active configuration, without their keys",
            ),
            kind(
                "usage",
                "Requests of customers by window, and whether they were reported",
            ),
            kind(
                "duties",
                "Duties towards the platform and the VMs that perform them",
            ),
        ])
}

fn store_address() -> Arg {
    flag("store", "IP:PORT", "Address of the platform's store")
}

fn spread() -> Command {
    Command::new("spread")
        .about("Shows how long changes take from the first front that receives them to the last")
        .after_help(
            "Each line of the files begins with the time in seconds and the name of the front, \
             which the log collector adds.",
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Files with the collected logs of the fronts"),
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
    flag("output", "FORM", "Format of the output: table or json").default_value("table")
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help("File with the configuration text")
}

fn log() -> Arg {
    flag("log", "IP:PORT", "Address of the platform's log")
}

fn customer() -> Arg {
    flag("customer", "NAME", "Name of the customer")
}

fn admin(help: &'static str) -> Arg {
    flag("admin", "IP:PORT,…", help)
}
