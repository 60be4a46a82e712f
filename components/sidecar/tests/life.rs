//! Lifecycle of an agent: weights, crashes of the endpoint, an outage of the log, and leaving.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use common::{
    CallResult, Caller, OFFICE_CONFIG, Platform, TEST_TIMEOUT, TestAgent, VERSION_2, announcement,
    engine_endpoint, engine_with_store, get, loopback, plain_endpoint, read_to_end,
    version_2_announcement, wait_for_event,
};
use link::CallEvent;
use protocol::{GossipMessage, Open};
use settings::EndpointKind;
use sidecar::Tuning;
use standins::store::StoreSettings;
use standins::{Fault, FaultKind, store};
use tokio::time::timeout;
use types::{Cause, Failure, Incarnation, RunState, WeightTarget, WeightVersion};

// Guards against an engine that stays on an old version after its first switch failed or after it
// crashed and restarted with the old version, and against an agent that reports a version before it
// has read it back from the engine.
#[tokio::test]
async fn can_bring_the_engine_to_a_version_through_a_failed_swap_and_a_crash() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = engine_endpoint(0).await;
    endpoint.inject_fault(Fault::new(FaultKind::SwapFails).times(1));
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Model).await;
    let caller = Caller::start().await;
    let first = caller.wait_until_hosted(&agent).await;
    assert_eq!(first.hosted[0].weights, Some(WeightVersion::default()));
    caller.gossip(&agent, version_2_announcement()).await;
    let serves = |status: &protocol::Status| {
        status
            .hosted
            .iter()
            .any(|hosted| hosted.weights == Some(VERSION_2))
    };
    let switched = caller.wait_for_status(&agent, serves).await;
    assert_eq!(switched.endpoint_life, 0);
    endpoint.crash(50);
    let back = |status: &protocol::Status| status.endpoint_life == 1 && serves(status);
    caller.wait_for_status(&agent, back).await;
    let (_, page) = get(agent.admin, "/status").await;
    assert!(page.contains(r#""wanted":"0.2","serving":"0.2""#), "{page}");
}

// Guards against a load at the time of the switch: a version announced ahead of time is loaded
// while the old one serves, so that the later switch succeeds although the store is down.
#[tokio::test]
async fn can_load_a_version_ahead_and_switch_without_the_store() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let store = store::start(StoreSettings::new(loopback())).await.unwrap();
    let endpoint = engine_with_store(store.address).await;
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Model).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    let ahead = WeightTarget {
        serve: WeightVersion::default(),
        load: VERSION_2,
    };
    caller.gossip(&agent, announcement(ahead)).await;
    let shows = r#""serving":"0.0","load":"0.2","loaded":true"#;
    while !get(agent.admin, "/status").await.1.contains(shows) {}
    store.inject_fault(Fault::new(FaultKind::Outage));
    caller.gossip(&agent, version_2_announcement()).await;
    let serves = |status: &protocol::Status| status.hosted[0].weights == Some(VERSION_2);
    caller.wait_for_status(&agent, serves).await;
}

// Guards against a crash that entries learn of only with the next probe: the status with the
// higher count of crashes is sent unasked, and the call that ran is "unknown".
#[tokio::test]
async fn can_report_a_crash_without_a_probe() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(60_000).await;
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    let open = caller.open("guichet", "POST", "/sanctions", "{}");
    let mut call = caller.links.call(agent.address, open);
    wait_for_event(&mut call, |event| *event == CallEvent::Started).await;
    while get(endpoint.address, "/standin/runs").await.1 == "{}" {}
    endpoint.crash(600_000);
    let CallResult::Failed(failure) = read_to_end(&mut call).await else {
        panic!("a crashed endpoint answered");
    };
    assert_eq!(
        (failure.run, failure.cause),
        (RunState::Unknown, Cause::EndpointLost)
    );
    loop {
        let status = caller.next_status(&agent).await;
        if status.endpoint_life == 1 {
            assert!(status.hosted.is_empty());
            break;
        }
    }
}

// Guards against an unresponsive endpoint that is counted as crashed although its process still
// runs. The call in flight is "unknown" at its deadline, and later calls are refused as not run
// until the endpoint answers again.
#[tokio::test]
async fn can_distinguish_silence_from_a_crash() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let mut tuning = Tuning::default();
    tuning.limits.engine_deadline_ms = 100;
    let kind = EndpointKind::Plain;
    let agent = TestAgent::start_tuned(&platform, endpoint.address, kind, tuning).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    endpoint.inject_fault(Fault::new(FaultKind::Silent));
    let open = Open {
        deadline_left_ms: 300,
        ..caller.open("guichet", "POST", "/sanctions", "{}")
    };
    let ended = caller.call(&agent, open).await;
    let late = Failure::new(RunState::Unknown, Cause::DeadlinePassed);
    assert_eq!(ended, CallResult::Failed(late));
    caller
        .wait_for_status(&agent, |status| status.hosted.is_empty())
        .await;
    let refused = caller
        .call(&agent, caller.open("guichet", "GET", "/applicants/7", ""))
        .await;
    assert!(
        matches!(refused, CallResult::Failed(failure) if failure.run == RunState::NotRun),
        "{refused:?}"
    );
    endpoint.clear_faults();
    assert_eq!(caller.wait_until_hosted(&agent).await.endpoint_life, 0);
}

// Guards against an agent that can't start during an outage of the log: the agent fetches the
// accepted configuration from a peer of the VM list.
#[tokio::test]
async fn can_start_from_a_peer_while_the_log_is_down() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let caller = Caller::start().await;
    let old = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    caller.wait_until_hosted(&old).await;
    platform.log.inject_fault(Fault::new(FaultKind::Outage));
    let listed = Platform::start(&[old.address]).await;
    let outage = Platform {
        log: platform.log,
        vms: listed.vms,
    };
    let new = TestAgent::start(&outage, endpoint.address, EndpointKind::Plain).await;
    caller.wait_until_hosted(&new).await;
    let ended = caller
        .call(&new, caller.open("guichet", "GET", "/applicants/7", ""))
        .await;
    assert!(matches!(ended, CallResult::Complete(200, _)), "{ended:?}");
}

// Guards against a call that is cut off when its agent leaves. The running call gets its complete
// answer, later ones are refused as not run, entries are notified unasked, and the process ends.
#[tokio::test]
async fn can_leave_without_cutting_off_a_call() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = engine_endpoint(1_000).await;
    let mut agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Model).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    assert_eq!(get(agent.admin, "/readyz").await.0, 200);
    let mut running = caller
        .links
        .call(agent.address, caller.completion("long", true));
    wait_for_event(&mut running, |event| matches!(event, CallEvent::Chunk(_))).await;
    agent.start_leaving();
    while !caller.next_status(&agent).await.leaving {}
    assert_eq!(get(agent.admin, "/readyz").await.0, 503);
    let late = caller.call(&agent, caller.completion("late", false)).await;
    let CallResult::Failed(failure) = late else {
        panic!("a leaving agent accepted a call: {late:?}");
    };
    assert_eq!(
        (failure.run, failure.cause),
        (RunState::NotRun, Cause::Leaving)
    );
    let ended = read_to_end(&mut running).await;
    assert!(
        matches!(&ended, CallResult::Complete(_, body) if body.trim_end().ends_with("data: [DONE]")),
        "{ended:?}"
    );
    drop(running);
    agent.wait_until_ended().await;
}

// Guards against answers that entries discard as late ones of an earlier run: after a VM's clock
// went back, the agent starts with a lower incarnation than before. Once an entry tells it the
// earlier incarnation, the agent uses a higher one.
#[tokio::test]
async fn can_raise_its_incarnation_above_an_earlier_one() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    let earlier = Incarnation(u64::MAX - 7);
    caller
        .gossip(&agent, GossipMessage::Incarnation(earlier))
        .await;
    caller.gossip(&agent, GossipMessage::Probe).await;
    while caller.next_sender_and_status(&agent).await.0.incarnation <= earlier {
        caller.gossip(&agent, GossipMessage::Probe).await;
    }
}

// Guards against an agent that keeps running on a VM which the platform is about to remove: an
// entry has read this in the VM list and gossips it, and the agent gets no signal.
#[tokio::test]
async fn can_leave_when_gossip_says_that_it_is_leaving() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let mut agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    let caller = Caller::start().await;
    caller.gossip(&agent, GossipMessage::Probe).await;
    let (node, status) = caller.next_sender_and_status(&agent).await;
    assert!(!status.leaving);
    caller.gossip(&agent, GossipMessage::Leaving { node }).await;
    while !caller.next_status(&agent).await.leaving {}
    agent.wait_until_ended().await;
}

// Guards against a new agent that gets no calls until the entry reads the VM list again, which is
// seldom at sites with many VMs: the agent announces itself at its start.
#[tokio::test]
async fn can_announce_itself_to_an_entry_at_its_start() {
    let caller = Caller::start().await;
    let platform = Platform::start_with_entry(caller.address()).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    let status = timeout(TEST_TIMEOUT, caller.next_status(&agent)).await;
    assert!(!status.expect("no status at the start of the agent").leaving);
}
