//! Dispatches to the subcommands and converts their flags to settings.

mod load;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::ArgMatches;
use hornbeamrock_bench::cost::path::{self, PathSettings};
use hornbeamrock_bench::cost::slopes::{self, SlopesSettings};
use hornbeamrock_bench::entry;
use hornbeamrock_bench::error::BenchError;
use hornbeamrock_bench::lines::{self, SiteAddresses};
use hornbeamrock_bench::ports;
use hornbeamrock_bench::site::{Site, SiteName};
use hornbeamrock_bench::visit::{self, VisitSettings};
use tokio::signal::unix::{SignalKind, signal};

/// Runs the subcommand that the command line names.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, BenchError> {
    match matches.subcommand() {
        Some(("visit", args)) => block_on(run_visit(args)),
        Some(("run", args)) => block_on(load::run(args)),
        Some(("path", args)) => block_on(measure_path(args)),
        Some(("slopes", args)) => block_on(measure_slopes(args)),
        Some(("entry", args)) => entry::run(args).map(|()| ExitCode::SUCCESS),
        Some(("ports", args)) => print_free_port(args),
        Some(("lines", args)) => Ok(print_lines(args)),
        _ => Ok(ExitCode::FAILURE),
    }
}

/// Runs a tool until it ends or the process receives SIGTERM or SIGINT. In either case the tool's
/// future is dropped, which ends the processes and stand-ins that it started.
fn block_on(
    tool: impl Future<Output = Result<ExitCode, BenchError>>,
) -> Result<ExitCode, BenchError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            result = tool => result,
            _ = terminate.recv() => Ok(ExitCode::FAILURE),
            _ = tokio::signal::ctrl_c() => Ok(ExitCode::FAILURE),
        }
    })
}

async fn run_visit(args: &ArgMatches) -> Result<ExitCode, BenchError> {
    let report = visit::run(VisitSettings {
        site: site(args),
        entries: addresses(args, "entry"),
        admins: addresses(args, "admin"),
        services: addresses(args, "service"),
        replicas: number(args, "replicas") as usize,
        wait_ms: number(args, "wait-ms"),
        seed: number(args, "seed"),
    })
    .await?;
    print!("{}", report.render());
    Ok(exit_code(report.holds()))
}

async fn measure_path(args: &ArgMatches) -> Result<ExitCode, BenchError> {
    let text = path::run(&PathSettings {
        site: site(args),
        requests: number(args, "requests"),
        load_ms: number(args, "load-ms"),
        in_progress: number(args, "under-way") as usize,
        rounds: number(args, "rounds"),
        seed: number(args, "seed"),
    })
    .await?;
    print!("{text}");
    Ok(ExitCode::SUCCESS)
}

async fn measure_slopes(args: &ArgMatches) -> Result<ExitCode, BenchError> {
    let text = slopes::run(&SlopesSettings {
        site: site(args),
        agents: sizes(args, "agents"),
        customers: sizes(args, "customers"),
        watch_ms: number(args, "watch-ms"),
        seed: number(args, "seed"),
    })
    .await?;
    print!("{text}");
    Ok(ExitCode::SUCCESS)
}

fn print_free_port(args: &ArgMatches) -> Result<ExitCode, BenchError> {
    let count = u16::try_from(number(args, "count")).unwrap_or(u16::MAX);
    println!("{}", ports::find_free(count, number(args, "seed"))?);
    Ok(ExitCode::SUCCESS)
}

fn print_lines(args: &ArgMatches) -> ExitCode {
    let ctl = args.get_one::<String>("ctl").cloned().unwrap_or_default();
    let site_addresses = SiteAddresses {
        entries: addresses(args, "entry"),
        admins: addresses(args, "admin"),
        logs: addresses(args, "log"),
        ctl,
    };
    print!("{}", lines::commands(&site(args), &site_addresses));
    ExitCode::SUCCESS
}

fn exit_code(holds: bool) -> ExitCode {
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

// clap has parsed the flags and filled in their defaults, so the fallbacks below are never used.

fn site(args: &ArgMatches) -> Site {
    site_name(args).site()
}

fn site_name(args: &ArgMatches) -> SiteName {
    let text = args.get_one::<String>("site").map(String::as_str);
    let name = text.and_then(SiteName::parse);
    name.unwrap_or(SiteName::Office)
}

fn addresses(args: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let all = args.get_many::<SocketAddr>(name).unwrap_or_default();
    all.copied().collect()
}

fn sizes(args: &ArgMatches, name: &str) -> Vec<usize> {
    let sizes = args.get_many::<u64>(name).unwrap_or_default();
    sizes.map(|size| *size as usize).collect()
}

fn number(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or_default()
}
