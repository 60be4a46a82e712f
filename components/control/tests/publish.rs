//! Publishing during faults of the log and races between operators, against a stand-in for the log.

#![allow(clippy::unwrap_used, clippy::panic)]

use adapters::{ClientSettings, LogClient};
use control::{
    CheckedConfig, ControlError, ExitCode, History, PublishSettings, check_source, publish,
    read_history,
};
use standins::log::{self, LogSettings};
use standins::{Fault, FaultKind, Handle};

struct Fixture {
    log: LogClient,
    standin: Handle,
}

async fn fixture() -> Fixture {
    let standin = log::start(LogSettings::new(([127, 0, 0, 1], 0).into()))
        .await
        .unwrap();
    let settings = ClientSettings {
        deadline_ms: 500,
        ..ClientSettings::default()
    };
    Fixture {
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

const DEFAULT_SETTINGS: PublishSettings = PublishSettings {
    base: None,
    id: None,
};

async fn publish_limit(
    fixture: &Fixture,
    history: &mut History,
    limit: u32,
) -> Result<u64, ControlError> {
    let published = publish(
        &fixture.log,
        history,
        &text(limit),
        &DEFAULT_SETTINGS,
        |_| {},
    )
    .await?;
    Ok(published.version)
}

struct Case {
    name: &'static str,
    fault: Fault,
    code: Option<ExitCode>,
    versions: u64,
}

/// Guards against a wrong report to the operator while the log is faulty: a publish must either
/// return its version or an error that states whether it can have been applied. Repeated appends
/// after lost answers must create only one version.
#[tokio::test]
async fn can_publish_or_report_the_outcome_during_faults_of_the_log() {
    let cases = [
        Case {
            name: "one answer is lost though the record was appended",
            fault: Fault::new(FaultKind::AnswerLost).times(1),
            code: None,
            versions: 1,
        },
        Case {
            name: "two attempts fail during an outage",
            fault: Fault::new(FaultKind::Outage).times(2),
            code: None,
            versions: 1,
        },
        Case {
            name: "the outage does not end",
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
        let fixture = fixture().await;
        let mut history = read_history(&fixture.log).await.unwrap();
        fixture.standin.inject_fault(case.fault);
        let result = publish_limit(&fixture, &mut history, 10).await;
        fixture.standin.clear_faults();
        let code = result.as_ref().err().map(ControlError::exit_code);
        assert_eq!(code, case.code, "{}: {result:?}", case.name);
        let after = read_history(&fixture.log).await.unwrap();
        let newest = after
            .ledger
            .all()
            .map(|accepted| accepted.version)
            .sum::<u64>();
        assert_eq!(newest, case.versions, "{}", case.name);
    }
}

/// Guards against lost updates: two operators publish on the same version, and the second must get
/// the first one's changes as a diff and exit code 4. Nothing of the second text may be applied,
/// because its base is no longer current.
#[tokio::test]
async fn errors_with_the_diff_of_the_first_publish_when_a_race_is_lost() {
    let fixture = fixture().await;
    let mut first = read_history(&fixture.log).await.unwrap();
    publish_limit(&fixture, &mut first, 10).await.unwrap();
    let mut second = read_history(&fixture.log).await.unwrap();
    assert_eq!(publish_limit(&fixture, &mut first, 20).await.unwrap(), 2);
    let lost = publish_limit(&fixture, &mut second, 30).await.unwrap_err();
    assert_eq!(lost.exit_code(), ExitCode::LostRace);
    let ControlError::LostRace(_, diff) = &lost else {
        panic!("{lost}");
    };
    assert!(diff.contains("-requests_per_s = 10"), "{diff}");
    assert!(diff.contains("+requests_per_s = 20"), "{diff}");
    let after = read_history(&fixture.log).await.unwrap();
    let accepted = after.ledger.all().next().unwrap();
    assert_eq!(accepted.version, 2);
    assert!(accepted.source.contains("= 20"));
}

/// Guards against lost updates when an operator states a base that is no longer current: the
/// publish must be refused with the changes made since that base.
#[tokio::test]
async fn errors_when_the_stated_base_is_no_longer_current() {
    let fixture = fixture().await;
    let mut history = read_history(&fixture.log).await.unwrap();
    publish_limit(&fixture, &mut history, 10).await.unwrap();
    publish_limit(&fixture, &mut history, 20).await.unwrap();
    let stated = PublishSettings {
        base: Some(1),
        id: None,
    };
    let refused = publish(&fixture.log, &mut history, &text(30), &stated, |_| {}).await;
    let ControlError::LostRace(_, diff) = refused.unwrap_err() else {
        panic!("expected ControlError::LostRace");
    };
    assert!(diff.contains("+requests_per_s = 20"), "{diff}");
}
