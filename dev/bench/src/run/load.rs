//! The `run` subcommand: load and faults on a site.

use std::process::ExitCode;

use clap::ArgMatches;
use hornbeamrock_bench::arrivals::Bursts;
use hornbeamrock_bench::entry;
use hornbeamrock_bench::error::BenchError;
use hornbeamrock_bench::fleet::texts::Limits;
use hornbeamrock_bench::load::faults::ScheduledFault;
use hornbeamrock_bench::load::profile::{Profile, Scale};
use hornbeamrock_bench::load::{self, LoadSettings, Variant};

use super::{exit_code, number, site_name};

const AS_SHIPPED: &str = "as-shipped";
const NO_LIMITS: &str = "no-limits";
const ALLOWED_POLICIES: &str = "NAME or NAME:no-limits";
const TOTAL_MS_MAX: u64 = 3_600_000;

pub(super) async fn run(args: &ArgMatches) -> Result<ExitCode, BenchError> {
    let settings = settings(args)?;
    let report = load::run(&settings).await?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report.to_json())?);
    } else {
        print!("{}", report.render());
    }
    Ok(exit_code(report.holds()))
}

fn settings(args: &ArgMatches) -> Result<LoadSettings, BenchError> {
    let faults = args.get_many::<String>("fault").unwrap_or_default();
    let faults = faults.map(|text| text.parse::<ScheduledFault>());
    let slice_ms = number(args, "slice-ms");
    let repeat = number(args, "repeat").max(1);
    if slice_ms.saturating_mul(repeat) > TOTAL_MS_MAX {
        let value = format!("{repeat}");
        return Err(BenchError::InvalidFlag(
            "repeat",
            value,
            "at most an hour of slices",
        ));
    }
    Ok(LoadSettings {
        profile: Profile::for_site(site_name(args)),
        scale: Scale {
            load_permille: number(args, "load-permille"),
            neighbours: number(args, "neighbours") as usize,
            greedy: number(args, "greedy"),
        },
        variants: variants(args)?,
        entries: number(args, "entries").max(1) as usize,
        slice_ms,
        warm_up_ms: number(args, "warm-up-ms"),
        repeat,
        bursts: if args.get_flag("calm") {
            Bursts::NONE
        } else {
            Bursts::TYPICAL
        },
        faults: faults.collect::<Result<_, _>>()?,
        trainer: !args.get_flag("no-trainer"),
        report_lag_ms: number(args, "report-lag-ms"),
        seed: number(args, "seed"),
    })
}

fn variants(args: &ArgMatches) -> Result<Vec<Variant>, BenchError> {
    let flags = ["policy", "baseline"];
    let variants = flags.into_iter().filter_map(|flag| {
        let text = args.get_one::<String>(flag)?;
        Some(variant(args, text, flag))
    });
    variants.collect()
}

fn variant(args: &ArgMatches, text: &str, flag: &'static str) -> Result<Variant, BenchError> {
    let (policy, limited) = match text.split_once(':') {
        None => (text, true),
        Some((policy, NO_LIMITS)) => (policy, false),
        Some(_) => {
            return Err(BenchError::InvalidFlag(
                flag,
                text.to_owned(),
                ALLOWED_POLICIES,
            ));
        }
    };
    Ok(Variant {
        name: text.to_owned(),
        policy: match policy {
            AS_SHIPPED => None,
            other => Some(entry::policy(other, flag)?),
        },
        limits: limited.then(|| Limits {
            requests_per_s: number(args, "neighbour-requests-per-s") as u32,
            in_progress: number(args, "neighbour-in-progress") as u32,
            tokens_per_s: number(args, "neighbour-tokens-per-s") as u32,
        }),
    })
}
