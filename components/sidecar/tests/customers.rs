//! Endpoints that several customers name in their configuration.

#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use std::collections::BTreeSet;

use common::{
    CallResult, Caller, OFFICE_CONFIG, Platform, TEST_TIMEOUT, TestAgent, VERSION_2,
    engine_with_models, get, plain_endpoint, version_2_announcement,
};
use protocol::{GossipMessage, Open, Status};
use settings::EndpointKind;
use tokio::time::timeout;
use types::{Cause, RunState, WeightVersion};

const RIVAL_CONFIG: &str = r#"
schema = 1
customer = "rival"
[[service]]
name = "redacteurs"
kind = "model"
pool = "redacteurs"
[[service]]
name = "x"
kind = "plain"
pool = "guichet"
"#;

fn of_rival(open: Open) -> Open {
    Open {
        customer: "rival".parse().unwrap(),
        owner: "rival".parse().unwrap(),
        ..open
    }
}

fn hosts(status: &Status, customer: &str) -> bool {
    let mut hosted = status.hosted.iter();
    hosted.any(|hosted| hosted.customer.as_str() == customer)
}

fn version_of(status: &Status, customer: &str) -> Option<WeightVersion> {
    let mut hosted = status.hosted.iter();
    let hosted = hosted.find(|hosted| hosted.customer.as_str() == customer);
    hosted.and_then(|hosted| hosted.weights)
}

// Guards against a customer who reaches another customer's endpoint by naming that endpoint's pool
// in its own configuration. The call is refused as not run, the agent reports no such hosted
// service to entries, and the owner's calls are still answered.
#[tokio::test]
async fn errors_when_a_customer_names_a_pool_that_is_not_open_to_it() {
    let platform = Platform::start(&[]).await;
    platform.publish_for("rival", RIVAL_CONFIG).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    let caller = Caller::start().await;
    // The rival's configuration comes first in the log, so it was read when the Office's is hosted.
    let status = caller
        .wait_for_status(&agent, |status| hosts(status, "office"))
        .await;
    assert!(!hosts(&status, "rival"), "{status:?}");
    let open = of_rival(caller.open("x", "POST", "/sanctions", "{}"));
    let CallResult::Failed(failure) = caller.call(&agent, open).await else {
        panic!("a call of another customer was not refused");
    };
    assert_eq!(
        (failure.run, failure.cause),
        (RunState::NotRun, Cause::NotHosted)
    );
    assert_eq!(get(endpoint.address, "/standin/runs").await.1, "{}");
    let own = caller.open("guichet", "POST", "/sanctions", "{}");
    assert!(matches!(
        caller.call(&agent, own).await,
        CallResult::Complete(200, _)
    ));
}

// Guards against two customers' models of the same name that are mixed up at a shared engine: an
// announcement must switch its owner's model only, and each customer's calls must be answered by
// the customer's own model.
#[tokio::test]
async fn can_separate_two_models_of_the_same_name() {
    let platform = Platform::start(&[]).await;
    platform.publish_for("rival", RIVAL_CONFIG).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = engine_with_models(0, &["office.redacteurs", "rival.redacteurs"]).await;
    let both = ["office", "rival"];
    let kind = EndpointKind::Model;
    let agent = TestAgent::start_for(&platform, endpoint.address, kind, &both).await;
    let caller = Caller::start().await;
    let hosted = |status: &Status| both.iter().all(|customer| hosts(status, customer));
    caller.wait_for_status(&agent, hosted).await;
    caller.gossip(&agent, version_2_announcement()).await;
    let switched = |status: &Status| version_of(status, "office") == Some(VERSION_2);
    let status = caller.wait_for_status(&agent, switched).await;
    assert_eq!(version_of(&status, "rival"), Some(WeightVersion::default()));
    let open = caller.completion("mine", false);
    let answers = [(open.clone(), "0.2"), (of_rival(open), "0.0")];
    for (open, version) in answers {
        let open = Open {
            id: caller.links.next_id(),
            ..open
        };
        let CallResult::Complete(200, body) = caller.call(&agent, open).await else {
            panic!("the call has no complete answer");
        };
        let stamped = format!(r#""weight_versions":["{version}"]"#);
        assert!(body.contains(&stamped), "{body}");
    }
}

// Guards against services that entries never learn of: the names of forty customers need more
// space than one datagram has, and a probe must be answered with all services.
#[tokio::test]
async fn can_report_more_services_than_fit_into_a_datagram() {
    let platform = Platform::start(&[]).await;
    let names: Vec<String> = (0..40)
        .map(|number| format!("customer-of-the-collective-{number}"))
        .collect();
    for name in &names {
        let text = format!(
            "schema = 1\ncustomer = \"{name}\"\n[[service]]\nname = \"x\"\nkind = \"plain\"\npool = \"guichet\"\n"
        );
        platform.publish_for(name, &text).await;
    }
    let endpoint = plain_endpoint(0).await;
    let customers: Vec<&str> = names.iter().map(String::as_str).collect();
    let kind = EndpointKind::Plain;
    let agent = TestAgent::start_for(&platform, endpoint.address, kind, &customers).await;
    let caller = Caller::start().await;
    let mut reported = BTreeSet::new();
    let all = async {
        while reported.len() < names.len() {
            caller.gossip(&agent, GossipMessage::Probe).await;
            let (_, statuses) = caller.next_statuses(&agent).await;
            let hosted = statuses.into_iter().flat_map(|status| status.hosted);
            reported.extend(hosted.map(|hosted| hosted.customer));
        }
    };
    timeout(TEST_TIMEOUT, all)
        .await
        .expect("the statuses lack some services");
}
