//! Training steps under faults. The stand-in trainer holds every sample against its
//! promises: each slot once, the versions that its text tells, none older than the bound.

use futures_util::future::join_all;
use proof::{ProofError, Site, SiteSettings, exchange, page, until};
use standins::trainer::{self, TrainerReport, TrainerSettings};
use standins::{Fault, FaultKind};
use std::time::Duration;
use types::WeightVersion;

const STEPS: u64 = 3;
const GROUPS: u32 = 3;
const SAMPLES: u32 = 3;
const FREEZE: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    KillEntry(usize),
    FreezeEntry(usize),
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
    trouble: Trouble,
    fencing: bool,
}

fn case(name: &'static str, trouble: Trouble) -> Case {
    let fencing = trouble != Trouble::LateOldOrder;
    Case {
        name,
        trouble,
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

async fn site(fencing: bool) -> Result<Site, ProofError> {
    Site::start(SiteSettings {
        services: 0,
        engines: 2,
        scored: true,
        fencing,
        ..SiteSettings::default()
    })
    .await
}

/// Waits until some engine runs a sample.
async fn in_mid_step(site: &Site) -> Result<(), ProofError> {
    until("a sample in progress", async || {
        for agent in &site.agents[..site.engines.len()] {
            let page = page(agent.admin).await.ok()?;
            if page["in_progress"].as_u64()? > 0 {
                return Some(());
            }
        }
        None
    })
    .await
}

/// Faults that are there from the start.
fn prepare(site: &Site, trouble: Trouble) {
    let on_engines = |fault: &Fault| {
        site.engines
            .iter()
            .for_each(|engine| engine.fault(fault.clone()))
    };
    match trouble {
        Trouble::SwapFails => on_engines(&Fault::new(FaultKind::SwapFails).times(2)),
        Trouble::SwapAnswerLost => {
            on_engines(
                &Fault::new(FaultKind::AnswerLost)
                    .on("/engine/switch")
                    .times(2),
            );
        }
        Trouble::CutAnswers => {
            let cut = Fault::new(FaultKind::Cut).on("/v1/completions").times(4);
            on_engines(&Fault { after: 3, ..cut });
        }
        Trouble::StoreBusy => site.store.fault(Fault::new(FaultKind::StoreRate).times(6)),
        Trouble::ScorerFails => site
            .scorer
            .fault(Fault::new(FaultKind::Outage).on("/score").times(8)),
        Trouble::ScorerLate => {
            let slow = Fault::new(FaultKind::Slow).on("/score").times(8);
            site.scorer.fault(slow.delayed(1_200));
        }
        _ => {}
    }
}

/// Faults in the middle of a step.
async fn strike(site: &mut Site, trouble: Trouble) -> Result<(), ProofError> {
    in_mid_step(site).await?;
    match trouble {
        Trouble::KillEntry(at) => site.entries[at].child.kill()?,
        Trouble::FreezeEntry(at) => {
            site.entries[at].child.freeze()?;
            tokio::time::sleep(FREEZE).await;
            site.entries[at].child.thaw()?;
        }
        Trouble::ReplaceBothEntries => {
            for at in 0..2 {
                site.entries[at].child.kill()?;
            }
            for at in 0..2 {
                site.replace(|site| &mut site.entries[at]).await?;
            }
        }
        Trouble::KillAgent => site.agents[0].child.kill()?,
        Trouble::CrashEngine => site.engines[0].crash(300),
        Trouble::CrashEngineTwice => {
            site.engines[0].crash(300);
            tokio::time::sleep(FREEZE / 3).await;
            site.engines[1].crash(300);
        }
        Trouble::LateOldOrder => order_old_version(site).await?,
        Trouble::LogOutage => site.log.fault(Fault::new(FaultKind::Outage)),
        Trouble::KillEntryInLogOutage => {
            site.log.fault(Fault::new(FaultKind::Outage));
            site.entries[0].child.kill()?;
        }
        _ => {}
    }
    Ok(())
}

/// An order of an agent that was paused since the first version, arriving now.
async fn order_old_version(site: &Site) -> Result<(), ProofError> {
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

async fn run(case: Case) -> Result<(), ProofError> {
    let mut site = site(case.fencing).await?;
    prepare(&site, case.trouble);
    let settings = trainer(&site, 1, WeightVersion::default());
    let training = tokio::spawn(trainer::run(settings));
    strike(&mut site, case.trouble).await?;
    let broken = |how: String| ProofError::Broken(case.name.to_owned(), how);
    let ended = training.await.map_err(|error| broken(error.to_string()))?;
    judge(ended.map_err(|error| broken(error.to_string()))?).map_err(broken)
}

fn judge(report: TrainerReport) -> Result<(), String> {
    let wanted = STEPS * u64::from(GROUPS * SAMPLES);
    let whole = report.steps == STEPS && report.samples == wanted && report.faults.is_empty();
    whole.then_some(()).ok_or_else(|| report.to_string())
}

// The trainer sees every step whole: each slot once, within the bound, with the versions
// that made it, whatever dies in the middle of a step. It carries the cursor; an entry that
// lost the step makes only what the cursor lacks.
#[tokio::test(flavor = "multi_thread")]
async fn can_deliver_whole_steps_under_every_fault() {
    let ended = join_all([
        run(case("no fault", Trouble::None)),
        run(case("first entry dies", Trouble::KillEntry(0))),
        run(case("second entry dies", Trouble::KillEntry(1))),
        run(case("first entry wakes late", Trouble::FreezeEntry(0))),
        run(case("second entry wakes late", Trouble::FreezeEntry(1))),
        run(case(
            "both entries are replaced",
            Trouble::ReplaceBothEntries,
        )),
        run(case("an agent dies", Trouble::KillAgent)),
        run(case("an engine crashes", Trouble::CrashEngine)),
        run(case(
            "both engines crash in turn",
            Trouble::CrashEngineTwice,
        )),
        run(case("streams are cut", Trouble::CutAnswers)),
        run(case("the log is out", Trouble::LogOutage)),
        run(case(
            "entry dies in a log outage",
            Trouble::KillEntryInLogOutage,
        )),
    ])
    .await;
    let failures: Vec<_> = ended.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

// The trainer sees true versions though a swap fails, its answer is lost, an old order
// comes late to an engine that does not check, or the store refuses; and scored samples
// though the scorer fails or is late. The agent reads the version back after each order.
#[tokio::test(flavor = "multi_thread")]
async fn can_name_the_versions_through_failing_swaps_and_scorers() {
    let ended = join_all([
        run(case("swaps fail", Trouble::SwapFails)),
        run(case("answers of swaps are lost", Trouble::SwapAnswerLost)),
        run(case("old order, no fencing", Trouble::LateOldOrder)),
        run(case("the store is busy", Trouble::StoreBusy)),
        run(case("the scorer fails", Trouble::ScorerFails)),
        run(case("the scorer is late", Trouble::ScorerLate)),
    ])
    .await;
    let failures: Vec<_> = ended.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

// The operator rolls the model back between two runs of the trainer, which goes on from the
// version that he gave: no sample of the time before the roll-back comes any more.
#[tokio::test(flavor = "multi_thread")]
async fn can_go_on_after_a_roll_back() {
    let site = site(true).await.unwrap();
    let before = trainer::run(trainer(&site, 1, WeightVersion::default())).await;
    judge(before.unwrap()).unwrap();
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
    let after = trainer::run(trainer(&site, STEPS + 1, version)).await;
    judge(after.unwrap()).unwrap();
}
