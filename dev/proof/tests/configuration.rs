//! The configuration at real processes: races, lost answers, outages, late starts.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use std::time::Instant;

use control::{
    ControlError, PublishProgress, PublishSettings, Published, check_file, publish, read_history,
    status,
};
use proof::{
    Ending, ProofError, RequestKind, Site, SiteSettings, TestRequest, exchange, wait_until,
};
use standins::{Fault, FaultKind};

const APPENDS: &str = "/streams/config";

async fn start_site() -> Site {
    Site::start(SiteSettings::default()).await.unwrap()
}

/// Versions of the Office at all processes.
async fn versions(site: &Site) -> Vec<u64> {
    let mut versions = Vec::new();
    for admin in site.admin_addresses() {
        let status = status(admin).await.unwrap();
        let row = status.config.iter().find(|row| row.customer == "office");
        versions.push(row.map_or(0, |row| row.version));
    }
    versions
}

/// Publishes as an operator who read the log before the others had published.
async fn publish_on_base(site: &Site, operator: u64) -> Result<Published, ControlError> {
    let from = "requests_per_s = 500";
    let to = format!("requests_per_s = {}", 500 + operator);
    let path = site
        .changed_text(&format!("race-{operator}"), from, &to)
        .unwrap();
    let log = site.log_client();
    let mut history = read_history(&log).await?;
    let checked = check_file(&path, Some(&history.ledger))?;
    let settings = PublishSettings {
        base: Some(1),
        id: None,
    };
    publish(&log, &mut history, &checked, &settings, |_| {}).await
}

// Five operators publish on the same base at once. One is told "accepted"; the others lose
// the race and learn what the winner changed, and nothing of theirs is applied anywhere.
#[tokio::test(flavor = "multi_thread")]
async fn can_accept_one_of_several_racing_operators() {
    let site = start_site().await;
    let all = tokio::join!(
        publish_on_base(&site, 1),
        publish_on_base(&site, 2),
        publish_on_base(&site, 3),
        publish_on_base(&site, 4),
        publish_on_base(&site, 5)
    );
    let all = [all.0, all.1, all.2, all.3, all.4];
    let accepted: Vec<&Published> = all.iter().flatten().collect();
    assert_eq!(accepted.len(), 1, "{all:?}");
    let lost =
        |ended: &&Result<Published, ControlError>| matches!(ended, Err(ControlError::LostRace(..)));
    assert_eq!(all.iter().filter(lost).count(), 4, "{all:?}");
    site.wait_until_active(accepted[0]).await.unwrap();
    assert!(versions(&site).await.iter().all(|version| *version == 2));
}

// The operator's append takes effect and its answer is lost, twice. His tool appends again
// with the same id, and the log's readers count it once.
#[tokio::test(flavor = "multi_thread")]
async fn can_count_a_publish_once_whose_answer_was_lost() {
    let site = start_site().await;
    let log = site.log_client();
    let mut history = read_history(&log).await.unwrap();
    let path = site
        .changed_text("lost", "weight = 1", "weight = 2")
        .unwrap();
    let checked = check_file(&path, Some(&history.ledger)).unwrap();
    let settings = PublishSettings {
        base: None,
        id: None,
    };
    site.log
        .fault(Fault::new(FaultKind::AnswerLost).on(APPENDS).times(2));
    let mut appended_again = 0;
    let count =
        |step| appended_again += u32::from(matches!(step, PublishProgress::AppendRetried(_)));
    let published = publish(&log, &mut history, &checked, &settings, count)
        .await
        .unwrap();
    assert!(appended_again > 0);
    assert_eq!(published.version, 2);
    site.wait_until_active(&published).await.unwrap();
    assert!(versions(&site).await.iter().all(|version| *version == 2));
}

// The log is out, the text stays in force and calls are answered. An entry that starts in
// the outage has the text from its peers, becomes ready and answers; no process goes back
// when the log is there again.
#[tokio::test(flavor = "multi_thread")]
async fn can_start_from_peers_in_an_outage_and_never_go_back() {
    let mut site = start_site().await;
    let path = site
        .changed_text("second", "weight = 1", "weight = 2")
        .unwrap();
    let published = site.publish(&path).await.unwrap();
    site.wait_until_active(&published).await.unwrap();
    site.log.fault(Fault::new(FaultKind::Outage));
    site.add_entry().await.unwrap();
    site.wait_until_active(&published).await.unwrap();
    site.wait_until_replicas_known().await.unwrap();
    let test_request = TestRequest::new(RequestKind::Consultation, "in-the-outage");
    let answer = site.send(2, &test_request, "").answer().await.unwrap();
    assert_eq!(answer.ending, Ending::Complete, "{answer:?}");
    site.log.clear_faults();
    site.entries[0].child.kill().unwrap();
    site.restart(|site| &mut site.entries[0]).await.unwrap();
    site.wait_until_active(&published).await.unwrap();
    assert!(versions(&site).await.iter().all(|version| *version == 2));
}

// Every process dies and comes back in an outage of the log: nobody has the text, and no
// process claims to be ready. With the log back, the text is in force again at the same
// version.
#[tokio::test(flavor = "multi_thread")]
async fn can_come_back_at_the_same_version_after_all_died() {
    let mut site = start_site().await;
    let published = site
        .publish(
            &site
                .changed_text("second", "weight = 1", "weight = 2")
                .unwrap(),
        )
        .await
        .unwrap();
    site.wait_until_active(&published).await.unwrap();
    site.log.fault(Fault::new(FaultKind::Outage));
    for index in 0..2 {
        site.entries[index].child.kill().unwrap();
        site.agents[index].child.kill().unwrap();
    }
    for index in 0..2 {
        site.restart(|site| &mut site.entries[index]).await.unwrap();
        site.restart(|site| &mut site.agents[index]).await.unwrap();
    }
    for entry in &site.entries {
        let ready = exchange(entry.admin, adapters::Request::new("GET", "/readyz")).await;
        assert!(
            matches!(ready, Err(ProofError::Status(..))),
            "ready without a text"
        );
    }
    site.log.clear_faults();
    site.wait_until_active(&published).await.unwrap();
    assert!(versions(&site).await.iter().all(|version| *version == 2));
}

// A process is paused while the text is published twice. It wakes with the old one, takes
// the newest and never shows one that is older than what it showed.
#[tokio::test(flavor = "multi_thread")]
async fn can_catch_up_after_a_pause() {
    let site = start_site().await;
    site.entries[1].child.pause().unwrap();
    for (name, to) in [("second", "weight = 2"), ("third", "weight = 3")] {
        let path = site.changed_text(name, "weight = 1", to).unwrap();
        site.publish(&path).await.unwrap();
    }
    site.entries[1].child.resume().unwrap();
    let mut shown_version = 0;
    wait_until("the newest text", async || {
        let status = status(site.entries[1].admin).await.ok()?;
        let row = status.config.iter().find(|row| row.customer == "office")?;
        assert!(
            row.version >= shown_version,
            "went back from {shown} to {}",
            row.version
        );
        shown_version = row.version;
        (shown_version == 3).then_some(())
    })
    .await
    .unwrap();
}

// The time from the append until the last process shows it, ten times; printed, not judged.
#[tokio::test(flavor = "multi_thread")]
async fn can_put_a_text_in_force_everywhere() {
    let site = start_site().await;
    let mut times_ms = Vec::new();
    for round in 0..10 {
        let to = format!("requests_per_s = {}", 600 + round);
        let path = site
            .changed_text("next", "requests_per_s = 500", &to)
            .unwrap();
        let started = Instant::now();
        let published = site.publish(&path).await.unwrap();
        site.wait_until_active(&published).await.unwrap();
        times_ms.push(started.elapsed().as_millis());
    }
    println!("in force everywhere after {times_ms:?} ms");
}
