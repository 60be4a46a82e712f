//! Two training steps with new weights between them.

use std::time::{Duration, Instant};

use standins::trainer::{self, TrainerReport, TrainerSettings};
use tokio::time::sleep;
use types::WeightVersion;

use super::{Line, Visit};
use crate::error::BenchError;
use crate::status;

const STEPS: u64 = 2;
const GROUPS: u32 = 4;
const SAMPLES: u32 = 4;
const MAX_TOKENS: u32 = 64;
const TRAIN_MS: u64 = 300;
const GIVE_UP_MS: u64 = 15_000;
const SWAP_WAIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

pub(super) async fn run(visit: &mut Visit) -> Result<(), BenchError> {
    let began = Instant::now();
    let site = &visit.settings.site;
    let trained = trainer::run(TrainerSettings {
        entries: visit.settings.entries.clone(),
        token: site.trainer_token.to_owned(),
        service: site.model.to_owned(),
        steps: STEPS,
        first_step: 1,
        groups: GROUPS,
        samples: SAMPLES,
        max_tokens: MAX_TOKENS,
        train_ms: TRAIN_MS,
        staleness_bound: site.staleness_bound,
        step_timeout_ms: GIVE_UP_MS,
        ..TrainerSettings::default()
    })
    .await;
    let line = Line {
        what: format!("training, {STEPS} steps"),
        outcome: String::new(),
        latency: began.elapsed(),
        versions: String::new(),
        note: String::new(),
        holds: true,
    };
    match trained {
        Ok(report) => trained_well(visit, line, &report),
        Err(error) => {
            visit.report.add(line.must(error.to_string(), false));
            return Ok(());
        }
    }
    swapped(visit).await
}

fn trained_well(visit: &mut Visit, line: Line, report: &TrainerReport) {
    let wanted = STEPS * u64::from(GROUPS * SAMPLES);
    let bound = visit.settings.site.staleness_bound;
    let holds = report.faults.is_empty() && report.samples == wanted;
    let note = format!(
        "{wanted} samples once each, staleness <= {bound}, own versions (seen: {}, faults: {})",
        report.samples,
        report.faults.len()
    );
    let line = Line {
        outcome: "whole".to_owned(),
        ..line
    };
    visit.report.add(line.must(note, holds));
    for fault in &report.faults {
        visit.report.figure("fault", format!("{fault:?}"));
    }
    let idle_percent = report.idle_ms * 100 / report.run_ms.max(1);
    let idle = format!(
        "{} ms of {} ms ({idle_percent} %)",
        report.idle_ms, report.run_ms
    );
    visit.report.figure("trainer idle time", idle);
    let counts = report.by_staleness.iter().enumerate();
    let counts = counts.map(|(staleness, count)| format!("{staleness}: {count}"));
    let counts: Vec<String> = counts.collect();
    visit
        .report
        .figure("samples by staleness", counts.join(", "));
    visit
        .report
        .figure("samples of several versions", report.mixed);
    visit.report.figure("exchanges tried again", report.retries);
}

/// The trainer has announced a version after each step; every replica comes to the last.
async fn swapped(visit: &mut Visit) -> Result<(), BenchError> {
    let wanted = WeightVersion {
        epoch: 0,
        version: STEPS,
    };
    let began = Instant::now();
    let admin = visit.settings.admins[0];
    let (done, seen) = loop {
        let versions = status::entry(admin)
            .await?
            .versions(visit.settings.site.model);
        let done = versions.len() == 1 && versions.contains_key(&wanted.to_string());
        if done || began.elapsed() > SWAP_WAIT {
            break (done, versions);
        }
        sleep(POLL).await;
    };
    let seen: Vec<String> = seen
        .iter()
        .map(|(version, count)| format!("{version} on {count}"))
        .collect();
    let line = Line {
        what: "weights on all replicas".to_owned(),
        outcome: if done { "swapped" } else { "behind" }.to_owned(),
        latency: began.elapsed(),
        versions: wanted.to_string(),
        note: format!("all on the last version (seen: {})", seen.join(", ")),
        holds: done,
    };
    visit.report.add(line);
    Ok(())
}
