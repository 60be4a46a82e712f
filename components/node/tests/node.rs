//! The configuration feed, the gossip and the admin address of one process, with stand-ins of
//! the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use adapters::{
    ClientSettings, Endpoint, EndpointSettings, LogClient, Request, Vm, VmList, VmRole, VmState,
};
use config::{KeepSettings, Publish, Record};
use futures_util::FutureExt;
use link::Links;
use node::admin::{self, AdminHooks};
use node::{ConfigFeed, FeedSettings, Gossip, GossipHooks, GossipSettings, Sockets};
use protocol::{ConfigDigest, CrashReport, Datagram, GossipMessage, ProcessRole};
use settings::{CommonSettings, SharedKey};
use standins::log::LogSettings;
use standins::vms::VmsSettings;
use standins::{Fault, FaultKind, Handle, log, vms};
use telemetry::LogLevel;
use tokio::time::timeout;

/// Far longer than any step of these tests; reached only by a test that fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const OFFICE_CONFIG: &str = "schema = 1\ncustomer = \"office\"\n";

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn common(log: SocketAddr, vm_list: SocketAddr) -> CommonSettings {
    CommonSettings {
        inner_listen: loopback(),
        admin_listen: loopback(),
        log,
        vm_list,
        failure_domain: "rennes-a".parse().expect("a name"),
        region: "bretagne".parse().expect("a name"),
        keys: vec![SharedKey([7; 32])],
        metrics: None,
        log_level: LogLevel::Error,
        settle_ms: 0,
        drain_ms: 1_000,
        log_retention_ms: 3_600_000,
    }
}

/// One process with its configuration feed and gossip.
struct Process {
    address: SocketAddr,
    feed: ConfigFeed,
    gossip: Gossip,
}

impl Process {
    async fn start(log: &Handle, vms: &Handle, keep: KeepSettings) -> Process {
        Process::start_with(log, vms, keep, GossipHooks::default()).await
    }

    async fn start_with(
        log: &Handle,
        vms: &Handle,
        keep: KeepSettings,
        hooks: GossipHooks,
    ) -> Process {
        let common = common(log.address, vms.address);
        let sockets = Sockets::bind(&common, ProcessRole::Entry)
            .await
            .expect("free ports");
        let own = sockets.identity.node().address;
        let client = LogClient::new(log.address, &ClientSettings::default());
        let settings = FeedSettings {
            keep,
            keep_delay_ms: 0,
            ..FeedSettings::default()
        };
        let feed = ConfigFeed::start(own, client, Links::new(sockets.links), settings);
        let gossip = Gossip::start(
            sockets.udp,
            sockets.identity,
            VmList::new(vms.address, &ClientSettings::default()),
            feed.clone(),
            GossipSettings::default(),
            hooks,
        );
        Process {
            address: own,
            feed,
            gossip,
        }
    }

    /// Sends the process a digest with its own version but another text.
    async fn send_diverging_digest(&self, peer: &Sockets) {
        let held = self.feed.digests()[0].clone();
        let other = ConfigDigest {
            digest: held.digest ^ 1,
            ..held
        };
        let datagram = Datagram {
            from: peer.identity.node(),
            role: ProcessRole::Entry,
            messages: vec![GossipMessage::Config(other)],
        };
        let sent = peer.udp.send(self.address, &datagram).await;
        sent.expect("a send");
    }

    async fn wait_for_version(&self, version: u64) {
        let version_accepted = async {
            let mut changes = self.feed.changes();
            while !self
                .feed
                .digests()
                .iter()
                .any(|digest| digest.version == version)
            {
                changes.changed().await.expect("the feed runs");
            }
        };
        timeout(TEST_TIMEOUT, version_accepted)
            .await
            .expect("the version was not accepted in time");
    }
}

async fn platform() -> (Handle, Handle, LogClient) {
    let log = log::start(LogSettings::new(loopback()))
        .await
        .expect("a log");
    let vms = vms::start(VmsSettings::new(loopback()))
        .await
        .expect("a list");
    let client = LogClient::new(log.address, &ClientSettings::default());
    (log, vms, client)
}

fn publish(base: Option<&config::AcceptedVersion>, id: &str) -> String {
    let customer = "office".parse().expect("a name");
    let record = Record::Publish(Publish::based_on(customer, base, id, OFFICE_CONFIG));
    record.to_json().expect("a record")
}

// During an outage of the log the accepted version must stay active, and a version published
// after the outage must replace it. A duplicate of an older record that arrives late must not
// restore the older version.
#[tokio::test]
async fn can_keep_a_version_through_an_outage_of_the_log() {
    let (log, vms, client) = platform().await;
    let process = Process::start(&log, &vms, KeepSettings::for_retention(3_600_000)).await;
    let first = publish(None, "first");
    client.append("config", &first).await.expect("an append");
    process.wait_for_version(1).await;
    log.inject_fault(Fault::new(FaultKind::Outage).times(2));
    let customer = "office".parse().expect("a name");
    let accepted = process.feed.accepted(&customer).expect("a version");
    let second = publish(Some(&accepted), "second");
    while client.append("config", &second).await.is_err() {
        assert_eq!(process.feed.digests()[0].version, 1);
    }
    process.wait_for_version(2).await;
    client.append("config", &first).await.expect("an append");
    let third = publish(process.feed.accepted(&customer).as_deref(), "third");
    client.append("config", &third).await.expect("an append");
    // The feed reads in order, so it has processed the duplicate once the third is accepted.
    process.wait_for_version(3).await;
}

// The log drops records after its retention time, and with them the active configuration. A
// process that tails the log must append the current version and the list of customers again
// before that.
#[tokio::test]
async fn can_append_a_version_again_before_its_record_expires() {
    let (log, vms, client) = platform().await;
    client
        .append("config", &publish(None, "first"))
        .await
        .expect("an append");
    let keep = KeepSettings {
        end_read_age_ms_max: 60_000,
        ..KeepSettings::for_retention(4_000)
    };
    let process = Process::start(&log, &vms, keep).await;
    process.wait_for_version(1).await;
    let appended_again = async {
        let mut from = 1;
        let mut seen = (false, false);
        while seen != (true, true) {
            let page = client
                .read("config", from, 10, 1_000)
                .await
                .expect("a read");
            from = page.next;
            for record in page.records {
                match Record::from_json(&record.data).expect("a record") {
                    Record::Keep(keep) => {
                        assert_eq!((keep.version, keep.text.as_str()), (1, OFFICE_CONFIG));
                        seen.0 = true;
                    }
                    Record::Customers(customers) => {
                        assert_eq!(customers.names.len(), 1);
                        seen.1 = true;
                    }
                    other => panic!("unexpected record: {other:?}"),
                }
            }
        }
    };
    timeout(TEST_TIMEOUT, appended_again)
        .await
        .expect("the records were not appended again in time");
}

struct Page {
    method: &'static str,
    path: &'static str,
    status: u16,
}

#[tokio::test]
async fn can_serve_the_admin_pages() {
    let pages = [
        ("GET", "/livez", 200),
        ("GET", "/readyz", 503),
        ("GET", "/status", 200),
        ("POST", "/livez", 405),
        ("GET", "/drain", 405),
        ("GET", "/", 404),
        ("POST", "/drain", 202),
    ];
    let pages = pages.map(|(method, path, status)| Page {
        method,
        path,
        status,
    });
    let (drain, mut drained) = tokio::sync::mpsc::unbounded_channel();
    let hooks = AdminHooks {
        ready: Arc::new(|| false),
        status: Arc::new(|| async { "{}".to_owned() }.boxed()),
        drain: Arc::new(move || drain.send(()).expect("a receiver")),
    };
    let listener = admin::listen(loopback()).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(admin::serve(listener, hooks));
    let endpoint = Endpoint::new(address, EndpointSettings::default());
    for page in pages {
        let response = endpoint
            .send(Request::new(page.method, page.path), 5_000)
            .await;
        let status = response.expect("an answer").head.status;
        assert_eq!(status, page.status, "{} {}", page.method, page.path);
    }
    assert_eq!(drained.recv().await, Some(()));
    assert!(
        drained.try_recv().is_err(),
        "a request other than POST /drain triggered a drain"
    );
}

// Two processes have different texts of one version, for example after a damaged record. The
// process must keep its text and report each such version once, also if the digest is repeated.
#[tokio::test]
async fn can_report_a_peer_with_another_text_of_the_same_version() {
    let (log, vms, client) = platform().await;
    let first = publish(None, "first");
    client.append("config", &first).await.expect("an append");
    let (diverged, mut reported) = tokio::sync::mpsc::unbounded_channel();
    let hooks = GossipHooks {
        on_divergence: Arc::new(move |digest| diverged.send(digest.version).expect("a receiver")),
        ..GossipHooks::default()
    };
    let process =
        Process::start_with(&log, &vms, KeepSettings::for_retention(3_600_000), hooks).await;
    let common = common(log.address, vms.address);
    let peer = Sockets::bind(&common, ProcessRole::Entry).await;
    let peer = peer.expect("free ports");
    process.wait_for_version(1).await;
    process.send_diverging_digest(&peer).await;
    process.send_diverging_digest(&peer).await;
    let customer = "office".parse().expect("a name");
    let first = process.feed.accepted(&customer).expect("a version");
    let record = publish(Some(&first), "second");
    client.append("config", &record).await.expect("an append");
    process.wait_for_version(2).await;
    process.send_diverging_digest(&peer).await;
    for version in [1, 2] {
        let report = timeout(TEST_TIMEOUT, reported.recv()).await;
        assert_eq!(
            report.expect("the process did not report the version in time"),
            Some(version)
        );
    }
}

// An entry that started after the VM list was read is known only by its probe. It must receive
// crash reports nevertheless: without them it would not know which call caused the crash, and
// would refuse for ten minutes a call that was merely in flight at the same endpoint.
#[tokio::test]
async fn can_report_a_crash_to_an_entry_missing_from_the_vm_list() {
    let (log, vms, _client) = platform().await;
    let process = Process::start(&log, &vms, KeepSettings::for_retention(3_600_000)).await;
    let common = common(log.address, vms.address);
    let new_entry = Sockets::bind(&common, ProcessRole::Entry).await;
    let new_entry = new_entry.expect("free ports");
    let probe = Datagram {
        from: new_entry.identity.node(),
        role: ProcessRole::Entry,
        messages: vec![GossipMessage::Probe],
    };
    new_entry
        .udp
        .send(process.address, &probe)
        .await
        .expect("a send");
    let answered = timeout(TEST_TIMEOUT, new_entry.udp.recv()).await;
    answered.expect("the probe was not answered in time");
    let crashed = GossipMessage::Crashed(CrashReport {
        entry: process.address,
        endpoint: loopback(),
        digests: vec![[7; 16]],
    });
    process.gossip.send_to_entries(crashed.clone());
    let crash_received =
        async { while !new_entry.udp.recv().await.1.messages.contains(&crashed) {} };
    timeout(TEST_TIMEOUT, crash_received)
        .await
        .expect("the crash report was not received in time");
}

// At the design size the VM list has 990 rows of about a hundred bytes each. Reading it every
// two seconds would exceed a node's whole bandwidth budget for control traffic.
#[test]
fn can_limit_the_bandwidth_of_reading_a_long_vm_list() {
    assert_eq!(node::vm_list_interval_ms(0), 2_000);
    assert_eq!(node::vm_list_interval_ms(30), 2_000);
    let vm = Vm {
        address: "10.200.100.100:17000".parse().expect("an address"),
        role: VmRole::Agent,
        failure_domain: "kakkanad".parse().expect("a name"),
        region: "bretagne".parse().expect("a name"),
        state: VmState::Live,
    };
    let row = serde_json::to_string(&vm).expect("a row");
    let list_bytes = 990 * (row.len() as u64 + 1);
    let bytes_per_s = list_bytes * 1_000 / node::vm_list_interval_ms(990);
    assert!(bytes_per_s <= 2_200, "{bytes_per_s}");
}
