//! Configuration changes with real processes: races, lost answers, log outages, late starts.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions, but not their helpers.

use std::time::Instant;

use control::{
    ControlError, PublishProgress, PublishSettings, Published, check_file, publish, read_history,
    status,
};
use proof::{
    Ending, ProofError, RequestKind, Site, SiteSettings, TestRequest, exchange, wait_until,
};
use standins::{Fault, FaultKind};

const CONFIG_STREAM: &str = "/streams/config";

async fn start_site() -> Site {
    Site::start(SiteSettings::default()).await.unwrap()
}

/// Active configuration version of the customer `office` in each process; 0 if there is none.
async fn versions(site: &Site) -> Vec<u64> {
    let mut versions = Vec::new();
    for admin in site.admin_addresses() {
        let status = status(admin).await.unwrap();
        let row = status.config.iter().find(|row| row.customer == "office");
        versions.push(row.map_or(0, |row| row.version));
    }
    versions
}

/// Publishes a change of version 1, as an operator who read the log before any other published.
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

// Guards against lost updates when five operators publish changes of the same base version at
// once: one is accepted, the others get an error about the race and no process applies theirs.
#[tokio::test(flavor = "multi_thread")]
async fn can_accept_one_of_several_concurrent_publishers() {
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

// Guards against a change that is applied twice: the append succeeds, its answer is lost twice,
// and the tool appends again with the same id. Readers of the log must count the change once.
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
        .inject_fault(Fault::new(FaultKind::AnswerLost).on(CONFIG_STREAM).times(2));
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

// Guards against a dependency on the log: in an outage the configuration stays active, and an entry
// that starts gets it from its peers, becomes ready and answers. No process may go back to an older
// version when the log is available again.
#[tokio::test(flavor = "multi_thread")]
async fn can_start_from_peers_in_a_log_outage_and_never_revert_the_version() {
    let mut site = start_site().await;
    let path = site
        .changed_text("second", "weight = 1", "weight = 2")
        .unwrap();
    let published = site.publish(&path).await.unwrap();
    site.wait_until_active(&published).await.unwrap();
    site.log.inject_fault(Fault::new(FaultKind::Outage));
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

// Guards against readiness without a configuration: all processes restart in an outage of the log,
// so none has a configuration or may be ready. After the outage the same version must be active.
#[tokio::test(flavor = "multi_thread")]
async fn can_restore_the_same_version_after_all_processes_restarted() {
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
    site.log.inject_fault(Fault::new(FaultKind::Outage));
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
            "ready without a configuration"
        );
    }
    site.log.clear_faults();
    site.wait_until_active(&published).await.unwrap();
    assert!(versions(&site).await.iter().all(|version| *version == 2));
}

// Guards against a paused process that stays behind: two versions are published during its pause.
// After the pause it must reach the newest version, and its version must never decrease.
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
    wait_until("the newest configuration", async || {
        let status = status(site.entries[1].admin).await.ok()?;
        let row = status.config.iter().find(|row| row.customer == "office")?;
        assert!(
            row.version >= shown_version,
            "version went back from {shown_version} to {}",
            row.version
        );
        shown_version = row.version;
        (shown_version == 3).then_some(())
    })
    .await
    .unwrap();
}

// Measures, ten times, how long a configuration takes from its append until it is active in every
// process. The times are only printed.
#[tokio::test(flavor = "multi_thread")]
async fn can_activate_a_configuration_in_every_process() {
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
    println!("active in every process after {times_ms:?} ms");
}
