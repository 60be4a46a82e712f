//! What the path through entry and agent adds to the endpoint asked directly.
//!
//! One entry and one agent before each of one plain service and one engine. Requests go
//! to the endpoint and through the system in turns, so that whatever else the machine
//! does falls on both; the figures that count are their ratios and the processor time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use derive::{key, value};
use tokio::task::JoinSet;

use super::usage;
use crate::ask::{self, Opinion};
use crate::caller::{Ask, Caller};
use crate::error::BenchError;
use crate::fleet::texts::{self, Limits};
use crate::fleet::{Fleet, FleetSettings, Publisher};
use crate::latencies::Latencies;
use crate::load::ratio::Ratios;
use crate::reply::Ending;
use crate::site::Site;
use crate::table::Table;

const DEADLINE: Duration = Duration::from_secs(10);
const BODY_BYTES: usize = 1_024;
const MAX_TOKENS: u32 = 32;
const WARM_UP: u64 = 50;

/// Settings.
#[value]
pub struct PathSettings {
    /// Whose configuration.
    pub site: Site,
    /// Requests of a round, one after the other, each way.
    pub requests: u64,
    /// Length of a round under load, each way.
    pub load_ms: u64,
    /// Requests under way at a time under load.
    pub under_way: usize,
    /// Rounds.
    pub rounds: u64,
    /// Seed.
    pub seed: u64,
}

/// Kind of call.
#[key]
enum Kind {
    /// A body of 1 KB for a plain service that takes no time.
    Unary,
    /// A streamed completion of 32 tokens at most from an engine that takes no time.
    Stream,
}

impl Kind {
    const ALL: [Kind; 2] = [Kind::Unary, Kind::Stream];

    fn as_str(self) -> &'static str {
        match self {
            Kind::Unary => "unary, 1 KB",
            Kind::Stream => "stream of events",
        }
    }
}

struct Path<'a> {
    settings: &'a PathSettings,
    fleet: &'a Fleet,
    through: Caller,
    service: Caller,
    engine: Caller,
}

/// What the rounds of one kind gave.
#[derive(Default)]
struct Rounds {
    p50: Ratios,
    p99: Ratios,
    direct: Latencies,
    through: Latencies,
    rate: Ratios,
    through_per_s: Vec<f64>,
    entry_per_core_s: Vec<f64>,
    agent_per_core_s: Vec<f64>,
    not_whole: u64,
}

/// Measures and gives the tables as text.
pub async fn run(settings: &PathSettings) -> Result<String, BenchError> {
    let fleet = Fleet::start(&FleetSettings {
        site: settings.site.clone(),
        engines: 1,
        services: 1,
        scorers: 0,
        entries: vec![None],
        service_ms: 0,
        scale_permille: 0,
        report_lag_ms: 0,
        append_ms: 0,
        seed: settings.seed,
    })
    .await?;
    publish(settings, &fleet).await?;
    let path = Path {
        settings,
        fleet: &fleet,
        through: Caller::new(fleet.entries[0].address),
        service: Caller::new(fleet.standins.services[0].address),
        engine: Caller::new(fleet.standins.engines[0].address),
    };
    let mut latencies = Table::new([
        "call",
        "direct p50 ms",
        "p99 ms",
        "through p50 ms",
        "p99 ms",
        "added p50 ms",
        "p50 ratio",
        "p99 ratio",
    ]);
    let mut rates = Table::new([
        "call",
        "through/s",
        "rate ratio",
        "requests per core-s of the entry",
        "of the agent",
        "not whole",
    ]);
    for kind in Kind::ALL {
        let rounds = path.measure(kind).await?;
        rounds.add_to(kind, &mut latencies, &mut rates);
    }
    Ok(format!(
        "{}\n{} requests under way at a time:\n{}",
        latencies.text(),
        settings.under_way,
        rates.text()
    ))
}

async fn publish(settings: &PathSettings, fleet: &Fleet) -> Result<(), BenchError> {
    let site = &settings.site;
    let source = std::fs::read_to_string(site.file)?;
    let mut publisher = Publisher::new(fleet.standins.log.address);
    let text = texts::site(&source, site, 0, Limits::NONE);
    publisher.publish(site.customer, &text).await?;
    publisher.in_force(&fleet.admins()).await?;
    fleet.complete().await
}

impl Path<'_> {
    async fn measure(&self, kind: Kind) -> Result<Rounds, BenchError> {
        let mut rounds = Rounds::default();
        for number in 0..WARM_UP {
            self.direct(kind).ask(self.ask(kind, number, true)).await;
            self.through.ask(self.ask(kind, number, false)).await;
        }
        for round in 0..self.settings.rounds {
            self.one_by_one(kind, round, &mut rounds).await;
            self.under_load(kind, round, &mut rounds).await?;
        }
        Ok(rounds)
    }

    async fn one_by_one(&self, kind: Kind, round: u64, rounds: &mut Rounds) {
        let (mut direct, mut through) = (Latencies::default(), Latencies::default());
        for number in 0..self.settings.requests {
            let name = (round + 1) * 1_000_000 + number;
            let one = self.direct(kind).ask(self.ask(kind, name, true)).await;
            let other = self.through.ask(self.ask(kind, name, false)).await;
            direct.record(one.latency);
            through.record(other.latency);
            for reply in [one, other] {
                rounds.not_whole += u64::from(reply.ending != Ending::Whole);
            }
        }
        rounds
            .p50
            .add(through.quantile_ms(0.5), direct.quantile_ms(0.5));
        rounds
            .p99
            .add(through.quantile_ms(0.99), direct.quantile_ms(0.99));
        rounds.direct.add(&direct);
        rounds.through.add(&through);
    }

    async fn under_load(
        &self,
        kind: Kind,
        round: u64,
        rounds: &mut Rounds,
    ) -> Result<(), BenchError> {
        let (direct, _) = self.closed_loop(kind, round, true).await;
        let entry = usage::mark(&self.fleet.entries)?;
        let agent = usage::mark(&self.fleet.agents)?;
        let (through, not_whole) = self.closed_loop(kind, round, false).await;
        let entry_s = entry.cpu_since(&self.fleet.entries)?.as_secs_f64();
        let agent_s = agent.cpu_since(&self.fleet.agents)?.as_secs_f64();
        let seconds = self.settings.load_ms as f64 / 1_000.0;
        rounds.rate.add(through as f64, direct as f64);
        rounds.through_per_s.push(through as f64 / seconds);
        rounds.entry_per_core_s.push(through as f64 / entry_s);
        rounds.agent_per_core_s.push(through as f64 / agent_s);
        rounds.not_whole += not_whole;
        Ok(())
    }

    /// Requests with a whole answer, and the others.
    async fn closed_loop(&self, kind: Kind, round: u64, direct: bool) -> (u64, u64) {
        let end = Instant::now() + Duration::from_millis(self.settings.load_ms);
        let mut callers = JoinSet::new();
        for number in 0..self.settings.under_way {
            let caller = match direct {
                true => self.direct(kind).clone(),
                false => self.through.clone(),
            };
            let first = ((round + 1) << 40) + ((number as u64) << 24);
            let asks = self.ask(kind, first, direct);
            callers.spawn(async move {
                let (mut whole, mut other) = (0, 0);
                while Instant::now() < end {
                    let reply = caller.ask(asks.clone()).await;
                    match reply.ending {
                        Ending::Whole => whole += 1,
                        _ => other += 1,
                    }
                }
                (whole, other)
            });
        }
        let counts = callers.join_all().await;
        let sum = |of: fn(&(u64, u64)) -> u64| counts.iter().map(of).sum();
        (sum(|count| count.0), sum(|count| count.1))
    }

    fn direct(&self, kind: Kind) -> &Caller {
        match kind {
            Kind::Unary => &self.service,
            Kind::Stream => &self.engine,
        }
    }

    fn ask(&self, kind: Kind, name: u64, direct: bool) -> Ask {
        let site = &self.settings.site;
        match kind {
            Kind::Unary => {
                // The stand-in answers any other path after a timer's tick.
                let path = format!("/healthz?{name}");
                Ask {
                    method: "PUT",
                    path: match direct {
                        true => path,
                        false => format!("/v1/services/{}{path}", site.desk),
                    },
                    headers: ask::headers(site.acts[0].token, DEADLINE),
                    body: Bytes::from(vec![b'x'; BODY_BYTES]),
                    deadline_ms: DEADLINE.as_millis() as u64,
                }
            }
            Kind::Stream => {
                let opinion = Opinion {
                    model: site.model,
                    token: site.model_token,
                    prompt: &format!("{} {name}", site.prompt),
                    max_tokens: MAX_TOKENS,
                    stream: true,
                };
                ask::opinion(&opinion, DEADLINE)
            }
        }
    }
}

impl Rounds {
    fn add_to(&self, kind: Kind, latencies: &mut Table, rates: &mut Table) {
        let quantile = |of: &Latencies, quantile| format!("{:.3}", of.quantile_ms(quantile));
        let added = self.through.quantile_ms(0.5) - self.direct.quantile_ms(0.5);
        latencies.add([
            kind.as_str().to_owned(),
            quantile(&self.direct, 0.5),
            quantile(&self.direct, 0.99),
            quantile(&self.through, 0.5),
            quantile(&self.through, 0.99),
            format!("{added:.3}"),
            self.p50.text(),
            self.p99.text(),
        ]);
        rates.add([
            kind.as_str().to_owned(),
            format!("{:.0}", middle(&self.through_per_s)),
            self.rate.text(),
            spread(&self.entry_per_core_s),
            spread(&self.agent_per_core_s),
            self.not_whole.to_string(),
        ]);
    }
}

fn middle(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

fn spread(values: &[f64]) -> String {
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(0.0, f64::max);
    format!("{:.0} ({least:.0}-{most:.0})", middle(values))
}
