//! Puts load and faults on a site and can compare two routing policies within one run.
//!
//! A run is a sequence of slices. With a baseline the fleet has two groups of entries in front of
//! the same endpoints. The slices of the two variants alternate and have the same arrivals, so that
//! other activity on the VM affects both variants alike.

mod balancer;
pub mod faults;
pub mod profile;
pub mod ratio;
pub mod report;
mod slice;
mod stream;
pub mod tally;
pub mod training;

use std::time::Duration;

use derive::value;
use routing::Policy;
use tokio::time::sleep;

use crate::arrivals::Bursts;
use crate::error::BenchError;
use crate::fleet::texts::{self, Limits};
use crate::fleet::{Fleet, FleetSettings, Publisher};
use faults::ScheduledFault;
use profile::{Profile, Scale};
use report::{Report, SliceResult};
use slice::Slice;
use training::TrainingProgress;

/// Pause between two slices, in which the queues drain.
const SLICE_PAUSE: Duration = Duration::from_secs(1);
/// Time for which the fleet runs without load before the first slice.
const FLEET_WARM_UP: Duration = Duration::from_secs(2);

/// One of the policies that a run compares.
#[value]
pub struct Variant {
    /// Name in tables, as given on the command line.
    pub name: String,
    /// Routing policy of the entries; `None` runs the shipped entry unchanged.
    pub policy: Option<Policy>,
    /// Limits of each neighbour; `None` lifts the limits of the neighbours and of the site's owner.
    pub limits: Option<Limits>,
}

/// Settings of a run.
#[value]
pub struct LoadSettings {
    /// Site with its number of endpoints and its rates.
    pub profile: Profile,
    /// Changes to the load of the profile.
    pub scale: Scale,
    /// One variant, or two whose slices alternate.
    pub variants: Vec<Variant>,
    /// Number of entries of each variant.
    pub entries: usize,
    /// Time of a slice that is measured.
    pub slice_ms: u64,
    /// Time at the start of a slice in which requests are sent but not counted, because the entries
    /// must first adapt to the demand that they receive.
    pub warm_up_ms: u64,
    /// Number of slices of each variant.
    pub repeat: u64,
    /// Bursts of the arrivals.
    pub bursts: Bursts,
    /// Faults that are injected in every slice.
    pub faults: Vec<ScheduledFault>,
    /// Whether a trainer runs during the load.
    pub trainer: bool,
    /// Age of the load that the engines report.
    pub report_lag_ms: u64,
    /// Seed of the arrival times and of the choice of ports.
    pub seed: u64,
}

/// Starts a fleet, runs all slices and returns what they measured.
pub async fn run(settings: &LoadSettings) -> Result<Report, BenchError> {
    let fleet = Fleet::start(&fleet_settings(settings)).await?;
    let mut publisher = Publisher::new(fleet.standins.log.address);
    let mut report = Report::default();
    let mut progress = TrainingProgress::new();
    let mut active_limits = None;
    for pair in 0..settings.repeat {
        for turn in 0..settings.variants.len() {
            // The variants swap their order from pair to pair, so that neither is always first.
            let number = (turn + pair as usize) % settings.variants.len();
            let variant = &settings.variants[number];
            if active_limits != Some(variant.limits) {
                publish_configuration(settings, variant, &mut publisher).await?;
                publisher.wait_until_active(&fleet.admins()).await?;
                fleet.wait_for_replicas().await?;
                if active_limits.is_none() {
                    sleep(FLEET_WARM_UP).await;
                }
                active_limits = Some(variant.limits);
            }
            let slice = Slice {
                settings,
                fleet: &fleet,
                variant: number,
                pair,
            };
            let (tally, training, guarantees) = slice.run(&mut progress).await?;
            report.slices.push(SliceResult {
                variant: variant.name.clone(),
                seconds: settings.slice_ms as f64 / 1_000.0,
                sums: tally.sums,
                training,
                guarantees,
            });
            sleep(SLICE_PAUSE).await;
        }
    }
    Ok(report)
}

fn fleet_settings(settings: &LoadSettings) -> FleetSettings {
    let profile = &settings.profile;
    let entries = settings
        .variants
        .iter()
        .flat_map(|variant| std::iter::repeat_n(variant.policy, settings.entries));
    FleetSettings {
        site: profile.site.clone(),
        engines: profile.engines,
        services: profile.services,
        scorers: profile.scorers,
        entries: entries.collect(),
        service_ms: 2,
        scale_permille: 1_000,
        report_lag_ms: settings.report_lag_ms,
        append_ms: 2,
        seed: settings.seed,
    }
}

/// Publishes the configuration of the owner and of the neighbours for a variant.
async fn publish_configuration(
    settings: &LoadSettings,
    variant: &Variant,
    publisher: &mut Publisher,
) -> Result<(), BenchError> {
    let site = &settings.profile.site;
    let neighbours = settings.scale.neighbours;
    let source = std::fs::read_to_string(site.file)?;
    let own = texts::parse_limits(&source)?;
    let effective = |limits: Limits| match variant.limits {
        Some(_) => limits,
        None => Limits::UNLIMITED,
    };
    let text = texts::owner_text(&source, site, neighbours, effective(own));
    publisher.publish(site.customer, &text).await?;
    for number in 0..neighbours {
        let limits = effective(variant.limits.unwrap_or(Limits::UNLIMITED));
        let text = texts::neighbour_text(number, site, limits);
        publisher
            .publish(&texts::neighbour_name(number), &text)
            .await?;
    }
    Ok(())
}
