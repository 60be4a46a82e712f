//! Training steps under faults. The stand-in trainer checks each sample: one per slot, the weight
//! versions that its text shows, and no version older than the staleness bound.

use futures_util::future::join_all;
use proof::{ProofError, Site, SiteSettings, exchange, status_page, wait_until};
use standins::trainer::{self, TrainerReport, TrainerSettings};
use standins::{Fault, FaultKind};
use std::time::Duration;
use types::WeightVersion;

const STEPS: u64 = 3;
const GROUPS: u32 = 3;
const SAMPLES: u32 = 3;
const PAUSE_DURATION: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Disruption {
    None,
    KillEntry(usize),
    PauseEntry(usize),
    ReplaceBothEntries,
    KillAgent,
    CrashEngine,
    CrashEngineTwice,
    SwapFails,
    SwapAnswerLost,
    LateOldOrder,
    StoreBusy,
    ScorerFails,
    ScorerLate,
    LogOutage,
    KillEntryInLogOutage,
    CutAnswers,
}

struct Case {
    name: &'static str,
    disruption: Disruption,
    fencing: bool,
}

fn case(name: &'static str, disruption: Disruption) -> Case {
    let fencing = disruption != Disruption::LateOldOrder;
    Case {
        name,
        disruption,
        fencing,
    }
}

fn trainer(site: &Site, first_step: u64, version: WeightVersion) -> TrainerSettings {
    TrainerSettings {
        entries: site.entries.iter().map(|entry| entry.address).collect(),
        token: "office-trainer-example".to_owned(),
        service: "redacteurs".to_owned(),
        steps: STEPS,
        first_step,
        groups: GROUPS,
        samples: SAMPLES,
        staleness_bound: 1,
        version,
        ..TrainerSettings::default()
    }
}

async fn start_site(fencing: bool) -> Result<Site, ProofError> {
    Site::start(SiteSettings {
        services: 0,
        engines: 2,
        has_scorer: true,
        fencing,
        ..SiteSettings::default()
    })
    .await
}

/// Waits until an engine generates a sample.
async fn wait_until_sample_in_progress(site: &Site) -> Result<(), ProofError> {
    wait_until("a sample in progress", async || {
        for agent in &site.agents[..site.engines.len()] {
            let page = status_page(agent.admin).await.ok()?;
            if page["in_progress"].as_u64()? > 0 {
                return Some(());
            }
        }
        None
    })
    .await
}

/// Injects the faults that exist from the start of the training.
fn inject_initial_faults(site: &Site, disruption: Disruption) {
    let on_engines = |fault: &Fault| {
        site.engines
            .iter()
            .for_each(|engine| engine.inject_fault(fault.clone()))
    };
    match disruption {
        Disruption::SwapFails => on_engines(&Fault::new(FaultKind::SwapFails).times(2)),
        Disruption::SwapAnswerLost => {
            on_engines(
                &Fault::new(FaultKind::AnswerLost)
                    .on("/engine/switch")
                    .times(2),
            );
        }
        Disruption::CutAnswers => {
            let cut = Fault::new(FaultKind::Cut).on("/v1/completions").times(4);
            on_engines(&Fault { after: 3, ..cut });
        }
        Disruption::StoreBusy => site
            .store
            .inject_fault(Fault::new(FaultKind::StoreRate).times(6)),
        Disruption::ScorerFails => site
            .scorer
            .inject_fault(Fault::new(FaultKind::Outage).on("/score").times(8)),
        Disruption::ScorerLate => {
            let slow = Fault::new(FaultKind::Slow).on("/score").times(8);
            site.scorer.inject_fault(slow.delayed(1_200));
        }
        _ => {}
    }
}

/// Injects the faults that occur while a step is in progress.
async fn inject_faults(site: &mut Site, disruption: Disruption) -> Result<(), ProofError> {
    wait_until_sample_in_progress(site).await?;
    match disruption {
        Disruption::KillEntry(index) => site.entries[index].child.kill()?,
        Disruption::PauseEntry(index) => {
            site.entries[index].child.pause()?;
            tokio::time::sleep(PAUSE_DURATION).await;
            site.entries[index].child.resume()?;
        }
        Disruption::ReplaceBothEntries => {
            for index in 0..2 {
                site.entries[index].child.kill()?;
            }
            for index in 0..2 {
                site.restart(|site| &mut site.entries[index]).await?;
            }
        }
        Disruption::KillAgent => site.agents[0].child.kill()?,
        Disruption::CrashEngine => site.engines[0].crash(300),
        Disruption::CrashEngineTwice => {
            site.engines[0].crash(300);
            tokio::time::sleep(PAUSE_DURATION / 3).await;
            site.engines[1].crash(300);
        }
        Disruption::LateOldOrder => send_outdated_order(site).await?,
        Disruption::LogOutage => site.log.inject_fault(Fault::new(FaultKind::Outage)),
        Disruption::KillEntryInLogOutage => {
            site.log.inject_fault(Fault::new(FaultKind::Outage));
            site.entries[0].child.kill()?;
        }
        _ => {}
    }
    Ok(())
}

/// Sends the engines an order of version 0.0, as an agent does that was paused since that version.
async fn send_outdated_order(site: &Site) -> Result<(), ProofError> {
    let order = serde_json::json!({"model": "redacteurs", "version": "0.0", "fence": 0});
    for engine in &site.engines {
        for path in ["/engine/load", "/engine/switch"] {
            let request = adapters::Request {
                body: order.to_string().into(),
                ..adapters::Request::new("POST", path)
            };
            exchange(engine.address, request).await?;
        }
    }
    Ok(())
}

async fn run_case(case: Case) -> Result<(), ProofError> {
    let mut site = start_site(case.fencing).await?;
    inject_initial_faults(&site, case.disruption);
    let settings = trainer(&site, 1, WeightVersion::default());
    let training = tokio::spawn(trainer::run(settings));
    inject_faults(&mut site, case.disruption).await?;
    let violation = |reason: String| ProofError::Violation(case.name.to_owned(), reason);
    let outcome = training
        .await
        .map_err(|error| violation(error.to_string()))?;
    check_report(outcome.map_err(|error| violation(error.to_string()))?).map_err(violation)
}

fn check_report(report: TrainerReport) -> Result<(), String> {
    let expected_samples = STEPS * u64::from(GROUPS * SAMPLES);
    let is_complete =
        report.steps == STEPS && report.samples == expected_samples && report.faults.is_empty();
    is_complete.then_some(()).ok_or_else(|| report.to_string())
}

// Guards against missing or repeated samples, wrong versions and stale samples when a process fails
// during a step. The trainer carries the cursor, so an entry that lost the step generates only the
// samples that the cursor lacks.
#[tokio::test(flavor = "multi_thread")]
async fn can_deliver_complete_steps_under_every_fault() {
    let outcome = join_all([
        run_case(case("no fault", Disruption::None)),
        run_case(case("first entry is killed", Disruption::KillEntry(0))),
        run_case(case("second entry is killed", Disruption::KillEntry(1))),
        run_case(case("first entry is paused", Disruption::PauseEntry(0))),
        run_case(case("second entry is paused", Disruption::PauseEntry(1))),
        run_case(case(
            "both entries are replaced",
            Disruption::ReplaceBothEntries,
        )),
        run_case(case("an agent is killed", Disruption::KillAgent)),
        run_case(case("an engine crashes", Disruption::CrashEngine)),
        run_case(case(
            "both engines crash in turn",
            Disruption::CrashEngineTwice,
        )),
        run_case(case("streams are cut", Disruption::CutAnswers)),
        run_case(case("the log is unavailable", Disruption::LogOutage)),
        run_case(case(
            "entry is killed in a log outage",
            Disruption::KillEntryInLogOutage,
        )),
    ])
    .await;
    let failures: Vec<_> = outcome.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

// Guards against samples with wrong versions when a swap fails, its answer is lost, an outdated
// order reaches an engine without fencing, or the store refuses; and against missing scores when
// the scorer fails or is slow. The agent reads the version back after each order.
#[tokio::test(flavor = "multi_thread")]
async fn can_report_the_true_versions_when_swaps_and_scorers_fail() {
    let outcome = join_all([
        run_case(case("swaps fail", Disruption::SwapFails)),
        run_case(case(
            "answers of swaps are lost",
            Disruption::SwapAnswerLost,
        )),
        run_case(case(
            "outdated order without fencing",
            Disruption::LateOldOrder,
        )),
        run_case(case("the store is busy", Disruption::StoreBusy)),
        run_case(case("the scorer fails", Disruption::ScorerFails)),
        run_case(case("the scorer is slow", Disruption::ScorerLate)),
    ])
    .await;
    let failures: Vec<_> = outcome.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

// Guards against samples from before a rollback: the operator rolls the model back between two runs
// of the trainer, which continues from the version that the rollback returned.
#[tokio::test(flavor = "multi_thread")]
async fn can_continue_after_a_rollback() {
    let site = start_site(true).await.unwrap();
    let first_report = trainer::run(trainer(&site, 1, WeightVersion::default())).await;
    check_report(first_report.unwrap()).unwrap();
    let request = control::Rollback {
        entry: site.entries[1].address,
        token: "office-operator-example",
        service: &types::ServiceName::new("redacteurs").unwrap(),
        version: "1.1".parse().unwrap(),
    };
    let answer = control::roll_back(&request).await.unwrap();
    let answer: serde_json::Value = serde_json::from_str(&answer).unwrap();
    let version: WeightVersion = answer["version"].as_str().unwrap().parse().unwrap();
    assert_eq!((version.epoch, version.version), (1, 1));
    let second_report = trainer::run(trainer(&site, STEPS + 1, version)).await;
    check_report(second_report.unwrap()).unwrap();
}
