//! The drain of a process.

use std::net::SocketAddr;

use leaving::{Drain, DrainAction, DrainSettings, Phase, Probers, ProbersSettings};
use types::{Cause, RunState};

const SETTINGS: DrainSettings = DrainSettings {
    settle_ms: 1_000,
    finish_ms_max: 5_000,
    retry_after_ms: 500,
};

fn prober(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// Guards against cut connections while an entry drains. A signal arrives during a call; readiness
/// is false at once, and a call that the balancer still sends is accepted. Later calls are refused
/// as "not run" with a time to retry, and the process exits after both calls have ended.
#[test]
fn can_drain_an_entry_behind_its_load_balancer() {
    let drain = Drain::new(SETTINGS);
    let early = drain.admit(0).unwrap();
    assert!(drain.is_ready());
    assert!(drain.start(100));
    assert!(!drain.start(200));
    assert!(!drain.is_ready());
    assert_eq!(drain.phase(1_099), Phase::Settling);
    let late = drain.admit(1_099).unwrap();
    assert_eq!(
        drain.next_action(1_099),
        DrainAction::WaitUntil { at_ms: 1_100 }
    );
    let refusal = drain.admit(1_100).unwrap_err();
    assert_eq!(
        (refusal.run, refusal.cause),
        (RunState::NotRun, Cause::Leaving)
    );
    assert_eq!(refusal.retry_after_ms, Some(500));
    drop(early);
    assert_eq!(
        drain.next_action(2_000),
        DrainAction::WaitUntil { at_ms: 6_100 }
    );
    drop(late);
    assert_eq!(drain.next_action(2_001), DrainAction::Exit { cut_off: 0 });
}

/// Guards against a process that never exits and so blocks the replacement of its VM. One call
/// never ends; the process waits for `finish_ms_max` and reports how many calls it cut off.
#[test]
fn can_exit_when_a_call_never_ends() {
    let drain = Drain::new(SETTINGS);
    let _stuck = drain.admit(0).unwrap();
    drain.start(0);
    assert_eq!(
        drain.next_action(5_999),
        DrainAction::WaitUntil { at_ms: 6_000 }
    );
    assert_eq!(drain.next_action(6_000), DrainAction::Exit { cut_off: 1 });
}

/// Guards against a cut connection instead of "not run". A thread reads the time, is suspended, and
/// admits its call after the process has found no work in progress; the old time must not admit the
/// call.
#[test]
fn errors_when_work_is_admitted_with_an_old_time_after_the_close() {
    let drain = Drain::new(SETTINGS);
    drain.start(0);
    assert_eq!(drain.next_action(1_000), DrainAction::Exit { cut_off: 0 });
    assert!(drain.admit(10).is_err());
    let agent = Drain::new(DrainSettings::AGENT);
    agent.start(70);
    assert!(agent.admit(70).is_err(), "an agent refuses at once");
}

#[test]
fn can_notify_recent_probers_several_times() {
    let mut probers = Probers::new(ProbersSettings::default());
    probers.record_probe(prober(1), 0);
    probers.record_probe(prober(2), 400_000);
    assert_eq!(probers.next_notice_ms(), None);
    probers.start_notices(400_000);
    assert_eq!(probers.due_recipients(400_000), [prober(2)]);
    assert!(probers.due_recipients(400_100).is_empty());
    assert_eq!(probers.due_recipients(400_200), [prober(2)]);
    assert_eq!(probers.due_recipients(400_400), [prober(2)]);
    assert_eq!(probers.next_notice_ms(), None);
}

checks::seeded! {
    fn never_exits_before_admitted_work_ends(steps: Vec<(u8, u16)>) -> bool {
        let drain = Drain::new(SETTINGS);
        let mut working = Vec::new();
        let mut now_ms = 0;
        for (kind, wait_ms) in steps {
            now_ms += u64::from(wait_ms % 500);
            match kind % 4 {
                0 => working.extend(drain.admit(now_ms).ok()),
                1 => drop(working.pop()),
                2 => drop(drain.start(now_ms)),
                _ => {}
            }
            if let DrainAction::Exit { cut_off } = drain.next_action(now_ms) {
                return cut_off == working.len();
            }
        }
        true
    }
}
