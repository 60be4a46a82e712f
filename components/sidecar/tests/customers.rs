//! Endpoints that several customers name in their texts.

#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use std::collections::BTreeSet;

use common::{
    Caller, Ended, OFFICE_CONFIG, Platform, TEST_TIMEOUT, TestAgent, VERSION_2, announce_version_2,
    engine_with_models, get, plain_endpoint,
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

// A customer writes the Office's pool into its own text and calls the service that it put
// there. It is refused as not run and the Office's register counts no run; the agent tells
// no entry that it hosts the service, and goes on with the Office's own calls.
#[tokio::test]
async fn errors_when_a_customer_names_a_pool_that_is_not_open_to_it() {
    let platform = Platform::start(&[]).await;
    platform.publish_for("rival", RIVAL_CONFIG).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = plain_endpoint(0).await;
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Plain).await;
    let caller = Caller::start().await;
    // The rival's text comes first in the log, so it is judged once the Office's is.
    let status = caller
        .wait_for_status(&agent, |status| hosts(status, "office"))
        .await;
    assert!(!hosts(&status, "rival"), "{status:?}");
    let open = of_rival(caller.open("x", "POST", "/sanctions", "{}"));
    let Ended::Failed(failure) = caller.call(&agent, open).await else {
        panic!("a call of another customer went through");
    };
    assert_eq!(
        (failure.run, failure.cause),
        (RunState::NotRun, Cause::NotHosted)
    );
    assert_eq!(get(endpoint.address, "/standin/runs").await.1, "{}");
    let own = caller.open("guichet", "POST", "/sanctions", "{}");
    assert!(matches!(
        caller.call(&agent, own).await,
        Ended::Whole(200, _)
    ));
}

// Two customers share an engine and both call their model `redacteurs`. The Office's
// trainer announces a version: only the Office's model switches, and each customer's
// callers are answered by their own model, whatever name they wrote.
#[tokio::test]
async fn can_keep_two_models_of_one_name_apart() {
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
    caller.gossip(&agent, announce_version_2()).await;
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
        let Ended::Whole(200, body) = caller.call(&agent, open).await else {
            panic!("no whole answer");
        };
        let stamped = format!(r#""weight_versions":["{version}"]"#);
        assert!(body.contains(&stamped), "{body}");
    }
}

// Forty customers share a pool with long names. Their services need more than one datagram;
// an entry that probes hears of all of them.
#[tokio::test]
async fn can_tell_of_more_services_than_a_datagram_takes() {
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
    let mut heard = BTreeSet::new();
    let all = async {
        while heard.len() < names.len() {
            caller.gossip(&agent, GossipMessage::Probe).await;
            let (_, statuses) = caller.next_statuses(&agent).await;
            let hosted = statuses.into_iter().flat_map(|status| status.hosted);
            heard.extend(hosted.map(|hosted| hosted.customer));
        }
    };
    timeout(TEST_TIMEOUT, all)
        .await
        .expect("some services are never told of");
}
