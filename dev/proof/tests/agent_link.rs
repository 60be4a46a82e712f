//! Calls to an agent process whose connection breaks before or during the call.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions, but not their helpers.

use bytes::Bytes;
use futures_util::future::join_all;
use link::{Call, CallEvent, LinkSettings, Links};
use proof::{BreakMode, Relay, Site, SiteSettings, wait_until};
use protocol::{Key, Keys, Open, ProcessRole};
use types::{Class, CustomerName, FailureDomain, Incarnation, NodeId, ServiceName};

const SERVICE_MS: u64 = 600;

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Break the connection while it is idle, before the call.
    Idle,
    /// Break the connection while the endpoint runs the call.
    Running,
    /// Break the connection while the endpoint runs the call, then also the next connection.
    RunningTwice,
}

struct Case {
    break_mode: BreakMode,
    phase: Phase,
    at_most_once: bool,
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for break_mode in [BreakMode::Cut, BreakMode::Silent] {
        for phase in [Phase::Idle, Phase::Running, Phase::RunningTwice] {
            cases.extend([true, false].map(|at_most_once| Case {
                break_mode,
                phase,
                at_most_once,
            }));
        }
    }
    cases
}

fn links(site: &Site) -> Links {
    let node = NodeId {
        address: site.entries[0].inner,
        incarnation: Incarnation(1),
    };
    let keys = Keys::one(Key::new([0x5a; 32]));
    let domain = FailureDomain::new("rennes-a").unwrap();
    Links::new(LinkSettings::new(node, ProcessRole::Entry, domain, keys))
}

fn open(links: &Links, tag: &str, at_most_once: bool) -> Open {
    let office = CustomerName::new("office").unwrap();
    let (method, path) = if at_most_once {
        ("POST", "sanctions")
    } else {
        ("GET", "applicants")
    };
    Open {
        id: links.next_id(),
        request_id: tag.to_owned(),
        customer: office.clone(),
        owner: office,
        service: ServiceName::new("guichet").unwrap(),
        class: Class::Interactive,
        idempotent: !at_most_once,
        deadline_left_ms: 10_000,
        method: method.to_owned(),
        path: format!("/{path}/{tag}"),
        headers: vec![("x-request-tag".to_owned(), tag.to_owned())],
        body: Bytes::new(),
    }
}

async fn read_answer(call: &mut Call) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match call.next().await {
            CallEvent::Chunk(bytes) => body.extend_from_slice(&bytes),
            CallEvent::End => return Some(body),
            CallEvent::Failed(_) => return None,
            _ => {}
        }
    }
}

async fn run(site: &Site, case: Case) {
    let Case {
        break_mode,
        phase,
        at_most_once,
    } = case;
    let name = format!("{break_mode:?}-{phase:?}-{at_most_once}");
    let relay = Relay::start(site.agents[0].inner).await.unwrap();
    let links = links(site);
    let first = open(&links, &format!("{name}-first"), at_most_once);
    assert!(
        read_answer(&mut links.call(relay.address, first))
            .await
            .is_some(),
        "{name}"
    );
    if matches!(phase, Phase::Idle) {
        relay.break_open(break_mode);
    }
    let mut call = links.call(relay.address, open(&links, &name, at_most_once));
    if !matches!(phase, Phase::Idle) {
        wait_until("a run of the call at the endpoint", async || {
            (site.run_count(&name).await.ok()? > 0).then_some(())
        })
        .await
        .unwrap();
        relay.break_open(break_mode);
    }
    if matches!(phase, Phase::RunningTwice) {
        // Long enough for the next connection to be established.
        tokio::time::sleep(std::time::Duration::from_millis(SERVICE_MS / 4)).await;
        relay.break_open(break_mode);
    }
    let body = read_answer(&mut call).await;
    let body = String::from_utf8(body.unwrap_or_default()).unwrap();
    assert!(body.contains(&name), "{name}: {body}");
    assert_eq!(site.run_count(&name).await.unwrap(), 1, "{name}");
}

// Guards against lost answers and second runs when the connection to the agent is closed or goes
// silent before the call, while the call runs, or twice. The call must be resumed by its id on the
// next connection.
#[tokio::test(flavor = "multi_thread")]
async fn can_answer_over_a_cut_or_silent_connection_to_an_agent() {
    let settings = SiteSettings {
        services: 1,
        service_ms: SERVICE_MS,
        ..SiteSettings::default()
    };
    let site = Site::start(settings).await.unwrap();
    join_all(cases().into_iter().map(|case| run(&site, case))).await;
}
