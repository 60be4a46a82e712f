//! Measures how memory and processor time of the idle control plane grow with the number of agents
//! and of customers, and fits a line to each.

use std::time::Duration;

use derive::value;
use tokio::time::sleep;

use super::fit::Line;
use super::usage::{self, Usage};
use crate::error::BenchError;
use crate::fleet::texts::{self, Limits};
use crate::fleet::{Fleet, FleetSettings, Publisher};
use crate::site::Site;
use crate::table::Table;

const ENTRY_COUNT: usize = 3;
/// Time between the activation of the configuration and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Most customers in the `shared_with` list of a service, as the configuration's check allows.
const SHARED_WITH_MAX: usize = 500;
const NEIGHBOUR_LIMITS: Limits = Limits {
    requests_per_s: 50,
    in_progress: 50,
    tokens_per_s: 20_000,
};

/// Settings of the measurement.
#[value]
pub struct SlopesSettings {
    /// Site whose configuration the fleet runs.
    pub site: Site,
    /// Numbers of agents to measure, without further customers.
    pub agents: Vec<usize>,
    /// Numbers of further customers to measure, with the smallest number of agents.
    pub customers: Vec<usize>,
    /// Time over which each size is measured.
    pub watch_ms: u64,
    /// Seed of the choice of ports.
    pub seed: u64,
}

/// Measurement of one size.
struct Measurement {
    size: f64,
    entry: Usage,
    agent: Usage,
    activation: Duration,
}

/// Measures all sizes and returns the tables as text.
pub async fn run(settings: &SlopesSettings) -> Result<String, BenchError> {
    let mut points = Vec::new();
    for &agents in &settings.agents {
        eprintln!("{agents} agents");
        points.push(measure(settings, agents, 0, agents).await?);
    }
    let mut text = render("agents", &points);
    let fewest = settings.agents.iter().copied().min().unwrap_or(1);
    let mut points = Vec::new();
    for &customers in &settings.customers {
        eprintln!("{customers} customers");
        points.push(measure(settings, fewest, customers, customers).await?);
    }
    text.push('\n');
    text.push_str(&render("customers", &points));
    Ok(text)
}

async fn measure(
    settings: &SlopesSettings,
    agents: usize,
    customers: usize,
    size: usize,
) -> Result<Measurement, BenchError> {
    let fleet = Fleet::start(&fleet_settings(settings, agents)).await?;
    let activation = publish(settings, &fleet, customers).await?;
    fleet.wait_for_replicas().await?;
    sleep(SETTLE_TIME).await;
    let entries = usage::start_interval(&fleet.entries)?;
    let agents = usage::start_interval(&fleet.agents)?;
    sleep(Duration::from_millis(settings.watch_ms)).await;
    Ok(Measurement {
        size: size as f64,
        entry: entries.usage(&fleet.entries)?,
        agent: agents.usage(&fleet.agents)?,
        activation,
    })
}

/// One half of the agents is in front of engines, the other in front of plain services.
fn fleet_settings(settings: &SlopesSettings, agents: usize) -> FleetSettings {
    FleetSettings {
        site: settings.site.clone(),
        engines: agents / 2,
        services: agents - agents / 2,
        scorers: 0,
        entries: vec![None; ENTRY_COUNT],
        service_ms: 0,
        scale_permille: 1_000,
        report_lag_ms: 200,
        append_ms: 0,
        seed: settings.seed,
    }
}

/// Publishes the configuration texts and returns the time from the last append until all texts are
/// active at all processes.
async fn publish(
    settings: &SlopesSettings,
    fleet: &Fleet,
    customers: usize,
) -> Result<Duration, BenchError> {
    let site = &settings.site;
    let source = std::fs::read_to_string(site.file)?;
    let mut publisher = Publisher::new(fleet.standins.log.address);
    let own = texts::parse_limits(&source)?;
    // A service can be shared with at most 500 customers; any others have no access to it.
    let text = texts::owner_text(&source, site, customers.min(SHARED_WITH_MAX), own);
    publisher.publish(site.customer, &text).await?;
    for number in 0..customers {
        let text = texts::neighbour_text(number, site, NEIGHBOUR_LIMITS);
        publisher
            .publish(&texts::neighbour_name(number), &text)
            .await?;
    }
    publisher.wait_until_active(&fleet.admins()).await
}

/// Extracts one value of a measurement.
type Value = fn(&Measurement) -> f64;

fn render(size_title: &str, points: &[Measurement]) -> String {
    let mut table = Table::new([
        size_title,
        "entry MiB",
        "entry % core",
        "agent MiB",
        "agent % core",
        "in force ms",
    ]);
    for point in points {
        table.add_row([
            format!("{:.0}", point.size),
            format!("{:.2}", point.entry.memory_mib),
            format!("{:.3}", point.entry.cpu_permille / 10.0),
            format!("{:.2}", point.agent.memory_mib),
            format!("{:.3}", point.agent.cpu_permille / 10.0),
            point.activation.as_millis().to_string(),
        ]);
    }
    let mut text = table.render();
    let lines: [(&str, Value); 4] = [
        ("entry MiB", |point| point.entry.memory_mib),
        ("entry % core", |point| point.entry.cpu_permille / 10.0),
        ("agent MiB", |point| point.agent.memory_mib),
        ("agent % core", |point| point.agent.cpu_permille / 10.0),
    ];
    for (name, value) in lines {
        let points: Vec<(f64, f64)> = points.iter().map(|p| (p.size, value(p))).collect();
        if let Some(line) = Line::fit(&points) {
            text.push_str(&format!(
                "{name} = {:.4} + {:.6} x {size_title}\n",
                line.base, line.slope
            ));
        }
    }
    text
}
