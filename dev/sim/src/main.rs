//! `hornbeamrock-sim`: estimates the load of a fleet of fronts on its store, by fleet size.

mod cli;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use hornbeamrock_sim::{Fault, FaultKind, Report, SimError, SimSettings, plot, simulate};

/// Start, duration and extent of the fault that `--fault` selects.
const FAULT_AT_MS: u64 = 12_000;
const FAULT_DURATION_MS: u64 = 6_000;
const FAULT_SHARE_PERCENT: u64 = 33;

fn main() -> ExitCode {
    match run(&cli::command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hornbeamrock-sim: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), SimError> {
    let json = matches.get_flag("json");
    if !json {
        println!("{}", Report::HEADER);
    }
    let mut reports = Vec::new();
    for fronts in matches.get_many::<u64>("fronts").into_iter().flatten() {
        let report = simulate(&settings(matches, *fronts as usize))?;
        match json {
            true => println!("{}", serde_json::to_string(&report)?),
            false => println!("{}", report.row()),
        }
        reports.push(report);
    }
    match matches.get_one::<PathBuf>("plot") {
        Some(path) => plot(&reports, path),
        None => Ok(()),
    }
}

fn settings(matches: &ArgMatches, fronts: usize) -> SimSettings {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let mut settings = SimSettings::new(fronts);
    settings.workload.appends_per_s = number("appends");
    settings.reads_per_s = number("reads-per-s");
    settings.partitions = number("partitions") as u32;
    settings.seed = number("seed");
    let kind = match matches.get_one::<String>("fault").map(String::as_str) {
        Some("killed") => Some(FaultKind::Killed),
        Some("frozen") => Some(FaultKind::Frozen),
        Some("turned-away") => Some(FaultKind::Refused),
        _ => None,
    };
    settings.faults = kind
        .map(|kind| Fault {
            kind,
            at_ms: FAULT_AT_MS,
            duration_ms: FAULT_DURATION_MS,
            share_percent: FAULT_SHARE_PERCENT,
        })
        .into_iter()
        .collect();
    settings
}
