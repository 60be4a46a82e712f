//! Replays recorded traces through the state machines and compares the outcomes with those stated
//! in the traces.
//!
//! A trace is a text file with one event per line; `traces/README.md` describes the events.
#![allow(clippy::unwrap_used, clippy::panic)] // clippy.toml exempts tests, but not helpers.

use std::collections::BTreeMap;
use std::path::PathBuf;

use bytes::Bytes;
use claims::{Claim, ClaimSettings, Line, Record, Shard};
use config::Ledger;
use protocol::{Frame, Head};
use recovery::{Attempt, AttemptAction, AttemptEvent, CallEvent};
use types::{CallId, CustomerName};

const ID: CallId = CallId {
    boot: 1,
    counter: 1,
};

struct Trace {
    name: String,
    lines: Vec<String>,
}

impl Trace {
    /// Remainders of all lines whose first word is `word`.
    fn values<'a>(&'a self, word: &'a str) -> impl Iterator<Item = &'a str> {
        let lines = self.lines.iter();
        lines.filter_map(move |line| line.strip_prefix(word)?.strip_prefix(' '))
    }

    fn first_value<'a>(&'a self, word: &'a str) -> &'a str {
        let missing = || panic!("{}: no line '{word}'", self.name);
        self.values(word).next().unwrap_or_else(missing)
    }
}

fn traces(machine: &str) -> Vec<Trace> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut traces = Vec::new();
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path
            .extension()
            .is_none_or(|extension| extension != "trace")
        {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let trace = Trace {
            name: path.file_name().unwrap().to_string_lossy().into_owned(),
            lines: lines.map(str::to_owned).collect(),
        };
        if trace.first_value("machine") == machine {
            traces.push(trace);
        }
    }
    assert!(!traces.is_empty(), "no trace of {machine}");
    traces
}

fn split_number(line: &str) -> (u64, &str) {
    let (number, rest) = line.split_once(' ').unwrap();
    (number.parse().unwrap(), rest)
}

/// Name of an enum's variant, from its `Debug` output, in lower case.
fn variant_name(value: &impl std::fmt::Debug) -> String {
    let text = format!("{value:?}").to_ascii_lowercase();
    let end = text.find(|c: char| !c.is_ascii_alphanumeric());
    text[..end.unwrap_or(text.len())].to_owned()
}

// Guards against readers of the log that disagree: each must reach the stated verdicts. A reader
// that starts in the middle, because the log removed older records, must not have another
// configuration for a version.
#[test]
fn can_replay_traces_of_the_configuration() {
    for trace in traces("configuration") {
        let records: Vec<(u64, &str)> = trace.values("record").map(split_number).collect();
        let mut ledger = Ledger::starting_at(0);
        let mut ids = BTreeMap::new();
        for (offset, data) in &records {
            ledger.apply_json(*offset, data);
            let held = ledger
                .all()
                .map(|held| ((held.customer.clone(), held.version), held.id.clone()));
            ids.extend(held);
        }
        for line in trace.values("verdict") {
            let words: Vec<&str> = line.split(' ').collect();
            let customer = CustomerName::new(words[0]).unwrap();
            let verdict = ledger.verdict(&customer, words[1]).unwrap();
            assert_eq!(variant_name(verdict), words[2], "{}: {line}", trace.name);
        }
        for line in trace.values("current") {
            let words: Vec<&str> = line.split(' ').collect();
            let current = ledger
                .current(&CustomerName::new(words[0]).unwrap())
                .unwrap();
            let current_line = format!("{} {} {}", words[0], current.version, current.id);
            assert_eq!(current_line, line, "{}", trace.name);
        }
        for start in 0..records.len() {
            let mut later = Ledger::starting_at(records[start].0);
            for (offset, data) in &records[start..] {
                later.apply_json(*offset, data);
                for held in later.all() {
                    let id = ids.get(&(held.customer.clone(), held.version));
                    assert_eq!(id, Some(&held.id), "{} from {start}", trace.name);
                }
            }
        }
    }
}

// Guards against readers that accept different claims of a key: the first claim in the log must win
// at each reader, and a repeat must get the stated verdict at the stated time.
#[test]
fn can_replay_traces_of_claims() {
    for trace in traces("claims") {
        let mut shard = Shard::new(ClaimSettings::default());
        let mut now_ms = 0;
        let mut first: Option<Claim> = None;
        let mut placed = BTreeMap::new();
        for line in &trace.lines {
            let (event, rest) = line.split_once(' ').unwrap();
            match event {
                "at" => now_ms = rest.parse().unwrap(),
                "record" => {
                    let (offset, data) = split_number(rest);
                    for record in Line::parse(data).unwrap().records {
                        if let Record::Claim(claim) = record {
                            first.get_or_insert(claim);
                        }
                    }
                    for placement in shard.apply(offset, data, now_ms).unwrap() {
                        placed.insert(
                            format!("{} {}", placement.claim.boot, placement.claim.counter),
                            variant_name(&placement.verdict),
                        );
                    }
                }
                "repeat" => {
                    let claim = first.unwrap();
                    let verdict = shard.peek(claim.key, claim.request, now_ms);
                    assert_eq!(
                        variant_name(&verdict.unwrap()),
                        rest,
                        "{} at {now_ms}",
                        trace.name
                    );
                }
                _ => {}
            }
        }
        let stated: BTreeMap<String, String> = trace
            .values("placed")
            .map(|line| line.rsplit_once(' ').unwrap())
            .map(|(claim, verdict)| (claim.to_owned(), verdict.to_owned()))
            .collect();
        assert_eq!(placed, stated, "{}", trace.name);
    }
}

fn call_event(words: &[&str]) -> AttemptEvent {
    let id = ID;
    let number = |index: usize| words[index].parse::<u32>().unwrap();
    let frame = match words[0] {
        "connected" => {
            return AttemptEvent::Connected {
                life: u64::from(number(1)),
            };
        }
        "connect-failed" => return AttemptEvent::ConnectFailed,
        "written" => return AttemptEvent::Written,
        "lost" => return AttemptEvent::LinkLost,
        "time" => return AttemptEvent::Timer { withdrawn: false },
        "accepted" => Frame::Accepted { id },
        "started" => Frame::Started { id },
        "head" => Frame::Head {
            id,
            head: Head {
                status: 200,
                headers: Vec::new(),
            },
        },
        "chunk" => Frame::Chunk {
            id,
            part: number(1),
            bytes: Bytes::from(vec![b'x'; number(2) as usize]),
        },
        "end" => Frame::End {
            id,
            parts: number(1),
            body_bytes: u64::from(number(2)),
        },
        other => panic!("unknown event {other} in a trace"),
    };
    AttemptEvent::Frame(frame)
}

// Guards against a call with a wrong ending or with more than one final event.
#[test]
fn can_replay_traces_of_calls() {
    for trace in traces("call") {
        let deadline_ms = trace.first_value("deadline").parse().unwrap();
        let reattach_ms = trace.first_value("reattach").parse().unwrap();
        let mut call = Attempt::new(ID, 0, deadline_ms, reattach_ms);
        let mut actions = Vec::new();
        for line in trace.values("at") {
            let (now_ms, rest) = split_number(line);
            let words: Vec<&str> = rest.split(' ').collect();
            call.handle(call_event(&words), now_ms, &mut actions);
        }
        let ends: Vec<String> = actions
            .iter()
            .filter_map(|action| match action {
                AttemptAction::Deliver(CallEvent::End) => Some("whole".to_owned()),
                AttemptAction::Deliver(CallEvent::Failed(failure)) => {
                    Some(format!("{} {}", failure.run, failure.cause))
                }
                _ => None,
            })
            .collect();
        assert_eq!(
            ends,
            vec![trace.first_value("ends").to_owned()],
            "{}",
            trace.name
        );
    }
}
