//! A region that is out of reach for minutes.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use common::{entry, listed, node, service, status};
use membership::{ListedVm, Liveness, MemberSettings, Members};
use protocol::{ProcessRole, Status};
use types::Region;

const TICK_MS: u64 = 100;
const LIST_EVERY_MS: u64 = 2_000;
const CUT_MS: u64 = 60_000;
const BACK_MS: u64 = 660_000;
const END_MS: u64 = 700_000;
/// Agents with a number from here on stand in the other region.
const FAR: u16 = 100;

fn region_of(number: u16) -> Region {
    let name = if number < FAR { "bretagne" } else { "kochi" };
    Region::new(name).unwrap()
}

fn number_of(address: std::net::SocketAddr) -> u16 {
    (1..FAR * 2)
        .find(|&number| common::address(number) == address)
        .unwrap()
}

struct Site {
    entry: Members,
    agents: Vec<u16>,
    probes: u64,
}

impl Site {
    fn new(near: u16, far: u16) -> Self {
        Self {
            entry: entry(),
            agents: (1..=near).chain(FAR..FAR + far).collect(),
            probes: 0,
        }
    }

    fn tick(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(LIST_EVERY_MS) {
            let vms = self.agents.iter().map(|&number| ListedVm {
                region: region_of(number),
                ..listed(number, false)
            });
            let vms: Vec<ListedVm> = vms.collect();
            self.entry.on_list(&vms, now_ms);
        }
        let cut = (CUT_MS..BACK_MS).contains(&now_ms);
        for address in self.entry.due_probes(now_ms) {
            self.probes += 1;
            let number = number_of(address);
            if number < FAR || !cut {
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

    /// Standing of the replicas that take work, of this region and of the other one, in the
    /// order of the view.
    fn standings(&mut self, now_ms: u64) -> Vec<(bool, Liveness)> {
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

// The regions lose each other for ten minutes. Callers of an entry are answered by its own
// region all the time: its replicas stay live and stand first, those of the other region
// are down, or suspects where they are so many that the entry doubts itself. The entry
// probes no more than before and keeps what it knows; when the other region is back its
// replicas take work again within one detection time.
#[test]
fn can_serve_its_own_region_while_the_other_is_out_of_reach() {
    struct Case {
        name: &'static str,
        near: u16,
        far: u16,
        /// Standing of the lost ones; `None` where they are not in the view.
        lost: Option<Liveness>,
    }
    let cases = [
        Case {
            name: "most replicas are near",
            near: 16,
            far: 6,
            lost: None,
        },
        Case {
            name: "most replicas are far",
            near: 4,
            far: 18,
            lost: Some(Liveness::Suspect),
        },
    ];
    let settings = MemberSettings::default();
    for case in cases {
        let mut site = Site::new(case.near, case.far);
        let all = site.agents.len();
        let (near, detection_ms) = (usize::from(case.near), settings.detection_ms(all));
        let mut probes_quiet = 0;
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            site.tick(now_ms);
            let standings = site.standings(now_ms);
            if now_ms + TICK_MS == CUT_MS {
                assert_eq!(standings.len(), all, "{}", case.name);
                probes_quiet = site.probes;
            }
            let settled_ms = CUT_MS + 2 * detection_ms;
            if (settled_ms..BACK_MS).contains(&now_ms) {
                let (first, rest) = standings.split_at(near);
                let lives =
                    |&(is_near, standing): &(bool, Liveness)| is_near && standing == Liveness::Live;
                assert!(first.iter().all(lives), "{}: {standings:?}", case.name);
                let lost: Vec<_> = rest.iter().map(|&(_, standing)| standing).collect();
                let wanted = case.lost.map(|standing| vec![standing; all - near]);
                assert_eq!(lost, wanted.unwrap_or_default(), "{}", case.name);
            }
            if now_ms >= BACK_MS + 2 * detection_ms {
                let back = standings.iter().filter(|(_, s)| *s == Liveness::Live);
                assert_eq!(back.count(), all, "{} at {now_ms}", case.name);
            }
        }
        let quiet_per_s = probes_quiet * 1_000 / CUT_MS;
        let all_per_s = site.probes * 1_000 / END_MS;
        println!(
            "{}: probes/s {quiet_per_s} before, {all_per_s} over all",
            case.name
        );
        assert!(all_per_s <= settings.probes_per_s + settings.sweeps_per_s);
        assert!(all_per_s <= quiet_per_s + 2, "{}", case.name);
    }
}
