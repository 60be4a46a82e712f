//! One scored lot: a step of a single sample, posted and fetched by hand at two entries.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use standins::trainer::{Fetched, Sample};

use super::{Line, Visit};
use crate::ask;
use crate::error::BenchError;
use crate::reply::{Ending, Reply};

const DEADLINE: Duration = Duration::from_secs(5);
const WAIT_MS: u64 = 500;
const GIVE_UP: Duration = Duration::from_secs(10);
/// Version of the trainer, after the two steps before.
const VERSION: &str = "0.2";
const STEP: u64 = 3;

#[derive(Serialize)]
struct Group {
    prompt: String,
    samples: u32,
}

#[derive(Serialize)]
struct Step {
    step: u64,
    groups: [Group; 1],
    max_tokens: u32,
    trainer_version: &'static str,
}

#[derive(Deserialize)]
struct Posted {
    cursor: String,
}

#[derive(Serialize)]
struct Fetch<'a> {
    cursor: &'a str,
    trainer_version: &'static str,
    max: u32,
    wait_ms: u64,
}

pub(super) async fn run(visit: &mut Visit) -> Result<(), BenchError> {
    let began = Instant::now();
    let posted = post(visit).await;
    let Ok(posted) = serde_json::from_slice::<Posted>(&posted.body) else {
        let line = Line::of("scored lot: post", &posted);
        visit.report.add(line.must("accepted with a cursor", false));
        return Ok(());
    };
    loop {
        // Fetched at the entry that it was not posted to.
        let reply = fetch(visit, &posted.cursor).await;
        let fetched = serde_json::from_slice::<Fetched>(&reply.body).ok();
        let sample = fetched.and_then(|fetched| fetched.samples.into_iter().next());
        if let Some(sample) = sample {
            told(visit, &sample, began);
            return Ok(());
        }
        if began.elapsed() > GIVE_UP {
            let line = Line::of("scored lot: fetch", &reply);
            visit.report.add(line.must("one sample", false));
            return Ok(());
        }
    }
}

async fn post(visit: &Visit) -> Reply {
    let site = &visit.settings.site;
    let message = Step {
        step: STEP,
        groups: [Group {
            prompt: format!("{} {}", site.prompt, visit.name(0)),
            samples: 1,
        }],
        max_tokens: 32,
        trainer_version: VERSION,
    };
    let path = format!("/v1/training/{}/steps", site.model);
    let ask = ask::json(path, site.trainer_token, &message, DEADLINE);
    visit.caller(0).ask(ask).await
}

async fn fetch(visit: &Visit, cursor: &str) -> Reply {
    let site = &visit.settings.site;
    let message = Fetch {
        cursor,
        trainer_version: VERSION,
        max: 1,
        wait_ms: WAIT_MS,
    };
    let path = format!("/v1/training/{}/steps/{STEP}/fetch", site.model);
    let ask = ask::json(path, site.trainer_token, &message, DEADLINE);
    visit.caller(1).ask(ask).await
}

fn told(visit: &mut Visit, sample: &Sample, began: Instant) {
    let score = sample.score.map_or("none".to_owned(), |s| s.to_string());
    let told: Vec<String> = standins::engine::versions_in(&sample.text)
        .iter()
        .map(ToString::to_string)
        .collect();
    let holds = sample.score.is_some() && told == sample.versions;
    visit.report.add(Line {
        what: "scored sample, other entry".to_owned(),
        outcome: Ending::Whole.as_str().to_owned(),
        latency: began.elapsed(),
        versions: sample.versions.join(" "),
        note: format!(
            "scored (seen: {score}), versions as its text tells, staleness {}",
            sample.staleness
        ),
        holds,
    });
}
