//! Simulation of one service: entries that choose replicas by the code under test, and engines
//! with continuous batching, limited by a compute budget and a KV cache.

use std::collections::VecDeque;
use std::sync::Arc;

use routing::{
    Choice, Outcome, Replica, Report, Requirements, Settings, SplitMix64, Table, Work,
    choose_replica,
};

use super::{here, spread};

const STEP_MS: u64 = 10;
/// Compute units of an engine per step; a generated token takes one, a prompt token a quarter.
const UNITS: f64 = 40.0;
const PROMPT_TOKEN_UNITS: f64 = 0.25;
/// Maximum number of tokens that one call generates per step.
const TOKENS_PER_STEP: f64 = 0.5;
const KV_TOKENS: f64 = 40_000.0;
const REFRESH_MS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Workload {
    /// Sizes as of [`Workload::Mixed`], which the entry does not know.
    Plain,
    /// Half long prompts with short answers, half short prompts with long answers.
    Mixed,
    /// All calls of one kind: prompts and answers of medium length.
    Uniform,
}

#[derive(Clone)]
pub struct Run {
    pub settings: Settings,
    pub workload: Workload,
    pub entries: usize,
    pub replicas: u16,
    pub lag_ms: u64,
    /// Offered load in thousandths of the engines' compute capacity.
    pub load_permille: u64,
    pub seed: u64,
    pub length_ms: u64,
}

pub struct Figures {
    /// Calls of the busiest replica divided by the mean of all replicas, averaged over time.
    pub peak_over_mean: f64,
    /// Latency divided by the latency on an idle engine, in thousandths.
    pub p50_slowdown: u64,
    pub p99_slowdown: u64,
    pub calls: usize,
}

struct Call {
    entry: usize,
    choice: Choice,
    began_ms: u64,
    prompt_left: f64,
    left: f64,
    kv: f64,
    idle_ms: f64,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<Call>,
    running: Vec<Call>,
}

impl Engine {
    fn calls(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    fn kv(&self) -> f64 {
        self.running.iter().map(|call| call.kv).sum()
    }

    /// Load report of the engine. A plain service reports neither prompt tokens nor KV cache use.
    fn report(&self, taken_at_ms: u64, workload: Workload) -> Report {
        let tokens = if workload == Workload::Plain {
            0.0
        } else {
            1.0
        };
        let all = self.running.iter().chain(&self.waiting);
        Report {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prompt_tokens_queued: all.map(|call| call.prompt_left * tokens).sum::<f64>() as u32,
            kv_used_permille: (tokens * self.kv() * 1_000.0 / KV_TOKENS) as u16,
            taken_at_ms,
        }
    }

    /// Runs one step: answers are generated first, and prompts get the rest of the compute.
    fn step(&mut self) -> Vec<Call> {
        let mut kv = self.kv();
        while let Some(call) = self.waiting.front()
            && kv + call.kv <= KV_TOKENS
        {
            kv += call.kv;
            self.running.extend(self.waiting.pop_front());
        }
        let answering = self.running.iter().filter(|call| call.prompt_left <= 0.0);
        let tokens = TOKENS_PER_STEP.min(UNITS / (answering.count().max(1) as f64));
        let mut units = UNITS;
        for call in &mut self.running {
            if call.prompt_left <= 0.0 {
                call.left -= tokens;
                units -= tokens;
            }
        }
        for call in &mut self.running {
            let done = call.prompt_left.min(units / PROMPT_TOKEN_UNITS);
            if done > 0.0 {
                call.prompt_left -= done;
                units -= done * PROMPT_TOKEN_UNITS;
                if call.prompt_left <= 0.0 {
                    call.choice.outstanding.record_answer_start();
                }
            }
        }
        self.running
            .extract_if(.., |call| call.left <= 0.0)
            .collect()
    }
}

/// Random number of prompt and answer tokens of a call.
fn size(workload: Workload, rng: &mut SplitMix64) -> (f64, f64) {
    let percent = |rng: &mut SplitMix64| 0.5 + rng.below(1_000) as f64 / 1_000.0;
    if workload == Workload::Uniform {
        return (1_200.0 * percent(rng), 290.0 * percent(rng));
    }
    match rng.below(2) {
        0 => (2_000.0 * percent(rng), 50.0 * percent(rng)),
        _ => (100.0 * percent(rng), 600.0 * percent(rng)),
    }
}

fn idle_ms(prompt: f64, new: f64) -> f64 {
    let steps = (prompt * PROMPT_TOKEN_UNITS / UNITS).ceil() + (new / TOKENS_PER_STEP).ceil();
    steps * STEP_MS as f64
}

const MEAN_UNITS: f64 = (2_000.0 * 0.25 + 50.0 + 100.0 * 0.25 + 600.0) / 2.0;

/// Runs the simulation; deterministic for a given `run`.
pub fn run(run: Run) -> Figures {
    let mut sim = Sim::new(run);
    while sim.now_ms < sim.run.length_ms {
        sim.step();
    }
    sim.figures()
}

struct Sim {
    run: Run,
    now_ms: u64,
    rng: SplitMix64,
    engines: Vec<Engine>,
    entries: Vec<Table>,
    reports: VecDeque<Vec<Report>>,
    peaks: Vec<f64>,
    slowdowns: Vec<u64>,
}

impl Sim {
    fn new(run: Run) -> Self {
        let settings = Arc::new(Settings {
            slow_start_ms: 0,
            ..run.settings.clone()
        });
        Self {
            now_ms: 0,
            rng: SplitMix64::new(run.seed),
            engines: (0..run.replicas).map(|_| Engine::default()).collect(),
            entries: (0..run.entries)
                .map(|_| Table::empty(Arc::clone(&settings)))
                .collect(),
            run,
            reports: VecDeque::new(),
            peaks: Vec::new(),
            slowdowns: Vec::new(),
        }
    }

    fn step(&mut self) {
        if self.now_ms.is_multiple_of(REFRESH_MS) {
            self.refresh();
        }
        for _ in 0..self.arrivals() {
            self.arrive();
        }
        for engine in &mut self.engines {
            for call in engine.step() {
                let latency_ms = (self.now_ms + STEP_MS - call.began_ms) as f64;
                self.slowdowns
                    .push((latency_ms * 1_000.0 / call.idle_ms) as u64);
                let table = &self.entries[call.entry];
                call.choice.finish(table, Outcome::Answered, self.now_ms);
            }
        }
        self.now_ms += STEP_MS;
    }

    fn refresh(&mut self) {
        let now_ms = self.now_ms;
        let fresh = self
            .engines
            .iter()
            .map(|engine| engine.report(now_ms, self.run.workload));
        self.reports.push_back(fresh.collect());
        let late = self.run.lag_ms / REFRESH_MS + 1;
        while self.reports.len() as u64 > late {
            self.reports.pop_front();
        }
        let arrived = (self.reports.len() as u64 == late).then(|| &self.reports[0]);
        for (entry, table) in self.entries.iter_mut().enumerate() {
            let replicas = (0..self.run.replicas).map(|number| Replica {
                report: arrived.map(|reports| reports[usize::from(number)]),
                ..spread(number)
            });
            *table = table.rebuild(replicas.collect(), &here(entry), now_ms);
        }
        let calls = self.engines.iter().map(|engine| engine.calls() as f64);
        let mean = calls.clone().sum::<f64>() / self.engines.len() as f64;
        if mean > 1.0 && self.now_ms > self.run.length_ms / 5 {
            self.peaks.push(calls.fold(0.0, f64::max) / mean);
        }
    }

    fn arrivals(&mut self) -> usize {
        let units = UNITS * self.engines.len() as f64 * self.run.load_permille as f64 / 1_000.0;
        let chance = units / MEAN_UNITS / 8.0;
        (0..8)
            .filter(|_| (self.rng.below(1_000_000) as f64) < chance * 1e6)
            .count()
    }

    fn arrive(&mut self) {
        // Clients are not balanced evenly over the entries: of three, the first gets five ninths.
        let mut any = || self.rng.below(self.run.entries);
        let entry = any().min(any());
        let (prompt, new) = size(self.run.workload, &mut self.rng);
        let work = match self.run.workload {
            Workload::Plain => Work::default(),
            Workload::Mixed | Workload::Uniform => Work {
                prompt_tokens: prompt as u32,
                max_new_tokens: new as u32,
            },
        };
        let requirements = Requirements {
            work,
            ..Requirements::default()
        };
        let random = self.rng.next_u64();
        let choice =
            choose_replica(&self.entries[entry], &requirements, random, self.now_ms).unwrap();
        let chosen = choice.node.address.port() - super::node(0).address.port();
        self.engines[usize::from(chosen)].waiting.push_back(Call {
            entry,
            choice,
            began_ms: self.now_ms,
            prompt_left: prompt,
            left: new,
            kv: prompt + new,
            idle_ms: idle_ms(prompt, new),
        });
    }

    fn figures(mut self) -> Figures {
        self.slowdowns.sort_unstable();
        let at = |permille: usize| {
            let position = self.slowdowns.len() * permille / 1_000;
            self.slowdowns.get(position).copied().unwrap_or_default()
        };
        Figures {
            peak_over_mean: self.peaks.iter().sum::<f64>() / self.peaks.len().max(1) as f64,
            p50_slowdown: at(500),
            p99_slowdown: at(990),
            calls: self.slowdowns.len(),
        }
    }
}
