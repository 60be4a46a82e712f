//! Publishing under the faults of the log and the races of operators, against the
//! stand-in of the log.

#![allow(clippy::unwrap_used, clippy::panic)]

use adapters::{ClientSettings, LogClient};
use control::{
    CheckedConfig, ControlError, ExitCode, History, PublishSettings, check_source, publish,
    read_history,
};
use standins::log::{self, LogSettings};
use standins::{Fault, FaultKind, Handle};

struct Desk {
    log: LogClient,
    standin: Handle,
}

async fn desk() -> Desk {
    let standin = log::start(LogSettings::new(([127, 0, 0, 1], 0).into()))
        .await
        .unwrap();
    let settings = ClientSettings {
        deadline_ms: 500,
        ..ClientSettings::default()
    };
    Desk {
        log: LogClient::new(standin.address, &settings),
        standin,
    }
}

fn text(limit: u32) -> CheckedConfig {
    let source = format!(
        "schema = 1\ncustomer = \"office\"\n\n[limits]\nrequests_per_s = {limit}\n\n\
         [[service]]\nname = \"guichet\"\nkind = \"plain\"\npool = \"guichet\"\n"
    );
    check_source(source, "office.toml", None).unwrap()
}

const BY_ITSELF: PublishSettings = PublishSettings {
    base: None,
    id: None,
};

async fn put(desk: &Desk, history: &mut History, limit: u32) -> Result<u64, ControlError> {
    let published = publish(&desk.log, history, &text(limit), &BY_ITSELF, |_| {}).await?;
    Ok(published.version)
}

struct Case {
    name: &'static str,
    fault: Fault,
    code: Option<ExitCode>,
    versions: u64,
}

/// The operator publishes while the log misbehaves. He either gets the version, or an
/// error that says whether anything can have been applied. A lost answer is made good by
/// an append with the same id, which readers count once; so one version comes of it.
#[tokio::test]
async fn can_publish_or_say_the_truth_under_faults_of_the_log() {
    let cases = [
        Case {
            name: "one answer is lost though the record was appended",
            fault: Fault::new(FaultKind::AnswerLost).times(1),
            code: None,
            versions: 1,
        },
        Case {
            name: "two tries meet an outage",
            fault: Fault::new(FaultKind::Outage).times(2),
            code: None,
            versions: 1,
        },
        Case {
            name: "the outage goes on",
            fault: Fault::new(FaultKind::Outage),
            code: Some(ExitCode::Unreachable),
            versions: 0,
        },
        Case {
            name: "every answer is lost",
            fault: Fault::new(FaultKind::AnswerLost),
            code: Some(ExitCode::Unreachable),
            versions: 1,
        },
    ];
    for case in cases {
        let desk = desk().await;
        let mut history = read_history(&desk.log).await.unwrap();
        desk.standin.fault(case.fault);
        let result = put(&desk, &mut history, 10).await;
        desk.standin.clear_faults();
        let code = result.as_ref().err().map(ControlError::exit_code);
        assert_eq!(code, case.code, "{}: {result:?}", case.name);
        let after = read_history(&desk.log).await.unwrap();
        let newest = after
            .ledger
            .all()
            .map(|accepted| accepted.version)
            .sum::<u64>();
        assert_eq!(newest, case.versions, "{}", case.name);
    }
}

/// Two operators read the same version and publish one after the other. The second gets
/// the first one's change as a diff and exit code 4; nothing of his text is applied,
/// because the log's order decides and his base is no longer current.
#[tokio::test]
async fn errors_with_the_winners_diff_when_a_race_is_lost() {
    let desk = desk().await;
    let mut first = read_history(&desk.log).await.unwrap();
    put(&desk, &mut first, 10).await.unwrap();
    let mut second = read_history(&desk.log).await.unwrap();
    assert_eq!(put(&desk, &mut first, 20).await.unwrap(), 2);
    let lost = put(&desk, &mut second, 30).await.unwrap_err();
    assert_eq!(lost.exit_code(), ExitCode::LostRace);
    let ControlError::LostRace(_, diff) = &lost else {
        panic!("{lost}");
    };
    assert!(diff.contains("-requests_per_s = 10"), "{diff}");
    assert!(diff.contains("+requests_per_s = 20"), "{diff}");
    let after = read_history(&desk.log).await.unwrap();
    let accepted = after.ledger.all().next().unwrap();
    assert_eq!(accepted.version, 2);
    assert!(accepted.source.contains("= 20"));
}

/// An operator states the version that his text was made on, and it is no longer the
/// current one. He is refused like the loser of a race, with what came since.
#[tokio::test]
async fn errors_when_the_stated_base_is_no_longer_current() {
    let desk = desk().await;
    let mut history = read_history(&desk.log).await.unwrap();
    put(&desk, &mut history, 10).await.unwrap();
    put(&desk, &mut history, 20).await.unwrap();
    let stated = PublishSettings {
        base: Some(1),
        id: None,
    };
    let refused = publish(&desk.log, &mut history, &text(30), &stated, |_| {}).await;
    let ControlError::LostRace(_, diff) = refused.unwrap_err() else {
        panic!("not a lost race");
    };
    assert!(diff.contains("+requests_per_s = 20"), "{diff}");
}
