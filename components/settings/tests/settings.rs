//! Parsing and validation of settings. The error for an invalid setting names the flag, its value
//! and the allowed values.

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
    message: &'static str,
}

#[test]
fn errors_when_a_setting_of_an_entry_is_invalid() {
    let cases = [
        Case {
            name: "a missing address",
            flag: "--log",
            value: None,
            message: "--log is missing: set the flag or the variable HORNBEAMROCK_LOG to an IP address with a port, such as 127.0.0.1:7100",
        },
        Case {
            name: "a host name",
            flag: "--vm-list",
            value: Some("localhost:7002"),
            message: "invalid value 'localhost:7002' for --vm-list: expected an IP address with a port, such as 127.0.0.1:7100",
        },
        Case {
            name: "a failure domain with a capital",
            flag: "--failure-domain",
            value: Some("Rennes"),
            message: "invalid value 'Rennes' for --failure-domain: expected a name of a-z, 0-9 and '-'",
        },
        Case {
            name: "the same port for two listeners",
            flag: "--admin-listen",
            value: Some("127.0.0.1:7101"),
            message: "value '127.0.0.1:7101' of --inner-listen conflicts with --admin-listen: the two listeners need different ports",
        },
        Case {
            name: "a key file that does not exist",
            flag: "--key-file",
            value: Some("/nowhere/keys"),
            message: "cannot read the file of --key-file, '/nowhere/keys': No such file or directory (os error 2)",
        },
        Case {
            name: "an unknown log level",
            flag: "--log-level",
            value: Some("loud"),
            message: "invalid value 'loud' for --log-level: expected error, warn, info or debug",
        },
        Case {
            name: "a ceiling of 0, which would refuse every request",
            flag: "--customer-in-progress-max",
            value: Some("0"),
            message: "invalid value '0' for --customer-in-progress-max: expected 1 to 4294967295",
        },
        Case {
            name: "a drain time below its minimum",
            flag: "--drain-ms",
            value: Some("1"),
            message: "invalid value '1' for --drain-ms: expected 1000 to 3600000 milliseconds",
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
        assert_eq!(error.to_string(), case.message, "{}", case.name);
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

// If an agent without a list of customers hosted every service that names its pool, any customer
// could run its services at any endpoint by naming that pool in its own configuration.
#[test]
fn errors_when_an_agent_has_no_valid_list_of_customers() {
    let key_file = key_file("customers");
    let cases = [
        (
            None,
            "--customers is missing: set the flag or the variable HORNBEAMROCK_CUSTOMERS to names \
             of a-z, 0-9 and '-' separated by commas, such as office,collective",
        ),
        (
            Some(" , "),
            "--customers is missing: set the flag or the variable HORNBEAMROCK_CUSTOMERS to names \
             of a-z, 0-9 and '-' separated by commas, such as office,collective",
        ),
        (
            Some("office,Evil"),
            "invalid value 'office,Evil' for --customers: expected names of a-z, 0-9 and '-' \
             separated by commas, such as office,collective",
        ),
    ];
    for (customers, message) in cases {
        let mut flags = common(&key_file);
        flags.push(("--endpoint", "127.0.0.1:7200"));
        flags.push(("--pool", "guichet"));
        flags.extend(customers.map(|value| ("--customers", value)));
        let line = flags.iter().flat_map(|(flag, value)| [*flag, *value]);
        let matches = agent_command()
            .try_get_matches_from(std::iter::once("hornbeamrock-agent").chain(line))
            .unwrap();
        let error = AgentSettings::from_matches(&matches).unwrap_err();
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn errors_when_a_line_of_the_key_file_is_not_a_key() {
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
            name: "a comment and an empty line beside two keys",
            text: format!("# new key first\n{KEY}\n\n{KEY}\n"),
            line: None,
        },
        KeyCase {
            name: "a line number that counts comments",
            text: format!("# new key first\n{KEY}\n0101\n"),
            line: Some(3),
        },
        KeyCase {
            name: "only comments",
            text: "# none yet\n".to_owned(),
            line: Some(1),
        },
        KeyCase {
            name: "an empty file",
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
            name: "a plus sign among the digits",
            text: KEY.replacen("00", "+0", 1),
            line: Some(1),
        },
    ];
    for case in &cases {
        let result = parse_keys(&case.text, Path::new("keys"));
        let message = case.line.map(|line| {
            format!("invalid key in the file 'keys' of --key-file, line {line}: expected")
        });
        match (result, message) {
            (Ok(_), None) => {}
            (Err(error), Some(message)) => {
                assert!(
                    error.to_string().contains(&message),
                    "{}: {error}",
                    case.name
                );
            }
            (result, _) => panic!("{}: {result:?}", case.name),
        }
    }
}
