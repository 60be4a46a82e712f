//! Detection of a pause of the process by the gaps between its heartbeats.

use node::PauseDetector;

struct Case {
    name: &'static str,
    heartbeats_ms: &'static [u64],
    arrival_ms: u64,
    expected_age_ms: u64,
}

// A process is suspended for a minute with calls in its socket buffers, whose remaining time was
// computed before the pause. Data read after the pause must count as a minute old, whether the
// heartbeat or the reader resumes first; otherwise calls would run after their deadline.
#[test]
fn can_detect_the_age_of_data_read_after_a_pause() {
    let cases = [
        Case {
            name: "regular heartbeats",
            heartbeats_ms: &[100, 200, 300],
            arrival_ms: 350,
            expected_age_ms: 0,
        },
        Case {
            name: "late heartbeats on a busy VM",
            heartbeats_ms: &[100, 1_000],
            arrival_ms: 1_900,
            expected_age_ms: 0,
        },
        Case {
            name: "the reader resumes before the heartbeat",
            heartbeats_ms: &[100],
            arrival_ms: 60_100,
            expected_age_ms: 60_000,
        },
        Case {
            name: "the heartbeat resumes before the reader",
            heartbeats_ms: &[100, 60_100],
            arrival_ms: 60_101,
            expected_age_ms: 60_000,
        },
        Case {
            name: "a second after the pause",
            heartbeats_ms: &[100, 60_100, 60_200, 61_000],
            arrival_ms: 61_100,
            expected_age_ms: 0,
        },
    ];
    for case in cases {
        let detector = PauseDetector::new(0);
        for &heartbeat_ms in case.heartbeats_ms {
            detector.record_heartbeat(heartbeat_ms);
        }
        assert_eq!(
            detector.arrival_age_ms(case.arrival_ms),
            case.expected_age_ms,
            "{}",
            case.name
        );
    }
}
