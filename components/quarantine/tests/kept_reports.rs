//! Reports of crashes that are written again before the log drops them.

use quarantine::{CallDigest, CrashReport, KeptReports};

const LOG_RETENTION_MS: u64 = 300_000;
const REPORT_RETENTION_MS: u64 = 600_000;
const NOTICED_UNIX_MS: u64 = 1_700_000_000_000;
const INTERVAL_MS: u64 = 10_000;
const PROCESSES: u64 = 8;

fn report() -> CrashReport {
    CrashReport {
        endpoint: "replica-1".to_owned(),
        reporter: "front-1/0".to_owned(),
        noticed_unix_ms: NOTICED_UNIX_MS,
        in_flight: vec![CallDigest([1; 16])],
    }
}

/// Guards against a report that is missing in the log while it counts, and against one that every
/// process writes again.
#[test]
fn keeps_a_report_in_the_log_until_it_expires() {
    let report = report();
    let mut processes: Vec<KeptReports> = (0..PROCESSES)
        .map(|_| KeptReports::new(LOG_RETENTION_MS, REPORT_RETENTION_MS))
        .collect();
    let mut written_ms = vec![0];
    for (number, kept) in processes.iter_mut().enumerate() {
        kept.record(&report, 0, 9_777 * number as u64);
    }
    for now_ms in (0..=2 * REPORT_RETENTION_MS).step_by(INTERVAL_MS as usize) {
        for number in 0..processes.len() {
            let random = 9_777 * (number as u64 + now_ms);
            let due = processes[number].take_due(now_ms, NOTICED_UNIX_MS + now_ms, random);
            for repeated in due {
                assert_eq!(repeated, report);
                written_ms.push(now_ms);
                for kept in &mut processes {
                    kept.record(&report, now_ms, random);
                }
            }
        }
    }
    let is_in_time = |pair: &[u64]| pair[1] - pair[0] < LOG_RETENTION_MS;
    assert!(written_ms.windows(2).all(is_in_time), "{written_ms:?}");
    let last_ms = written_ms.last().copied().unwrap_or_default();
    let is_kept = last_ms + LOG_RETENTION_MS > REPORT_RETENTION_MS;
    assert!(is_kept && last_ms <= REPORT_RETENTION_MS, "{written_ms:?}");
    let most = 1 + REPORT_RETENTION_MS / (LOG_RETENTION_MS / 2);
    assert!(written_ms.len() as u64 <= most, "{written_ms:?}");
}
