//! Runs the subcommand. A stand-in serves until the process receives SIGTERM or SIGINT.

use std::net::SocketAddr;
use std::process::ExitCode;

use adapters::{Vm, VmState};
use clap::ArgMatches;
use quick_error::quick_error;
use standins::engine::{EngineSettings, Fencing, Speeds};
use standins::log::LogSettings;
use standins::scorer::ScorerSettings;
use standins::service::ServiceSettings;
use standins::site::SiteSettings;
use standins::store::StoreSettings;
use standins::trainer::{TrainerError, TrainerSettings};
use standins::vms::VmsSettings;
use standins::{Handle, StandinError};
use tokio::signal::unix::{SignalKind, signal};
use types::WeightVersion;

quick_error! {
    /// Why a subcommand failed.
    #[derive(Debug)]
    pub enum RunError {
        /// Starting a stand-in failed.
        Standin(err: StandinError) {
            display("{}", err)
            from()
        }
        /// The training run ended early.
        Trainer(err: TrainerError) {
            display("{}", err)
            from()
        }
        /// Creating the runtime or a signal handler failed.
        Io(err: std::io::Error) {
            display("{}", err)
            from()
        }
        /// The value of `--vm` does not describe a VM.
        Vm(text: String) {
            display("--vm '{}': expected ROLE,IP:PORT,DOMAIN,REGION with role entry or agent", text)
        }
        /// The command line names no subcommand.
        NoCommand {
            display("no subcommand")
        }
    }
}

/// Runs the subcommand to its end.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, RunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_subcommand(matches))
}

async fn run_subcommand(matches: &ArgMatches) -> Result<ExitCode, RunError> {
    match matches.subcommand() {
        Some(("trainer", args)) => train(args).await,
        Some(("site", args)) => {
            let site = standins::site::start(site_settings(args)).await?;
            for (name, address) in site.addresses() {
                println!("{name}={address}");
            }
            wait_until_stopped().await
        }
        Some((name, args)) => {
            let handle = start_one(name, args).await?;
            println!("{name}={}", handle.address);
            wait_until_stopped().await
        }
        None => Err(RunError::NoCommand),
    }
}

async fn start_one(name: &str, args: &ArgMatches) -> Result<Handle, RunError> {
    let handle = match name {
        "log" => standins::log::start(log_settings(args)).await?,
        "vms" => standins::vms::start(vms_settings(args)?).await?,
        "store" => standins::store::start(store_settings(args)).await?,
        "scorer" => standins::scorer::start(scorer_settings(args)).await?,
        "service" => standins::service::start(service_settings(args)).await?,
        "engine" => standins::engine::start(engine_settings(args)).await?,
        _ => return Err(RunError::NoCommand),
    };
    Ok(handle)
}

async fn wait_until_stopped() -> Result<ExitCode, RunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn train(args: &ArgMatches) -> Result<ExitCode, RunError> {
    let entries = args.get_many::<SocketAddr>("entry").unwrap_or_default();
    let settings = TrainerSettings {
        entries: entries.copied().collect(),
        token: text(args, "token"),
        service: text(args, "service"),
        steps: number(args, "steps").into(),
        first_step: number(args, "first-step").into(),
        groups: number(args, "groups"),
        samples: number(args, "samples"),
        max_tokens: number(args, "max-tokens"),
        train_ms: number(args, "train-ms").into(),
        staleness_bound: number(args, "staleness-bound").into(),
        weights_every: number(args, "weights-every").into(),
        ahead: number(args, "ahead").into(),
        step_timeout_ms: number(args, "give-up-ms").into(),
        version: version(args),
        ..TrainerSettings::default()
    };
    let report = standins::trainer::run(settings).await?;
    print!("{report}");
    let code = if report.faults.is_empty() { 0 } else { 1 };
    Ok(ExitCode::from(code))
}

fn site_settings(args: &ArgMatches) -> SiteSettings {
    SiteSettings {
        listen: address(args),
        engines: number(args, "engines") as usize,
        engine: engine_settings(args),
        services: number(args, "services") as usize,
        service: text(args, "service"),
        service_ms: number(args, "service-ms").into(),
        store_per_s: number(args, "store-per-s").into(),
    }
}

fn log_settings(args: &ArgMatches) -> LogSettings {
    LogSettings {
        keep_count: number(args, "keep-count") as usize,
        append_ms: number(args, "append-ms").into(),
        appends_per_s: number(args, "appends-per-s").into(),
        ..LogSettings::new(address(args))
    }
}

fn vms_settings(args: &ArgMatches) -> Result<VmsSettings, RunError> {
    let vms = args.get_many::<String>("vm").unwrap_or_default();
    let vms = vms.map(|text| parse_vm(text).ok_or_else(|| RunError::Vm(text.clone())));
    Ok(VmsSettings {
        vms: vms.collect::<Result<_, _>>()?,
        lag_ms: number(args, "lag-ms").into(),
        ..VmsSettings::new(address(args))
    })
}

fn parse_vm(text: &str) -> Option<Vm> {
    let mut parts = text.split(',');
    let vm = Vm {
        role: adapters::VmRole::parse(parts.next()?)?,
        address: parts.next()?.parse().ok()?,
        failure_domain: parts.next()?.parse().ok()?,
        region: parts.next()?.parse().ok()?,
        state: VmState::Live,
    };
    parts.next().is_none().then_some(vm)
}

fn store_settings(args: &ArgMatches) -> StoreSettings {
    StoreSettings {
        per_s: number(args, "per-s").into(),
        ..StoreSettings::new(address(args))
    }
}

fn scorer_settings(args: &ArgMatches) -> ScorerSettings {
    ScorerSettings {
        score_ms: number(args, "score-ms").into(),
        ..ScorerSettings::new(address(args))
    }
}

fn service_settings(args: &ArgMatches) -> ServiceSettings {
    ServiceSettings {
        service_ms: number(args, "service-ms").into(),
        ..ServiceSettings::new(address(args), text(args, "name"))
    }
}

fn engine_settings(args: &ArgMatches) -> EngineSettings {
    let version = version(args);
    let names = text(args, "model");
    let models = names.split(',').map(|name| (name.to_owned(), version));
    let fencing = match text(args, "fencing").as_str() {
        "ignored" => Fencing::Ignored,
        _ => Fencing::Checked,
    };
    let store = args.try_get_one::<SocketAddr>("store").ok().flatten();
    EngineSettings {
        models: models.collect(),
        fencing,
        store: store.copied(),
        speeds: Speeds {
            scale_permille: number(args, "scale-permille"),
            ..Speeds::default()
        },
        batch_max: number(args, "batch-max") as usize,
        kv_blocks: number(args, "kv-blocks") as usize,
        tokens_min: number(args, "tokens-min"),
        tokens_max: number(args, "tokens-max"),
        report_lag_ms: number(args, "report-lag-ms").into(),
        restart_ms: number(args, "restart-ms").into(),
        ..EngineSettings::new(address(args), String::new())
    }
}

// clap sets a default for these arguments or rejects the command line, so that the fallback values
// below are never used.

fn address(args: &ArgMatches) -> SocketAddr {
    let listen = args.get_one::<SocketAddr>("listen").copied();
    listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn number(args: &ArgMatches, name: &str) -> u32 {
    args.get_one::<u32>(name).copied().unwrap_or_default()
}

fn text(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

fn version(args: &ArgMatches) -> WeightVersion {
    let version = args.get_one::<WeightVersion>("version").copied();
    version.unwrap_or_default()
}
