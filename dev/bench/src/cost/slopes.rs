//! How the cost of the idle control plane grows with the processes and the customers.

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

const ENTRIES: usize = 3;
const SETTLE: Duration = Duration::from_secs(3);
/// Customers that a service is shared with at most.
const SHARED_MAX: usize = 500;
const LIMITS: Limits = Limits {
    requests_per_s: 50,
    in_progress: 50,
    tokens_per_s: 20_000,
};

/// Settings.
#[value]
pub struct SlopesSettings {
    /// Whose configuration.
    pub site: Site,
    /// Numbers of agents.
    pub agents: Vec<usize>,
    /// Numbers of further customers, with the smallest number of agents.
    pub customers: Vec<usize>,
    /// How long each size is watched.
    pub watch_ms: u64,
    /// Seed.
    pub seed: u64,
}

/// One measured size.
struct Point {
    size: f64,
    entry: Usage,
    agent: Usage,
    in_force: Duration,
}

/// Measures and gives the tables as text.
pub async fn run(settings: &SlopesSettings) -> Result<String, BenchError> {
    let mut points = Vec::new();
    for &agents in &settings.agents {
        eprintln!("{agents} agents");
        points.push(point(settings, agents, 0, agents).await?);
    }
    let mut text = told("agents", &points);
    let fewest = settings.agents.iter().copied().min().unwrap_or(1);
    let mut points = Vec::new();
    for &customers in &settings.customers {
        eprintln!("{customers} customers");
        points.push(point(settings, fewest, customers, customers).await?);
    }
    text.push('\n');
    text.push_str(&told("customers", &points));
    Ok(text)
}

async fn point(
    settings: &SlopesSettings,
    agents: usize,
    customers: usize,
    size: usize,
) -> Result<Point, BenchError> {
    let fleet = Fleet::start(&fleet(settings, agents)).await?;
    let in_force = publish(settings, &fleet, customers).await?;
    fleet.complete().await?;
    sleep(SETTLE).await;
    let entries = usage::mark(&fleet.entries)?;
    let agents = usage::mark(&fleet.agents)?;
    sleep(Duration::from_millis(settings.watch_ms)).await;
    Ok(Point {
        size: size as f64,
        entry: entries.usage(&fleet.entries)?,
        agent: agents.usage(&fleet.agents)?,
        in_force,
    })
}

/// Half of the agents beside engines, half beside plain services.
fn fleet(settings: &SlopesSettings, agents: usize) -> FleetSettings {
    FleetSettings {
        site: settings.site.clone(),
        engines: agents / 2,
        services: agents - agents / 2,
        scorers: 0,
        entries: vec![None; ENTRIES],
        service_ms: 0,
        scale_permille: 1_000,
        report_lag_ms: 200,
        append_ms: 0,
        seed: settings.seed,
    }
}

/// Publishes the texts; gives the time from the last append until all are in force.
async fn publish(
    settings: &SlopesSettings,
    fleet: &Fleet,
    customers: usize,
) -> Result<Duration, BenchError> {
    let site = &settings.site;
    let source = std::fs::read_to_string(site.file)?;
    let mut publisher = Publisher::new(fleet.standins.log.address);
    let own = texts::limits(&source)?;
    // A service is shared with 500 customers at most; the others depend on nothing.
    let text = texts::site(&source, site, customers.min(SHARED_MAX), own);
    publisher.publish(site.customer, &text).await?;
    for number in 0..customers {
        let text = texts::neighbours(number, site, LIMITS);
        publisher.publish(&texts::neighbour(number), &text).await?;
    }
    publisher.in_force(&fleet.admins()).await
}

/// One number of a point.
type Reading = fn(&Point) -> f64;

fn told(what: &str, points: &[Point]) -> String {
    let mut table = Table::new([
        what,
        "entry MiB",
        "entry % core",
        "agent MiB",
        "agent % core",
        "in force ms",
    ]);
    for point in points {
        table.add([
            format!("{:.0}", point.size),
            format!("{:.2}", point.entry.memory_mib),
            format!("{:.3}", point.entry.cpu_permille / 10.0),
            format!("{:.2}", point.agent.memory_mib),
            format!("{:.3}", point.agent.cpu_permille / 10.0),
            point.in_force.as_millis().to_string(),
        ]);
    }
    let mut text = table.text();
    let lines: [(&str, Reading); 4] = [
        ("entry MiB", |point| point.entry.memory_mib),
        ("entry % core", |point| point.entry.cpu_permille / 10.0),
        ("agent MiB", |point| point.agent.memory_mib),
        ("agent % core", |point| point.agent.cpu_permille / 10.0),
    ];
    for (name, value) in lines {
        let points: Vec<(f64, f64)> = points.iter().map(|p| (p.size, value(p))).collect();
        if let Some(line) = Line::through(&points) {
            text.push_str(&format!(
                "{name} = {:.4} + {:.6} x {what}\n",
                line.base, line.slope
            ));
        }
    }
    text
}
