//! Two training steps with new weights in between, and the switch of all replicas to them.

use std::time::{Duration, Instant};

use standins::trainer::{self, TrainerReport, TrainerSettings};
use tokio::time::sleep;
use types::WeightVersion;

use super::{Check, Visit};
use crate::error::BenchError;
use crate::status;

const STEPS: u64 = 2;
const GROUPS_PER_STEP: u32 = 4;
const SAMPLES_PER_GROUP: u32 = 4;
const SAMPLE_TOKENS_MAX: u32 = 64;
const TRAIN_MS: u64 = 300;
const ABANDON_AFTER_MS: u64 = 15_000;
const SWITCH_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub(super) async fn run(visit: &mut Visit) -> Result<(), BenchError> {
    let started = Instant::now();
    let site = &visit.settings.site;
    let result = trainer::run(TrainerSettings {
        entries: visit.settings.entries.clone(),
        token: site.trainer_token.to_owned(),
        service: site.model.to_owned(),
        steps: STEPS,
        first_step: 1,
        groups: GROUPS_PER_STEP,
        samples: SAMPLES_PER_GROUP,
        max_tokens: SAMPLE_TOKENS_MAX,
        train_ms: TRAIN_MS,
        staleness_bound: site.staleness_bound,
        step_timeout_ms: ABANDON_AFTER_MS,
        ..TrainerSettings::default()
    })
    .await;
    let check = Check {
        action: format!("training, {STEPS} steps"),
        outcome: String::new(),
        latency: started.elapsed(),
        versions: String::new(),
        note: String::new(),
        holds: true,
    };
    match result {
        Ok(report) => check_training(visit, check, &report),
        Err(error) => {
            visit
                .report
                .add(check.with_result(error.to_string(), false));
            return Ok(());
        }
    }
    check_weights(visit).await
}

/// Checks that every sample arrived once and that the trainer found no faults.
fn check_training(visit: &mut Visit, check: Check, report: &TrainerReport) {
    let expected = STEPS * u64::from(GROUPS_PER_STEP * SAMPLES_PER_GROUP);
    let bound = visit.settings.site.staleness_bound;
    let holds = report.faults.is_empty() && report.samples == expected;
    let note = format!(
        "{expected} samples once each, staleness <= {bound}, own versions (seen: {}, faults: {})",
        report.samples,
        report.faults.len()
    );
    let check = Check {
        outcome: "whole".to_owned(),
        ..check
    };
    visit.report.add(check.with_result(note, holds));
    for fault in &report.faults {
        visit.report.add_figure("fault", format!("{fault:?}"));
    }
    let idle_percent = report.idle_ms * 100 / report.run_ms.max(1);
    let idle = format!(
        "{} ms of {} ms ({idle_percent} %)",
        report.idle_ms, report.run_ms
    );
    visit.report.add_figure("trainer idle time", idle);
    let counts = report.by_staleness.iter().enumerate();
    let counts = counts.map(|(staleness, count)| format!("{staleness}: {count}"));
    let counts: Vec<String> = counts.collect();
    visit
        .report
        .add_figure("samples by staleness", counts.join(", "));
    visit
        .report
        .add_figure("samples of several versions", report.mixed);
    visit.report.add_figure("retried requests", report.retries);
}

/// Waits until all replicas serve the last weight version. The trainer announces a new version
/// after each step, so the last one has the number of steps.
async fn check_weights(visit: &mut Visit) -> Result<(), BenchError> {
    let expected = WeightVersion {
        epoch: 0,
        version: STEPS,
    };
    let started = Instant::now();
    let admin = visit.settings.admins[0];
    let (switched, seen) = loop {
        let versions = status::entry_status(admin)
            .await?
            .replicas_by_version(visit.settings.site.model);
        let switched = versions.len() == 1 && versions.contains_key(&expected.to_string());
        if switched || started.elapsed() > SWITCH_TIMEOUT {
            break (switched, versions);
        }
        sleep(POLL_INTERVAL).await;
    };
    let seen: Vec<String> = seen
        .iter()
        .map(|(version, count)| format!("{version} on {count}"))
        .collect();
    let check = Check {
        action: "weights on all replicas".to_owned(),
        outcome: if switched { "swapped" } else { "behind" }.to_owned(),
        latency: started.elapsed(),
        versions: expected.to_string(),
        note: format!("all on the last version (seen: {})", seen.join(", ")),
        holds: switched,
    };
    visit.report.add(check);
    Ok(())
}
