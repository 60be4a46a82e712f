//! Behaviour while another region is unreachable for minutes.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions only, not their helpers.

mod common;

use common::{entry, listed, node, service, status};
use membership::{ListedVm, Liveness, MemberSettings, Members};
use protocol::{ProcessRole, Status};
use types::Region;

const TICK_MS: u64 = 100;
const LIST_INTERVAL_MS: u64 = 2_000;
const DISCONNECT_MS: u64 = 60_000;
const RECONNECT_MS: u64 = 660_000;
const END_MS: u64 = 700_000;
/// Agents with this number or a higher one are in the other region.
const FIRST_FAR_AGENT: u16 = 100;

fn region_of(number: u16) -> Region {
    let name = if number < FIRST_FAR_AGENT {
        "bretagne"
    } else {
        "kochi"
    };
    Region::new(name).unwrap()
}

fn number_of(address: std::net::SocketAddr) -> u16 {
    (1..FIRST_FAR_AGENT * 2)
        .find(|&number| common::address(number) == address)
        .unwrap()
}

struct Regions {
    entry: Members,
    agents: Vec<u16>,
    probes: u64,
}

impl Regions {
    fn new(near: u16, far: u16) -> Self {
        Self {
            entry: entry(),
            agents: (1..=near)
                .chain(FIRST_FAR_AGENT..FIRST_FAR_AGENT + far)
                .collect(),
            probes: 0,
        }
    }

    fn tick(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(LIST_INTERVAL_MS) {
            let vms = self.agents.iter().map(|&number| ListedVm {
                region: region_of(number),
                ..listed(number, false)
            });
            let vms: Vec<ListedVm> = vms.collect();
            self.entry.on_list(&vms, now_ms);
        }
        let disconnected = (DISCONNECT_MS..RECONNECT_MS).contains(&now_ms);
        for address in self.entry.due_probes(now_ms) {
            self.probes += 1;
            let number = number_of(address);
            if number < FIRST_FAR_AGENT || !disconnected {
                let status = Status {
                    region: region_of(number),
                    ..status(number, false)
                };
                let from = node(number, 1);
                self.entry
                    .on_status(from, ProcessRole::Agent, &status, now_ms);
            }
        }
    }

    /// For each replica that accepts work, in the order of the view: whether it is in the entry's
    /// region, and its liveness.
    fn replica_liveness(&mut self, now_ms: u64) -> Vec<(bool, Liveness)> {
        let (customer, name) = service();
        let snapshot = self.entry.snapshot(now_ms);
        let replicas = snapshot.replicas(&customer, &name);
        let near = region_of(1);
        replicas
            .iter()
            .map(|replica| (replica.region == near, replica.liveness))
            .collect()
    }
}

// Guards against lost capacity in an entry's own region while the regions are disconnected for ten
// minutes: its replicas must stay live and come first, and the probe rate must not rise. After the
// reconnection, the other region's replicas must accept work within one detection time.
#[test]
fn can_serve_its_own_region_while_the_other_is_unreachable() {
    struct Case {
        name: &'static str,
        near: u16,
        far: u16,
        /// Liveness of the unreachable replicas; `None` if they are not in the view.
        lost_liveness: Option<Liveness>,
    }
    let cases = [
        Case {
            name: "most replicas are near",
            near: 16,
            far: 6,
            lost_liveness: None,
        },
        Case {
            name: "most replicas are far",
            near: 4,
            far: 18,
            lost_liveness: Some(Liveness::Suspect),
        },
    ];
    let settings = MemberSettings::default();
    for case in cases {
        let mut regions = Regions::new(case.near, case.far);
        let agents_count = regions.agents.len();
        let (near, detection_ms) = (usize::from(case.near), settings.detection_ms(agents_count));
        let mut probes_before = 0;
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            regions.tick(now_ms);
            let replica_liveness = regions.replica_liveness(now_ms);
            if now_ms + TICK_MS == DISCONNECT_MS {
                assert_eq!(replica_liveness.len(), agents_count, "{}", case.name);
                probes_before = regions.probes;
            }
            let detected_ms = DISCONNECT_MS + 2 * detection_ms;
            if (detected_ms..RECONNECT_MS).contains(&now_ms) {
                let (first, rest) = replica_liveness.split_at(near);
                let is_near_and_live =
                    |&(is_near, liveness): &(bool, Liveness)| is_near && liveness == Liveness::Live;
                assert!(
                    first.iter().all(is_near_and_live),
                    "{}: {replica_liveness:?}",
                    case.name
                );
                let lost_liveness: Vec<_> = rest.iter().map(|&(_, liveness)| liveness).collect();
                let expected = case
                    .lost_liveness
                    .map(|liveness| vec![liveness; agents_count - near]);
                assert_eq!(lost_liveness, expected.unwrap_or_default(), "{}", case.name);
            }
            if now_ms >= RECONNECT_MS + 2 * detection_ms {
                let recovered = replica_liveness
                    .iter()
                    .filter(|(_, s)| *s == Liveness::Live);
                assert_eq!(recovered.count(), agents_count, "{} at {now_ms}", case.name);
            }
        }
        let before_per_s = probes_before * 1_000 / DISCONNECT_MS;
        let overall_per_s = regions.probes * 1_000 / END_MS;
        println!(
            "{}: probes/s {before_per_s} before, {overall_per_s} overall",
            case.name
        );
        assert!(overall_per_s <= settings.probes_per_s + settings.sweeps_per_s);
        assert!(overall_per_s <= before_per_s + 2, "{}", case.name);
    }
}
