//! Measures what the path through entry and agent adds to a direct call of the endpoint.
//!
//! The fleet has one entry, one plain service and one engine, each with an agent in front. Direct
//! requests and requests through the system alternate, so that other activity on the VM affects
//! both alike. The meaningful results are therefore the ratios and the processor time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use derive::{key, value};
use tokio::task::JoinSet;

use super::usage;
use crate::caller::{Caller, OutgoingRequest};
use crate::error::BenchError;
use crate::fleet::texts::{self, Limits};
use crate::fleet::{Fleet, FleetSettings, Publisher};
use crate::latencies::Latencies;
use crate::load::ratio::Ratios;
use crate::reply::Ending;
use crate::requests::{self, CompletionCall};
use crate::site::Site;
use crate::table::Table;

const DEADLINE: Duration = Duration::from_secs(10);
const BODY_BYTES: usize = 1_024;
const COMPLETION_TOKENS_MAX: u32 = 32;
/// Requests each way before the first round, which are not counted.
const WARM_UP_REQUESTS: u64 = 50;

/// Settings of the measurement.
#[value]
pub struct PathSettings {
    /// Site whose configuration the fleet runs.
    pub site: Site,
    /// Sequential requests in a round, directly and through the system each.
    pub requests: u64,
    /// Time of a round under load, directly and through the system each.
    pub load_ms: u64,
    /// Requests in progress at a time under load.
    pub in_progress: usize,
    /// Number of rounds for each kind of call.
    pub rounds: u64,
    /// Seed of the choice of ports.
    pub seed: u64,
}

/// Kind of call that is measured.
#[key]
enum MeasuredCall {
    /// A request with a body of 1 KB to a plain service that answers without delay.
    Unary,
    /// A streamed completion of at most 32 tokens by an engine that generates without delay.
    Stream,
}

impl MeasuredCall {
    const ALL: [MeasuredCall; 2] = [MeasuredCall::Unary, MeasuredCall::Stream];

    fn as_str(self) -> &'static str {
        match self {
            MeasuredCall::Unary => "unary, 1 KB",
            MeasuredCall::Stream => "stream of events",
        }
    }
}

/// The fleet with a caller for each way.
struct PathBench<'a> {
    settings: &'a PathSettings,
    fleet: &'a Fleet,
    through: Caller,
    service: Caller,
    engine: Caller,
}

/// Measurements of all rounds of one kind of call.
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
    incomplete: u64,
}

/// Measures all kinds of calls and returns the tables as text.
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
    let bench = PathBench {
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
    for kind in MeasuredCall::ALL {
        let rounds = bench.measure(kind).await?;
        rounds.add_rows(kind, &mut latencies, &mut rates);
    }
    Ok(format!(
        "{}\n{} requests in progress at a time:\n{}",
        latencies.render(),
        settings.in_progress,
        rates.render()
    ))
}

async fn publish(settings: &PathSettings, fleet: &Fleet) -> Result<(), BenchError> {
    let site = &settings.site;
    let source = std::fs::read_to_string(site.file)?;
    let mut publisher = Publisher::new(fleet.standins.log.address);
    let text = texts::owner_text(&source, site, 0, Limits::UNLIMITED);
    publisher.publish(site.customer, &text).await?;
    publisher.wait_until_active(&fleet.admins()).await?;
    fleet.wait_for_replicas().await
}

impl PathBench<'_> {
    async fn measure(&self, kind: MeasuredCall) -> Result<Rounds, BenchError> {
        let mut rounds = Rounds::default();
        for number in 0..WARM_UP_REQUESTS {
            self.direct(kind)
                .send(self.request(kind, number, true))
                .await;
            self.through.send(self.request(kind, number, false)).await;
        }
        for round in 0..self.settings.rounds {
            self.measure_sequential(kind, round, &mut rounds).await;
            self.measure_under_load(kind, round, &mut rounds).await?;
        }
        Ok(rounds)
    }

    async fn measure_sequential(&self, kind: MeasuredCall, round: u64, rounds: &mut Rounds) {
        let (mut direct, mut through) = (Latencies::default(), Latencies::default());
        for number in 0..self.settings.requests {
            let name = (round + 1) * 1_000_000 + number;
            let direct_reply = self.direct(kind).send(self.request(kind, name, true)).await;
            let through_reply = self.through.send(self.request(kind, name, false)).await;
            direct.record(direct_reply.latency);
            through.record(through_reply.latency);
            for reply in [direct_reply, through_reply] {
                rounds.incomplete += u64::from(reply.ending != Ending::Whole);
            }
        }
        rounds
            .p50
            .add_pair(through.quantile_ms(0.5), direct.quantile_ms(0.5));
        rounds
            .p99
            .add_pair(through.quantile_ms(0.99), direct.quantile_ms(0.99));
        rounds.direct.merge(&direct);
        rounds.through.merge(&through);
    }

    async fn measure_under_load(
        &self,
        kind: MeasuredCall,
        round: u64,
        rounds: &mut Rounds,
    ) -> Result<(), BenchError> {
        let (direct, _) = self.closed_loop(kind, round, true).await;
        let entry = usage::start_interval(&self.fleet.entries)?;
        let agent = usage::start_interval(&self.fleet.agents)?;
        let (through, incomplete) = self.closed_loop(kind, round, false).await;
        let entry_s = entry.cpu_since(&self.fleet.entries)?.as_secs_f64();
        let agent_s = agent.cpu_since(&self.fleet.agents)?.as_secs_f64();
        let seconds = self.settings.load_ms as f64 / 1_000.0;
        rounds.rate.add_pair(through as f64, direct as f64);
        rounds.through_per_s.push(through as f64 / seconds);
        rounds.entry_per_core_s.push(through as f64 / entry_s);
        rounds.agent_per_core_s.push(through as f64 / agent_s);
        rounds.incomplete += incomplete;
        Ok(())
    }

    /// Keeps a constant number of requests in progress for a round. Returns the number of requests
    /// with a complete answer and that of all others.
    async fn closed_loop(&self, kind: MeasuredCall, round: u64, direct: bool) -> (u64, u64) {
        let end = Instant::now() + Duration::from_millis(self.settings.load_ms);
        let mut callers = JoinSet::new();
        for number in 0..self.settings.in_progress {
            let caller = match direct {
                true => self.direct(kind).clone(),
                false => self.through.clone(),
            };
            let first = ((round + 1) << 40) + ((number as u64) << 24);
            let request = self.request(kind, first, direct);
            callers.spawn(async move {
                let (mut complete, mut other) = (0, 0);
                while Instant::now() < end {
                    let reply = caller.send(request.clone()).await;
                    match reply.ending {
                        Ending::Whole => complete += 1,
                        _ => other += 1,
                    }
                }
                (complete, other)
            });
        }
        let counts = callers.join_all().await;
        let sum = |of: fn(&(u64, u64)) -> u64| counts.iter().map(of).sum();
        (sum(|count| count.0), sum(|count| count.1))
    }

    fn direct(&self, kind: MeasuredCall) -> &Caller {
        match kind {
            MeasuredCall::Unary => &self.service,
            MeasuredCall::Stream => &self.engine,
        }
    }

    fn request(&self, kind: MeasuredCall, name: u64, direct: bool) -> OutgoingRequest {
        let site = &self.settings.site;
        match kind {
            MeasuredCall::Unary => {
                // The only path without a timer: for any other one the stand-in waits at least a
                // timer tick, which would hide the cost of the system.
                let path = format!("/healthz?{name}");
                OutgoingRequest {
                    method: "PUT",
                    path: match direct {
                        true => path,
                        false => format!("/v1/services/{}{path}", site.plain_service),
                    },
                    headers: requests::headers(site.call_kinds[0].token, DEADLINE),
                    body: Bytes::from(vec![b'x'; BODY_BYTES]),
                    deadline_ms: DEADLINE.as_millis() as u64,
                }
            }
            MeasuredCall::Stream => {
                let call = CompletionCall {
                    model: site.model,
                    token: site.model_token,
                    prompt: &format!("{} {name}", site.prompt),
                    max_tokens: COMPLETION_TOKENS_MAX,
                    stream: true,
                };
                requests::completion_request(&call, DEADLINE)
            }
        }
    }
}

impl Rounds {
    fn add_rows(&self, kind: MeasuredCall, latencies: &mut Table, rates: &mut Table) {
        let quantile = |of: &Latencies, quantile| format!("{:.3}", of.quantile_ms(quantile));
        let added = self.through.quantile_ms(0.5) - self.direct.quantile_ms(0.5);
        latencies.add_row([
            kind.as_str().to_owned(),
            quantile(&self.direct, 0.5),
            quantile(&self.direct, 0.99),
            quantile(&self.through, 0.5),
            quantile(&self.through, 0.99),
            format!("{added:.3}"),
            self.p50.render(),
            self.p99.render(),
        ]);
        rates.add_row([
            kind.as_str().to_owned(),
            format!("{:.0}", median(&self.through_per_s)),
            self.rate.render(),
            median_and_range(&self.entry_per_core_s),
            median_and_range(&self.agent_per_core_s),
            self.incomplete.to_string(),
        ]);
    }
}

/// Median; for an even number the upper of the two middle values, and 0 without values.
fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Formats as `median (smallest-largest)`.
fn median_and_range(values: &[f64]) -> String {
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(0.0, f64::max);
    format!("{:.0} ({least:.0}-{most:.0})", median(values))
}
