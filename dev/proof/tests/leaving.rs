//! Processes that leave: by a signal, by the platform's list, or replaced.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use std::time::Duration;

use adapters::VmState;
use futures_util::future::join_all;
use proof::{
    Answer, Ending, Pending, RequestKind, Site, SiteSettings, TestRequest, active_replicas,
    status_page, wait_until,
};

const SERVICE_MS: u64 = 700;
const CALLS: usize = 12;

async fn start_site() -> Site {
    let settings = SiteSettings {
        service_ms: SERVICE_MS,
        ..SiteSettings::default()
    };
    Site::start(settings).await.unwrap()
}

fn send(site: &Site, entry: usize, name: &str, number: usize) -> Pending {
    let kind = [
        RequestKind::Consultation,
        RequestKind::SanctionCheck,
        RequestKind::KeyedCheck,
    ][number % 3];
    site.send(
        entry,
        &TestRequest::new(kind, format!("{name}-{number}")),
        "",
    )
}

async fn answers(pending: Vec<Pending>) -> Vec<Answer> {
    let answers = join_all(pending.into_iter().map(Pending::answer)).await;
    answers.into_iter().map(Result::unwrap).collect()
}

/// Waits until the endpoints run all calls of this name.
async fn wait_until_running(site: &Site, name: &str) {
    wait_until("all calls running", async || {
        for number in 0..CALLS {
            if site.run_count(&format!("{name}-{number}")).await.ok()? == 0 {
                return None;
            }
        }
        Some(())
    })
    .await
    .unwrap();
}

fn expect_all_complete(answers: &[Answer]) {
    let broken: Vec<_> = answers
        .iter()
        .filter(|answer| answer.ending != Ending::Complete)
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

// Callers see whole answers: the entry is told to end while it serves them. It says "not
// ready" first, goes on taking work while the balancer has not seen that, finishes what is
// in progress, and only then ends.
#[tokio::test(flavor = "multi_thread")]
async fn can_end_an_entry_under_load_without_a_cut() {
    let mut site = start_site().await;
    let calls: Vec<_> = (0..CALLS)
        .map(|number| send(&site, 0, "load", number))
        .collect();
    wait_until_running(&site, "load").await;
    site.entries[0].child.terminate().unwrap();
    wait_until("an entry that is not ready", async || {
        status_page(site.entries[0].admin)
            .await
            .ok()
            .filter(|page| page["leaving"] == true)
    })
    .await
    .unwrap();
    let late = send(&site, 0, "late", 0);
    expect_all_complete(&answers(calls).await);
    expect_all_complete(&answers(vec![late]).await);
    let status = site.entries[0].child.wait_until_ended().await.unwrap();
    assert!(status.success(), "{status}");
    let after = send(&site, 1, "after", 0).answer().await.unwrap();
    assert_eq!(after.ending, Ending::Complete);
}

// Callers see whole answers: an agent is told to end while its endpoint runs calls. New
// ones go to the other endpoint; those in progress finish, and then it ends.
#[tokio::test(flavor = "multi_thread")]
async fn can_end_an_agent_under_load_without_a_cut() {
    let mut site = start_site().await;
    let calls: Vec<_> = (0..CALLS)
        .map(|number| send(&site, number % 2, "load", number))
        .collect();
    wait_until_running(&site, "load").await;
    site.agents[0].child.terminate().unwrap();
    let more: Vec<_> = (0..CALLS)
        .map(|number| send(&site, number % 2, "more", number))
        .collect();
    expect_all_complete(&answers(calls).await);
    expect_all_complete(&answers(more).await);
    let status = site.agents[0].child.wait_until_ended().await.unwrap();
    assert!(status.success(), "{status}");
}

// The platform lists a VM as leaving. Its agent still takes work for a long while, so it
// is the entries that drop the endpoint; of all calls made after the last entry knows, none
// runs there, and each has a whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_new_work_from_a_leaving_endpoint() {
    let settings = SiteSettings {
        settle_ms: 60_000,
        ..SiteSettings::default()
    };
    let mut site = Site::start(settings).await.unwrap();
    let leaving = &site.agents[0];
    site.set_vm_state(leaving, VmState::Leaving).await.unwrap();
    let address = leaving.inner.to_string();
    for entry in &site.entries {
        wait_until("an entry that knows", async || {
            let listed = active_replicas(&status_page(entry.admin).await.ok()?, "guichet");
            let has_address =
                |replica: &serde_json::Value| replica["agent"].to_string().contains(&address);
            (!listed.iter().any(has_address)).then_some(())
        })
        .await
        .unwrap();
    }
    let before = total_runs(&site, 0).await;
    let calls: Vec<_> = (0..CALLS)
        .map(|number| send(&site, number % 2, "after", number))
        .collect();
    expect_all_complete(&answers(calls).await);
    assert_eq!(
        total_runs(&site, 0).await,
        before,
        "new work for a leaving endpoint"
    );
    assert!(
        site.agents[0].child.is_running(),
        "an agent that still takes work"
    );
}

/// Calls that an endpoint ran.
async fn total_runs(site: &Site, service: usize) -> u64 {
    let request = adapters::Request::new("GET", "/standin/total");
    let body = proof::exchange(site.services[service].address, request)
        .await
        .unwrap();
    serde_json::from_slice(&body).unwrap()
}

// A VM dies and another takes its address at once. The entries know the new life by its
// incarnation, and both endpoints have work again; an answer meant for the old life never
// reaches a caller of the new one.
#[tokio::test(flavor = "multi_thread")]
async fn can_use_a_vm_that_was_replaced_at_the_same_address() {
    let mut site = start_site().await;
    let old: Vec<_> = (0..CALLS)
        .map(|number| send(&site, 0, "old", number * 3))
        .collect();
    wait_until_both_run(&site).await;
    site.agents[0].child.kill().unwrap();
    site.restart(|site| &mut site.agents[0]).await.unwrap();
    expect_all_complete(&answers(old).await);
    let before = total_runs(&site, 0).await;
    wait_until("work for the new life", async || {
        let calls = (0..CALLS).map(|number| send(&site, number % 2, "new", number * 3));
        expect_all_complete(&answers(calls.collect()).await);
        tokio::time::sleep(Duration::from_millis(50)).await;
        (total_runs(&site, 0).await > before).then_some(())
    })
    .await
    .unwrap();
}

/// Waits until both endpoints run some of the consultations.
async fn wait_until_both_run(site: &Site) {
    wait_until("calls at both endpoints", async || {
        let both = total_runs(site, 0).await > 0 && total_runs(site, 1).await > 0;
        both.then_some(())
    })
    .await
    .unwrap();
}
