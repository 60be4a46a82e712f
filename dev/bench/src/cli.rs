//! The command line.

use std::net::SocketAddr;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};
use hornbeamrock_bench::site::SiteName;

/// The whole command line.
pub fn command() -> Command {
    Command::new("hornbeamrock-bench")
        .about("Shows and measures what a site of stand-ins does; never shipped")
        .subcommand_required(true)
        .subcommand(visit())
        .subcommand(ports())
        .subcommand(lines())
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
