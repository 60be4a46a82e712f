//! Flags and subcommands of `hornbeamrock-bench`.

use std::net::SocketAddr;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};
use hornbeamrock_bench::entry;
use hornbeamrock_bench::site::SiteName;

/// Largest number of agents, or of further customers, that `slopes` accepts.
const SIZE_MAX: u64 = 2_000;

/// The program with all subcommands.
pub fn command() -> Command {
    Command::new("hornbeamrock-bench")
        .about("Checks and measures a site that is made of stand-ins; not shipped")
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
        .about("Runs a site under load and faults with one or two policies and prints tables")
        .after_help(
            "A policy is NAME[:no-limits], NAME one of as-shipped, random, least-outstanding, \
             two-choices, two-choices-report and compute-memory. With no-limits the limits of all \
             customers are as high as a configuration allows.",
        )
        .arg(site())
        .arg(text(
            "policy",
            "as-shipped",
            "Routing policy of the entries",
        ))
        .arg(
            Arg::new("baseline")
                .long("baseline")
                .value_name("POLICY")
                .help("Second policy, alternating with the first; prints the ratios"),
        )
        .arg(number("entries", "3", "Number of entries for each policy"))
        .arg(number(
            "slice-ms",
            "8000",
            "Measured time of a slice in milliseconds",
        ))
        .arg(number(
            "warm-up-ms",
            "3000",
            "Time before each slice with load that is not measured, in milliseconds",
        ))
        .arg(number("repeat", "3", "Number of slices for each policy"))
        .arg(number(
            "load-permille",
            "1000",
            "Load in thousandths of the site's profile",
        ))
        .arg(number(
            "neighbours",
            "0",
            "Number of further customers that share the services",
        ))
        .arg(number(
            "greedy",
            "1",
            "Factor by which the load of the first neighbour is multiplied",
        ))
        .arg(number(
            "neighbour-requests-per-s",
            "50",
            "Limit of requests per second for each neighbour",
        ))
        .arg(number(
            "neighbour-in-progress",
            "50",
            "Limit of requests in progress for each neighbour",
        ))
        .arg(number(
            "neighbour-tokens-per-s",
            "20000",
            "Limit of tokens per second for each neighbour",
        ))
        .arg(number(
            "report-lag-ms",
            "200",
            "Age of the engines' load reports in milliseconds",
        ))
        .arg(number(
            "seed",
            "1",
            "Seed of the arrival times and the choice of ports",
        ))
        .arg(switch(
            "calm",
            "Keeps the rate of arrivals constant, without bursts",
        ))
        .arg(switch("no-trainer", "Runs no trainer during the load"))
        .arg(switch("json", "Prints JSON instead of tables"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .action(ArgAction::Append)
                .value_name("AT_MS:KIND[:NUMBER[:FOR_MS]]")
                .help(
                    "Fault of every slice: agent-kill, agent-stop, entry-kill, entry-stop, \
                     engine-crash, log-outage, log-answer-lost, store-outage, swap-fails",
                ),
        )
}

fn path() -> Command {
    Command::new("path")
        .about("Measures the latency and processor time that entry and agent add to a direct call")
        .arg(site())
        .arg(number(
            "requests",
            "500",
            "Sequential requests in a round, directly and through the system each",
        ))
        .arg(number(
            "load-ms",
            "2000",
            "Time of a round under load in milliseconds, directly and through the system each",
        ))
        .arg(number(
            "under-way",
            "32",
            "Requests in progress at a time under load",
        ))
        .arg(number("rounds", "5", "Rounds"))
        .arg(number("seed", "1", "Seed of the choice of ports"))
}

fn slopes() -> Command {
    Command::new("slopes")
        .about("Measures memory and processor time of idle entries and agents by size of the fleet")
        .arg(site())
        .arg(sizes(
            "agents",
            "8,32,96",
            "Numbers of agents to measure, comma-separated",
        ))
        .arg(sizes(
            "customers",
            "10,100,300",
            "Numbers of further customers to measure, comma-separated",
        ))
        .arg(number(
            "watch-ms",
            "10000",
            "Time over which each size is measured, in milliseconds",
        ))
        .arg(number("seed", "1", "Seed of the choice of ports"))
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

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn visit() -> Command {
    Command::new("visit")
        .about("Makes each kind of call at a running site and checks the guarantees")
        .arg(site())
        .arg(addresses(
            "entry",
            "Public address of an entry; at least two are needed",
        ))
        .arg(addresses("admin", "Admin address of an entry"))
        .arg(addresses(
            "service",
            "Address of a plain service that counts its runs",
        ))
        .arg(number(
            "replicas",
            "1",
            "Number of replicas that each entry must see before the visit starts",
        ))
        .arg(number(
            "wait-ms",
            "15000",
            "Longest wait for the replicas in milliseconds",
        ))
        .arg(number(
            "seed",
            "1",
            "Seed of the names of the calls; two visits need different ones",
        ))
}

fn lines() -> Command {
    Command::new("lines")
        .about("Prints shell commands to try at a running site")
        .arg(site())
        .arg(addresses(
            "entry",
            "Public address of an entry; at least two are needed",
        ))
        .arg(addresses("admin", "Admin address of a process"))
        .arg(addresses("log", "Address of the log"))
        .arg(
            Arg::new("ctl")
                .long("ctl")
                .default_value("hornbeamrockctl")
                .help("Path of hornbeamrockctl"),
        )
}

fn ports() -> Command {
    Command::new("ports")
        .about("Prints the first port of a range of consecutive free ports")
        .arg(number("count", "64", "Ports"))
        .arg(number(
            "seed",
            "1",
            "Seed of the port at which the search starts",
        ))
}

fn site() -> Arg {
    Arg::new("site")
        .long("site")
        .default_value("office")
        .value_parser(PossibleValuesParser::new(SiteName::NAMES))
        .help("Site of the examples folder")
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
