//! Processes that leave on a signal or by the platform's VM list, or whose VM is replaced.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions, but not their helpers.

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

/// Waits until the endpoints run all calls whose tags start with `name`.
async fn wait_until_running(site: &Site, name: &str) {
    wait_until("all calls running at endpoints", async || {
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

// Guards against interrupted answers when an entry gets a signal to end under load. The entry must
// first report that it is not ready, still accept requests until the load balancer notices, finish
// the requests in progress, and then end.
#[tokio::test(flavor = "multi_thread")]
async fn can_end_an_entry_under_load_without_interrupting_answers() {
    let mut site = start_site().await;
    let calls: Vec<_> = (0..CALLS)
        .map(|number| send(&site, 0, "load", number))
        .collect();
    wait_until_running(&site, "load").await;
    site.entries[0].child.terminate().unwrap();
    wait_until("an entry that is leaving", async || {
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

// Guards against interrupted answers when an agent gets a signal to end while its endpoint runs
// calls. New calls must go to the other endpoint; the agent ends after the calls in progress.
#[tokio::test(flavor = "multi_thread")]
async fn can_end_an_agent_under_load_without_interrupting_answers() {
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

// Guards against new calls to an endpoint whose VM the platform lists as leaving. Its agent still
// accepts work for 60 s, so the entries must exclude the endpoint. Once each entry has done so,
// no call may run there.
#[tokio::test(flavor = "multi_thread")]
async fn can_exclude_a_leaving_endpoint_from_new_work() {
    let settings = SiteSettings {
        settle_ms: 60_000,
        ..SiteSettings::default()
    };
    let mut site = Site::start(settings).await.unwrap();
    let leaving = &site.agents[0];
    site.set_vm_state(leaving, VmState::Leaving).await.unwrap();
    let address = leaving.inner.to_string();
    for entry in &site.entries {
        wait_until("an entry that excludes the leaving endpoint", async || {
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
        "a leaving endpoint got new work"
    );
    assert!(
        site.agents[0].child.is_running(),
        "the agent ended before its time to accept work was over"
    );
}

/// Number of calls that a plain service has run.
async fn total_runs(site: &Site, service: usize) -> u64 {
    let request = adapters::Request::new("GET", "/standin/total");
    let body = proof::exchange(site.services[service].address, request)
        .await
        .unwrap();
    serde_json::from_slice(&body).unwrap()
}

// Guards against confusion of a VM with its replacement at the same address: the entries must
// recognize the new process by its incarnation and send work to both endpoints again. An answer of
// the old process must not reach a call to the new one.
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
    wait_until("work at the endpoint of the new process", async || {
        let calls = (0..CALLS).map(|number| send(&site, number % 2, "new", number * 3));
        expect_all_complete(&answers(calls.collect()).await);
        tokio::time::sleep(Duration::from_millis(50)).await;
        (total_runs(&site, 0).await > before).then_some(())
    })
    .await
    .unwrap();
}

/// Waits until both endpoints have run at least one call.
async fn wait_until_both_run(site: &Site) {
    wait_until("calls at both endpoints", async || {
        let both = total_runs(site, 0).await > 0 && total_runs(site, 1).await > 0;
        both.then_some(())
    })
    .await
    .unwrap();
}
