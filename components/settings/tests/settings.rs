//! Every wrong setting ends in one error that names the flag, the value and what is allowed.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::path::Path;

use settings::{
    AgentSettings, EndpointKind, EntrySettings, agent_command, entry_command, parse_keys,
};
use types::CustomerName;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn key_file(name: &str) -> String {
    let path = std::env::temp_dir().join(format!("hornbeamrock-{}-{name}", std::process::id()));
    std::fs::write(&path, format!("{KEY}\n")).unwrap();
    path.to_string_lossy().into_owned()
}

fn common(key_file: &str) -> Vec<(&str, &str)> {
    vec![
        ("--inner-listen", "127.0.0.1:7101"),
        ("--admin-listen", "127.0.0.1:7102"),
        ("--log", "127.0.0.1:7001"),
        ("--vm-list", "127.0.0.1:7002"),
        ("--failure-domain", "rennes-a"),
        ("--region", "bretagne"),
        ("--key-file", key_file),
    ]
}

struct Case {
    name: &'static str,
    flag: &'static str,
    value: Option<&'static str>,
    says: &'static str,
}

#[test]
fn errors_when_a_setting_of_an_entry_is_wrong() {
    let cases = [
        Case {
            name: "a missing address",
            flag: "--log",
            value: None,
            says: "--log is missing: set it or HORNBEAMROCK_LOG, an IP number with a port, such as 127.0.0.1:7100",
        },
        Case {
            name: "a host name",
            flag: "--vm-list",
            value: Some("localhost:7002"),
            says: "--vm-list is 'localhost:7002': allowed is an IP number with a port, such as 127.0.0.1:7100",
        },
        Case {
            name: "a failure domain with a capital",
            flag: "--failure-domain",
            value: Some("Rennes"),
            says: "--failure-domain is 'Rennes': allowed is a name of a-z, 0-9 and '-'",
        },
        Case {
            name: "two listeners on one port",
            flag: "--admin-listen",
            value: Some("127.0.0.1:7101"),
            says: "--inner-listen is '127.0.0.1:7101', which does not go with --admin-listen: each listens on its own port",
        },
        Case {
            name: "a key file that is not there",
            flag: "--key-file",
            value: Some("/nowhere/keys"),
            says: "--key-file is '/nowhere/keys', which cannot be read: No such file or directory (os error 2)",
        },
        Case {
            name: "an unknown level",
            flag: "--log-level",
            value: Some("loud"),
            says: "--log-level is 'loud': allowed is error, warn, info or debug",
        },
        Case {
            name: "a ceiling that would shut every customer out",
            flag: "--customer-in-progress-max",
            value: Some("0"),
            says: "--customer-in-progress-max is '0': allowed is 1 to 4294967295",
        },
        Case {
            name: "a drain time below its bound",
            flag: "--drain-ms",
            value: Some("1"),
            says: "--drain-ms is '1': allowed is 1000 to 3600000 milliseconds",
        },
    ];
    let key_file = key_file("entry");
    for case in &cases {
        let mut flags = common(&key_file);
        flags.push(("--listen", "127.0.0.1:7100"));
        flags.retain(|(flag, _)| *flag != case.flag);
        flags.extend(case.value.map(|value| (case.flag, value)));
        let line = flags.iter().flat_map(|(flag, value)| [*flag, *value]);
        let matches = entry_command()
            .try_get_matches_from(std::iter::once("hornbeamrock-entry").chain(line))
            .unwrap();
        let error = EntrySettings::from_matches(&matches).unwrap_err();
        assert_eq!(error.to_string(), case.says, "{}", case.name);
    }
}

#[test]
fn can_read_the_settings_of_an_agent() {
    let key_file = key_file("agent");
    let mut flags = common(&key_file);
    flags.push(("--endpoint", "127.0.0.1:7200"));
    flags.push(("--endpoint-kind", "plain"));
    flags.push(("--pool", "guichet"));
    flags.push(("--customers", "office, collective,office"));
    let line = flags.iter().flat_map(|(flag, value)| [*flag, *value]);
    let matches = agent_command()
        .try_get_matches_from(std::iter::once("hornbeamrock-agent").chain(line))
        .unwrap();
    let settings = AgentSettings::from_matches(&matches).unwrap();
    assert_eq!(settings.endpoint_kind, EndpointKind::Plain);
    assert_eq!(settings.pool.as_str(), "guichet");
    let customers: Vec<_> = settings
        .customers
        .iter()
        .map(CustomerName::as_str)
        .collect();
    assert_eq!(customers, ["collective", "office"]);
    assert_eq!(settings.common.settle_ms, 0);
    assert_eq!(settings.common.log_retention_ms, 3_600_000);
}

// An agent that hosted whatever a text names would let any customer in to any endpoint.
#[test]
fn errors_when_an_agent_is_not_told_whose_services_it_hosts() {
    let key_file = key_file("customers");
    let cases = [
        (
            None,
            "--customers is missing: set it or HORNBEAMROCK_CUSTOMERS, names of a-z, 0-9 and '-' \
             with commas between, such as office,collective",
        ),
        (
            Some(" , "),
            "--customers is missing: set it or HORNBEAMROCK_CUSTOMERS, names of a-z, 0-9 and '-' \
             with commas between, such as office,collective",
        ),
        (
            Some("office,Evil"),
            "--customers is 'office,Evil': allowed is names of a-z, 0-9 and '-' with commas \
             between, such as office,collective",
        ),
    ];
    for (customers, says) in cases {
        let mut flags = common(&key_file);
        flags.push(("--endpoint", "127.0.0.1:7200"));
        flags.push(("--pool", "guichet"));
        flags.extend(customers.map(|value| ("--customers", value)));
        let line = flags.iter().flat_map(|(flag, value)| [*flag, *value]);
        let matches = agent_command()
            .try_get_matches_from(std::iter::once("hornbeamrock-agent").chain(line))
            .unwrap();
        let error = AgentSettings::from_matches(&matches).unwrap_err();
        assert_eq!(error.to_string(), says);
    }
}

#[test]
fn errors_when_a_line_of_the_key_file_is_no_key() {
    struct KeyCase {
        name: &'static str,
        text: String,
        line: Option<usize>,
    }
    let cases = [
        KeyCase {
            name: "one key",
            text: KEY.to_owned(),
            line: None,
        },
        KeyCase {
            name: "two keys",
            text: format!("{KEY}\n\n{KEY}\n"),
            line: None,
        },
        KeyCase {
            name: "a remark between two keys",
            text: format!("# new key first\n{KEY}\n\n{KEY}\n"),
            line: None,
        },
        KeyCase {
            name: "a line that is not counted",
            text: format!("# new key first\n{KEY}\n0101\n"),
            line: Some(3),
        },
        KeyCase {
            name: "remarks alone",
            text: "# none yet\n".to_owned(),
            line: Some(1),
        },
        KeyCase {
            name: "no key",
            text: String::new(),
            line: Some(1),
        },
        KeyCase {
            name: "three keys",
            text: format!("{KEY}\n{KEY}\n{KEY}"),
            line: Some(3),
        },
        KeyCase {
            name: "a short key",
            text: format!("{KEY}\nabcd"),
            line: Some(2),
        },
        KeyCase {
            name: "a sign among the digits",
            text: KEY.replacen("00", "+0", 1),
            line: Some(1),
        },
    ];
    for case in &cases {
        let result = parse_keys(&case.text, Path::new("keys"));
        let says = case.line.map(|line| format!("whose line {line} is no key"));
        match (result, says) {
            (Ok(_), None) => {}
            (Err(error), Some(says)) => {
                assert!(error.to_string().contains(&says), "{}: {error}", case.name);
            }
            (result, _) => panic!("{}: {result:?}", case.name),
        }
    }
}
