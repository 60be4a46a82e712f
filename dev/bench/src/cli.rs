//! The command line.

use std::net::SocketAddr;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};
use hornbeamrock_bench::entry;
use hornbeamrock_bench::site::SiteName;

/// Largest number of processes or customers of a fleet.
const SIZE_MAX: u64 = 2_000;

/// The whole command line.
pub fn command() -> Command {
    Command::new("hornbeamrock-bench")
        .about("Shows and measures what a site of stand-ins does; never shipped")
        .subcommand_required(true)
        .subcommand(visit())
        .subcommand(ports())
        .subcommand(lines())
        .subcommand(load())
        .subcommand(path())
        .subcommand(slopes())
        .subcommand(entry::command())
}

fn load() -> Command {
    Command::new("run")
        .about("Runs a site under load and faults, one policy or two in turns, and prints tables")
        .after_help(
            "A policy is NAME[:no-limits], NAME one of as-shipped, random, least-outstanding, \
             two-choices, two-choices-report and compute-memory. Without limits every customer \
             may do what it likes.",
        )
        .arg(site())
        .arg(word("policy", "as-shipped", "Policy of the entries"))
        .arg(
            Arg::new("baseline")
                .long("baseline")
                .value_name("POLICY")
                .help("Second policy, which takes turns with the first; prints ratios"),
        )
        .arg(number("entries", "3", "Entries of each policy"))
        .arg(number("slice-ms", "8000", "Length of a slice"))
        .arg(number(
            "warm-up-ms",
            "3000",
            "Part before each slice that is not counted",
        ))
        .arg(number("repeat", "3", "Slices of each policy"))
        .arg(number(
            "load-permille",
            "1000",
            "Load in thousandths of the profile's",
        ))
        .arg(number(
            "neighbours",
            "0",
            "Further customers that share the services",
        ))
        .arg(number(
            "greedy",
            "1",
            "Factor on the first neighbour's load",
        ))
        .arg(number(
            "neighbour-requests-per-s",
            "50",
            "Limit of each neighbour",
        ))
        .arg(number(
            "neighbour-in-progress",
            "50",
            "Limit of each neighbour",
        ))
        .arg(number(
            "neighbour-tokens-per-s",
            "20000",
            "Limit of each neighbour",
        ))
        .arg(number(
            "report-lag-ms",
            "200",
            "Age of the engines' load reports",
        ))
        .arg(number("seed", "1", "Seed of the arrivals"))
        .arg(switch("calm", "No bursts"))
        .arg(switch("no-trainer", "No trainer beside the callers"))
        .arg(switch("json", "Prints JSON in place of tables"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .action(ArgAction::Append)
                .value_name("AT_MS:KIND[:NUMBER[:FOR_MS]]")
                .help(
                    "A fault of every slice: agent-kill, agent-stop, entry-kill, entry-stop, \
                     engine-crash, log-outage, log-answer-lost, store-outage, swap-fails",
                ),
        )
}

fn path() -> Command {
    Command::new("path")
        .about("Measures what entry and agent add to an endpoint asked directly, in turns")
        .arg(site())
        .arg(number(
            "requests",
            "500",
            "Requests of a round, one after the other, each way",
        ))
        .arg(number(
            "load-ms",
            "2000",
            "Length of a round under load, each way",
        ))
        .arg(number(
            "under-way",
            "32",
            "Requests under way at a time under load",
        ))
        .arg(number("rounds", "5", "Rounds"))
        .arg(number("seed", "1", "Chooses the ports"))
}

fn slopes() -> Command {
    Command::new("slopes")
        .about("Measures memory and processor time of idle entries and agents at growing sizes")
        .arg(site())
        .arg(sizes("agents", "8,32,96", "Numbers of agents"))
        .arg(sizes(
            "customers",
            "10,100,300",
            "Numbers of further customers",
        ))
        .arg(number("watch-ms", "10000", "How long each size is watched"))
        .arg(number("seed", "1", "Chooses the ports"))
}

fn sizes(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_delimiter(',')
        .value_parser(value_parser!(u64).range(1..=SIZE_MAX))
        .help(help)
}

fn switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn word(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn visit() -> Command {
    Command::new("visit")
        .about("Makes each kind of call of a running site and says whether its promises hold")
        .arg(site())
        .arg(addresses(
            "entry",
            "Public address of an entry; two at least",
        ))
        .arg(addresses("admin", "Admin address of an entry"))
        .arg(addresses("service", "Plain service that counts its runs"))
        .arg(number(
            "replicas",
            "1",
            "Replicas that each entry must see first",
        ))
        .arg(number("wait-ms", "15000", "Longest wait for them"))
        .arg(number("seed", "1", "Names the calls"))
}

fn lines() -> Command {
    Command::new("lines")
        .about("Prints lines to try at a running site")
        .arg(site())
        .arg(addresses(
            "entry",
            "Public address of an entry; two at least",
        ))
        .arg(addresses("admin", "Admin address of a process"))
        .arg(addresses("log", "Address of the log"))
        .arg(
            Arg::new("ctl")
                .long("ctl")
                .default_value("hornbeamrockctl")
                .help("Where hornbeamrockctl is"),
        )
}

fn ports() -> Command {
    Command::new("ports")
        .about("Prints the first of so many free ports one after the other")
        .arg(number("count", "64", "Ports"))
        .arg(number("seed", "1", "Chooses where the search begins"))
}

fn site() -> Arg {
    Arg::new("site")
        .long("site")
        .default_value("office")
        .value_parser(PossibleValuesParser::new(SiteName::WORDS))
        .help("Site of the examples")
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .required(true)
        .action(ArgAction::Append)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
