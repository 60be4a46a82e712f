//! Definition of the command line.

use std::net::SocketAddr;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};
use types::WeightVersion;

/// Returns the command with all subcommands.
pub fn command() -> Command {
    Command::new("hornbeamrock-standins")
        .about("Stand-ins of the systems outside hornbeamrock; never shipped")
        .subcommand_required(true)
        .subcommand(log())
        .subcommand(vms())
        .subcommand(store())
        .subcommand(scorer())
        .subcommand(service())
        .subcommand(engine())
        .subcommand(site())
        .subcommand(trainer())
}

fn log() -> Command {
    Command::new("log")
        .about("The append-only log")
        .arg(listen())
        .arg(number(
            "keep-count",
            "100000",
            "Records that each stream retains",
        ))
        .arg(number(
            "append-ms",
            "0",
            "Time in ms that each append takes",
        ))
        .arg(number(
            "appends-per-s",
            "0",
            "Appends per second; 0 means no limit",
        ))
}

fn vms() -> Command {
    Command::new("vms")
        .about("The VM list; change it with POST /standin/vms {\"set\":[..],\"remove\":[..]}")
        .arg(listen())
        .arg(number(
            "lag-ms",
            "0",
            "Time in ms until a change becomes visible",
        ))
        .arg(
            Arg::new("vm")
                .long("vm")
                .action(ArgAction::Append)
                .value_name("ROLE,IP:PORT,DOMAIN,REGION")
                .help("A VM in the list at the start; may be repeated"),
        )
}

fn store() -> Command {
    Command::new("store")
        .about("The weight store")
        .arg(listen())
        .arg(number("per-s", "0", "Answers per second; 0 means no limit"))
}

fn scorer() -> Command {
    Command::new("scorer")
        .about("A scorer")
        .arg(listen())
        .arg(number("score-ms", "0", "Time in ms that each score takes"))
}

fn service() -> Command {
    Command::new("service")
        .about("A plain service")
        .arg(listen())
        .arg(text(
            "name",
            "service",
            "Name of the service in its answers",
        ))
        .arg(number("service-ms", "2", "Time in ms that each call takes"))
}

fn engine() -> Command {
    engine_args(Command::new("engine").about("A model engine").arg(listen())).arg(
        Arg::new("store")
            .long("store")
            .value_parser(value_parser!(SocketAddr))
            .help("Weight store from which versions are loaded"),
    )
}

fn site() -> Command {
    let site = Command::new("site")
        .about("Log, VM list, store, scorer, engines and services on consecutive ports")
        .arg(listen())
        .arg(number("engines", "3", "Number of engines"))
        .arg(number("services", "3", "Number of plain services"))
        .arg(text("service", "service", "Name of the plain services"))
        .arg(number(
            "service-ms",
            "2",
            "Time in ms that each call of a plain service takes",
        ))
        .arg(number(
            "store-per-s",
            "0",
            "Answers per second of the store; 0 means no limit",
        ));
    engine_args(site)
}

fn trainer() -> Command {
    Command::new("trainer")
        .about("A trainer: posts steps, announces weights, fetches and checks samples")
        .arg(
            Arg::new("entry")
                .long("entry")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of an entry; may be repeated"),
        )
        .arg(text("token", "", "Bearer token of the trainer"))
        .arg(text("service", "", "Model service that is trained"))
        .arg(number("steps", "2", "Steps to run"))
        .arg(number("first-step", "1", "Number of the first step"))
        .arg(number("groups", "4", "Groups per step"))
        .arg(number("samples", "4", "Samples per group"))
        .arg(number("max-tokens", "64", "Most tokens of a sample"))
        .arg(number(
            "train-ms",
            "200",
            "Time in ms that training on a step takes",
        ))
        .arg(number(
            "staleness-bound",
            "2",
            "Versions that a sample may be behind the trainer's",
        ))
        .arg(number(
            "weights-every",
            "1",
            "Steps between two new versions; 0 for no new versions",
        ))
        .arg(number(
            "ahead",
            "1",
            "Steps posted ahead of the one that is trained on",
        ))
        .arg(number(
            "give-up-ms",
            "60000",
            "Time in ms after which an incomplete step is abandoned",
        ))
        .arg(version(
            "version",
            "0.0",
            "Version that the trainer starts from",
        ))
}

fn engine_args(command: Command) -> Command {
    command
        .arg(text(
            "model",
            "model",
            "Model, or several separated by commas",
        ))
        .arg(version(
            "version",
            "0.0",
            "Version that the models serve at the start",
        ))
        .arg(
            Arg::new("fencing")
                .long("fencing")
                .default_value("checked")
                .value_parser(PossibleValuesParser::new(["checked", "ignored"]))
                .help("Whether orders with an old fencing token are refused"),
        )
        .arg(number(
            "scale-permille",
            "1000",
            "Factor on the durations of the engine's work, in thousandths",
        ))
        .arg(number("batch-max", "32", "Most sequences in a batch"))
        .arg(number("kv-blocks", "4096", "Blocks of KV cache memory"))
        .arg(number(
            "tokens-min",
            "8",
            "Fewest tokens of a completion that max_tokens does not limit",
        ))
        .arg(number(
            "tokens-max",
            "48",
            "Most tokens of a completion that max_tokens does not limit, except for stragglers",
        ))
        .arg(number(
            "report-lag-ms",
            "200",
            "Age in ms of the load that is reported",
        ))
        .arg(number(
            "restart-ms",
            "300",
            "Time in ms from a crash to the restart",
        ))
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .required(true)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on")
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn version(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_name("EPOCH.VERSION")
        .value_parser(value_parser!(WeightVersion))
        .help(help)
}
