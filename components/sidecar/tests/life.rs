//! The agent's own life: weights, crashes of the endpoint, an outage of the log, leaving.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use common::{
    Caller, Ended, OFFICE_CONFIG, Platform, TEST_TIMEOUT, TestAgent, VERSION_2, announce,
    announce_version_2, engine_endpoint, engine_with_store, get, loopback, plain_endpoint,
    read_to_end, wait_for_event,
};
use link::CallEvent;
use protocol::{GossipMessage, Open};
use settings::EndpointKind;
use sidecar::Tuning;
use standins::store::StoreSettings;
use standins::{Fault, FaultKind, store};
use tokio::time::timeout;
use types::{Cause, Failure, Incarnation, RunState, WeightTarget, WeightVersion};

// The trainer's version is on the engine in the end, and the agent reports it only after
// it has read it back. What happens: the first switch fails at the engine, then the
// engine crashes and comes back on its old version.
#[tokio::test]
async fn can_bring_the_engine_to_a_version_through_a_failed_swap_and_a_crash() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = engine_endpoint(0).await;
    endpoint.fault(Fault::new(FaultKind::SwapFails).times(1));
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Model).await;
    let caller = Caller::start().await;
    let first = caller.wait_until_hosted(&agent).await;
    assert_eq!(first.hosted[0].weights, Some(WeightVersion::default()));
    caller.gossip(&agent, announce_version_2()).await;
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

// The trainer names a version ahead of time: the engine holds it while it serves the old
// one. Then the trainer announces it and the engine switches. The store answers nobody from
// then on, so a load at the switch would fail.
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
    caller.gossip(&agent, announce(ahead)).await;
    let shows = r#""serving":"0.0","load":"0.2","loaded":true"#;
    while !get(agent.admin, "/status").await.1.contains(shows) {}
    store.fault(Fault::new(FaultKind::Outage));
    caller.gossip(&agent, announce_version_2()).await;
    let serves = |status: &protocol::Status| status.hosted[0].weights == Some(VERSION_2);
    caller.wait_for_status(&agent, serves).await;
}

// A non-idempotent call runs when the endpoint dies. The caller hears "unknown", the
// next status counts one more life, and it comes without being asked for.
#[tokio::test]
async fn can_tell_of_a_crash_at_once() {
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
    let Ended::Failed(failure) = read_to_end(&mut call).await else {
        panic!("a dead endpoint answered");
    };
    assert_eq!(
        (failure.run, failure.cause),
        (RunState::Unknown, Cause::EndpointLost)
    );
    loop {
        let status = caller.status_of(&agent).await;
        if status.endpoint_life == 1 {
            assert!(status.hosted.is_empty());
            break;
        }
    }
}

// The endpoint takes a sanction check and never says another word. The caller hears
// "unknown" at its deadline, new calls are refused as not run, and no crash is counted,
// since the process may well live: when it speaks again it is the same one.
#[tokio::test]
async fn can_tell_silence_from_a_crash() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let mut tuning = Tuning::default();
    tuning.limits.engine_deadline_ms = 100;
    let kind = EndpointKind::Plain;
    let agent = TestAgent::start_tuned(&platform, endpoint.address, kind, tuning).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    endpoint.fault(Fault::new(FaultKind::Silent));
    let open = Open {
        deadline_left_ms: 300,
        ..caller.open("guichet", "POST", "/sanctions", "{}")
    };
    let ended = caller.call(&agent, open).await;
    let late = Failure::new(RunState::Unknown, Cause::DeadlinePassed);
    assert_eq!(ended, Ended::Failed(late));
    caller
        .wait_for_status(&agent, |status| status.hosted.is_empty())
        .await;
    let refused = caller
        .call(&agent, caller.open("guichet", "GET", "/applicants/7", ""))
        .await;
    assert!(
        matches!(refused, Ended::Failed(failure) if failure.run == RunState::NotRun),
        "{refused:?}"
    );
    endpoint.clear_faults();
    assert_eq!(caller.wait_until_hosted(&agent).await.endpoint_life, 0);
}

// The log is down when a new VM's agent starts. It learns the accepted text from a peer
// of the VM list and takes calls.
#[tokio::test]
async fn can_start_from_a_peer_while_the_log_is_down() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let caller = Caller::start().await;
    let old = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    caller.wait_until_hosted(&old).await;
    platform.log.fault(Fault::new(FaultKind::Outage));
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
    assert!(matches!(ended, Ended::Whole(200, _)), "{ended:?}");
}

// The agent is told to leave in the middle of a call. That call gets its whole answer,
// later ones are refused as not run, entries are told without asking, and then the
// process ends.
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
    while !caller.status_of(&agent).await.leaving {}
    assert_eq!(get(agent.admin, "/readyz").await.0, 503);
    let late = caller.call(&agent, caller.completion("late", false)).await;
    let Ended::Failed(failure) = late else {
        panic!("a leaving agent took a call: {late:?}");
    };
    assert_eq!(
        (failure.run, failure.cause),
        (RunState::NotRun, Cause::Leaving)
    );
    let ended = read_to_end(&mut running).await;
    assert!(
        matches!(&ended, Ended::Whole(_, body) if body.trim_end().ends_with("data: [DONE]")),
        "{ended:?}"
    );
    drop(running);
    agent.wait_until_ended().await;
}

// A VM's clock runs behind, and its agent starts with a lower number than the life before
// it. An entry tells it of that life; from then on it speaks with a higher one, so that
// its answers are not taken for late ones of the old life.
#[tokio::test]
async fn can_rise_above_an_earlier_life() {
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

// The platform is about to take the VM away and some entry has read so in the VM list.
// Its rumour reaches the agent, which leaves though nobody has sent it a signal.
#[tokio::test]
async fn can_leave_on_a_rumour_of_its_own_leaving() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let mut agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    let caller = Caller::start().await;
    caller.gossip(&agent, GossipMessage::Probe).await;
    let (node, status) = caller.next_sender_and_status(&agent).await;
    assert!(!status.leaving);
    caller.gossip(&agent, GossipMessage::Leaving { node }).await;
    while !caller.status_of(&agent).await.leaving {}
    agent.wait_until_ended().await;
}

// A new agent starts beside a running entry. The entry hears of it without having asked and
// without a read of the VM list, which it reads seldom where there are many VMs.
#[tokio::test]
async fn can_tell_an_entry_of_itself_at_its_start() {
    let caller = Caller::start().await;
    let platform = Platform::start_with_entry(caller.address()).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    let status = timeout(TEST_TIMEOUT, caller.status_of(&agent)).await;
    assert!(!status.expect("no greeting").leaving);
}
