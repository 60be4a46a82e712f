//! A training step with a single scored sample, posted at one entry and fetched at another.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use standins::trainer::{Fetched, Sample};

use super::{Check, Visit};
use crate::error::BenchError;
use crate::reply::{Ending, Reply};
use crate::requests;

const DEADLINE: Duration = Duration::from_secs(5);
/// Time for which the entry holds a fetch open until the sample is ready.
const FETCH_WAIT_MS: u64 = 500;
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Weight version of the trainer, which has announced one for each of the two earlier steps.
const TRAINER_VERSION: &str = "0.2";
const STEP: u64 = 3;

#[derive(Serialize)]
struct GroupBody {
    prompt: String,
    samples: u32,
}

#[derive(Serialize)]
struct StepBody {
    step: u64,
    groups: [GroupBody; 1],
    max_tokens: u32,
    trainer_version: &'static str,
}

#[derive(Deserialize)]
struct PostAnswer {
    cursor: String,
}

#[derive(Serialize)]
struct FetchBody<'a> {
    cursor: &'a str,
    trainer_version: &'static str,
    max: u32,
    wait_ms: u64,
}

pub(super) async fn run(visit: &mut Visit) -> Result<(), BenchError> {
    let started = Instant::now();
    let posted = post(visit).await;
    let Ok(posted) = serde_json::from_slice::<PostAnswer>(&posted.body) else {
        let check = Check::from_reply("scored sample: post", &posted);
        visit
            .report
            .add(check.with_result("accepted with a cursor", false));
        return Ok(());
    };
    loop {
        // Fetched at another entry than the one that accepted the step.
        let reply = fetch(visit, &posted.cursor).await;
        let fetched = serde_json::from_slice::<Fetched>(&reply.body).ok();
        let sample = fetched.and_then(|fetched| fetched.samples.into_iter().next());
        if let Some(sample) = sample {
            check_sample(visit, &sample, started);
            return Ok(());
        }
        if started.elapsed() > SAMPLE_TIMEOUT {
            let check = Check::from_reply("scored sample: fetch", &reply);
            visit.report.add(check.with_result("one sample", false));
            return Ok(());
        }
    }
}

async fn post(visit: &Visit) -> Reply {
    let site = &visit.settings.site;
    let message = StepBody {
        step: STEP,
        groups: [GroupBody {
            prompt: format!("{} {}", site.prompt, visit.name(0)),
            samples: 1,
        }],
        max_tokens: 32,
        trainer_version: TRAINER_VERSION,
    };
    let path = format!("/v1/training/{}/steps", site.model);
    let request = requests::json_request(path, site.trainer_token, &message, DEADLINE);
    visit.caller(0).send(request).await
}

async fn fetch(visit: &Visit, cursor: &str) -> Reply {
    let site = &visit.settings.site;
    let message = FetchBody {
        cursor,
        trainer_version: TRAINER_VERSION,
        max: 1,
        wait_ms: FETCH_WAIT_MS,
    };
    let path = format!("/v1/training/{}/steps/{STEP}/fetch", site.model);
    let request = requests::json_request(path, site.trainer_token, &message, DEADLINE);
    visit.caller(1).send(request).await
}

/// Checks that the sample has a score and that its versions match those in its text: the stand-in
/// engine writes the version that generated each part into the text.
fn check_sample(visit: &mut Visit, sample: &Sample, started: Instant) {
    let score = sample.score.map_or("none".to_owned(), |s| s.to_string());
    let text_versions: Vec<String> = standins::engine::versions_in(&sample.text)
        .iter()
        .map(ToString::to_string)
        .collect();
    let holds = sample.score.is_some() && text_versions == sample.versions;
    visit.report.add(Check {
        action: "scored sample, other entry".to_owned(),
        outcome: Ending::Whole.as_str().to_owned(),
        latency: started.elapsed(),
        versions: sample.versions.join(" "),
        note: format!(
            "scored (seen: {score}), versions match its text, staleness {}",
            sample.staleness
        ),
        holds,
    });
}
