//! A pause of the process, as its heartbeat sees it.

use node::PauseDetector;

struct Case {
    name: &'static str,
    beats_ms: &'static [u64],
    asked_ms: u64,
    age_ms: u64,
}

// A process is frozen for a minute with calls in its socket buffers. Their time left was
// true when they were sent; what is read after the pause counts as a minute old, whether
// the heartbeat or the reader wakes first.
#[test]
fn can_tell_how_old_an_arrival_may_be() {
    let cases = [
        Case {
            name: "a steady pulse",
            beats_ms: &[100, 200, 300],
            asked_ms: 350,
            age_ms: 0,
        },
        Case {
            name: "a busy machine",
            beats_ms: &[100, 1_000],
            asked_ms: 1_900,
            age_ms: 0,
        },
        Case {
            name: "the reader wakes before the heartbeat",
            beats_ms: &[100],
            asked_ms: 60_100,
            age_ms: 60_000,
        },
        Case {
            name: "the heartbeat wakes before the reader",
            beats_ms: &[100, 60_100],
            asked_ms: 60_101,
            age_ms: 60_000,
        },
        Case {
            name: "the buffers are empty a second after the pause",
            beats_ms: &[100, 60_100, 60_200, 61_000],
            asked_ms: 61_100,
            age_ms: 0,
        },
    ];
    for case in cases {
        let pulse = PauseDetector::new(0);
        for &beat_ms in case.beats_ms {
            pulse.beat(beat_ms);
        }
        assert_eq!(
            pulse.arrival_age_ms(case.asked_ms),
            case.age_ms,
            "{}",
            case.name
        );
    }
}
