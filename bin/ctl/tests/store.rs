//! The command `hornbeamrockctl store`, run as a process.

use std::process::{Command, Output};

use standins::fleet::records;
use standins::fleet::store::Store;

fn run(address: &str, kind: &str, format: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamrockctl"));
    let flags = ["store", kind, "--store", address, "--output", format];
    command.args(flags).output().expect("the program starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn can_print_the_contents_of_the_store() {
    struct Case {
        kind: &'static str,
        format: &'static str,
        first_line: &'static str,
        contained: &'static str,
    }
    let case = |kind, format, first_line, contained| Case {
        kind,
        format,
        first_line,
        contained,
    };
    let cases = [
        case("routes", "table", "configuration 3", "/calls/"),
        case("routes", "json", "{", "\"attempts_max\": 3"),
        case(
            "versions",
            "table",
            "model    version  replicas",
            "model-a  2",
        ),
        case("replicas", "table", "replica   service", "model-a=2"),
        case("replicas", "json", "[", "\"draining\": false"),
        case("steps", "table", "step  model", ""),
        case("shards", "table", "pool  shard  front", ""),
        case("lease", "table", "holder of orders  fence", "-"),
    ];
    let store = Store::default();
    store.put("keyed.op", "config", Some(&records::config(3)));
    let key = format!("version/{}", records::MODEL);
    store.put("keyed.op", &key, Some(&records::version(2)));
    let address = ([10, 0, 0, 1], 7_000).into();
    let record = records::replica(records::ENGINES, address, "ready", 2);
    store.put("keyed.servers", "engine-1", Some(&record));
    let listener = store
        .listen(([127, 0, 0, 1], 0).into())
        .await
        .expect("the store listens on a free port");
    for case in cases {
        let output = run(&listener.address.to_string(), case.kind, case.format);
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{}: {output:?}", case.kind);
        let first = text.lines().next().unwrap_or_default();
        assert!(first.starts_with(case.first_line), "{}: {text}", case.kind);
        assert!(text.contains(case.contained), "{}: {text}", case.kind);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_when_the_store_does_not_answer_or_its_address_is_invalid() {
    let listener = Store::default().listen(([127, 0, 0, 1], 0).into()).await;
    let listener = listener.expect("the store listens on a free port");
    let address = listener.address.to_string();
    drop(listener);
    let output = run(&address, "steps", "table");
    assert_eq!(output.status.code(), Some(6), "{output:?}");
    let output = run("nowhere", "steps", "table");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}
