//! Property test: any readers of any ranges of one log agree.
//!
//! Operators race, repeat records and publish on versions that do not exist. Processes that read
//! only a range of the log append `Record::Keep`, some of them late; peers exchange their state,
//! and the log removes old records. No two readers may hold different texts for a version, no reader
//! may go back to an older version, and a reader that is certain holds what the reader of the whole
//! log held at the same offset.

use std::collections::HashMap;

use config::{Ledger, Publish, Record, Verdict};
use quickcheck::{Arbitrary, Gen, TestResult};
use types::CustomerName;

const CUSTOMERS: [&str; 2] = ["office", "collective"];
const READERS: usize = 4;
/// Fixed, so that every run tests the same cases.
const SEED: u64 = 20_251_202;

/// One event; numbers are taken modulo the number of available items.
#[derive(Clone, Debug)]
enum Step {
    /// An operator publishes: the customer, the deviation of the base from the current version, the
    /// kind of text, and whether the base's id is stated.
    Publish(u8, u8, u8, bool),
    /// An earlier record is appended again.
    Copy(u8),
    /// A reader prepares a keep record of a customer, or the list of customers, to be appended
    /// later.
    Prepare(u8, u8, bool),
    /// A prepared record is appended.
    Append(u8),
    /// A reader reads this many records.
    Read(u8, u8),
    /// A reader restarts with an empty state at an offset.
    Restart(u8, u8),
    /// A reader finds that this many unread records have been removed from the log.
    Forget(u8, u8),
    /// A reader adopts another reader's version of a customer, or its list of customers.
    Adopt(u8, u8, u8, bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let [a, b, c] = [0; 3].map(|_: u8| u8::arbitrary(g));
        let flag = bool::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..4 => Step::Publish(a, b, c, flag),
            4 => Step::Copy(a),
            5..7 => Step::Prepare(a, b, flag),
            7..9 => Step::Append(a),
            9..13 => Step::Read(a, b),
            13 => Step::Restart(a, b),
            14 => Step::Forget(a, b),
            _ => Step::Adopt(a, b, c, flag),
        }
    }
}

fn customer(number: u8) -> CustomerName {
    let name = CUSTOMERS[usize::from(number) % CUSTOMERS.len()];
    CustomerName::new(name).expect("a name")
}

/// The log and its readers, with a reader of the whole log to compare with.
struct Simulation {
    log: Vec<Record>,
    whole: Ledger,
    /// Versions that the reader of the whole log held before each offset.
    history: Vec<HashMap<CustomerName, u64>>,
    texts: HashMap<(CustomerName, u64), String>,
    readers: Vec<Ledger>,
    prepared: Vec<Record>,
    /// Set when a reader violates a property.
    violation: Option<String>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            whole: Ledger::starting_at(0),
            history: vec![HashMap::new()],
            texts: HashMap::new(),
            readers: vec![Ledger::starting_at(0); READERS],
            prepared: Vec::new(),
            violation: None,
        }
    }

    fn append(&mut self, record: Record) {
        let offset = self.log.len().try_into().expect("a short log");
        let verdict = self.whole.apply(offset, &record);
        self.check_verdict(&verdict);
        self.log.push(record);
        let mut versions = HashMap::new();
        for accepted in self.whole.all() {
            versions.insert(accepted.customer.clone(), accepted.version);
            let key = (accepted.customer.clone(), accepted.version);
            self.texts
                .entry(key)
                .or_insert_with(|| accepted.source.to_string());
        }
        self.history.push(versions);
    }

    fn check_verdict(&mut self, verdict: &Verdict) {
        if matches!(verdict, Verdict::Conflict { .. }) {
            self.violation = Some(format!("{verdict:?}"));
        }
    }

    /// Publishes like an operator. `deviation` modulo 8 selects the base: 6 for one version too
    /// low, 7 for one too high, else the current version.
    fn publish(&mut self, name: CustomerName, deviation: u8, names_base: bool, kind: u8) {
        let number = self.log.len();
        let current = self.whole.current(&name);
        let mut text = format!("schema = 1\ncustomer = \"{name}\"\n# {number}\n");
        if kind.is_multiple_of(8) {
            text.push_str("fault = 1\n");
        }
        let id = format!("id-{number}");
        let mut publish =
            Publish::based_on(name, current.map(|accepted| accepted.as_ref()), &id, &text);
        publish.base = match deviation % 8 {
            6 => publish.base.saturating_sub(1),
            7 => publish.base + 1,
            _ => publish.base,
        };
        if !names_base {
            (publish.base_id, publish.rules) = (None, 1);
        }
        self.append(Record::Publish(publish));
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Publish(name, deviation, kind, named) => {
                self.publish(customer(name), deviation, named, kind)
            }
            Step::Copy(record) => self.append_one(pick(&self.log, record).cloned()),
            Step::Prepare(reader, name, list) => {
                let reader = &self.readers[usize::from(reader) % READERS];
                self.prepared.extend(state_record(reader, name, list));
            }
            Step::Append(prepared) => self.append_one(pick(&self.prepared, prepared).cloned()),
            Step::Read(reader, count) => self.read(usize::from(reader) % READERS, count),
            Step::Restart(reader, offset) => {
                let offset = usize::from(offset) % (self.log.len() + 1);
                let offset = offset.try_into().expect("a short log");
                self.readers[usize::from(reader) % READERS] = Ledger::starting_at(offset);
            }
            Step::Forget(reader, count) => {
                let reader = &mut self.readers[usize::from(reader) % READERS];
                let end = self.log.len().try_into().expect("a short log");
                reader.skip_to((reader.next_offset() + u64::from(count % 4)).min(end));
            }
            Step::Adopt(reader, from, name, list) => {
                self.adopt(usize::from(reader) % READERS, from, name, list);
            }
        }
    }

    fn append_one(&mut self, record: Option<Record>) {
        record.into_iter().for_each(|record| self.append(record));
    }

    fn read(&mut self, reader: usize, count: u8) {
        for _ in 0..count % 8 {
            let offset = self.readers[reader].next_offset();
            let index: usize = offset.try_into().expect("a short log");
            let Some(record) = self.log.get(index) else {
                return;
            };
            let before = versions(&self.readers[reader]);
            let verdict = self.readers[reader].apply(offset, record);
            self.check_verdict(&verdict);
            self.check_reader(reader, &before);
        }
    }

    fn adopt(&mut self, reader: usize, from: u8, number: u8, list: bool) {
        let Some(record) = state_record(&self.readers[usize::from(from) % READERS], number, list)
        else {
            return;
        };
        let before = versions(&self.readers[reader]);
        let verdict = match &record {
            Record::Keep(keep) => self.readers[reader].adopt(keep),
            Record::Customers(names) => self.readers[reader].adopt_customers(names),
            _ => Verdict::Known,
        };
        self.check_verdict(&verdict);
        self.check_reader(reader, &before);
    }

    fn check_reader(&mut self, reader: usize, before: &HashMap<CustomerName, u64>) {
        let ledger = &self.readers[reader];
        let current = versions(ledger);
        for (name, version) in before {
            if current.get(name).is_none_or(|current| current < version) {
                self.violation = Some(format!("{name} went back from version {version}"));
            }
        }
        for accepted in ledger.all() {
            let key = (accepted.customer.clone(), accepted.version);
            if self.texts.get(&key).map(String::as_str) != Some(&accepted.source) {
                self.violation = Some(format!(
                    "{key:?} has another text than at the reader of the whole log"
                ));
            }
        }
        for name in CUSTOMERS.map(|name| CustomerName::new(name).expect("a name")) {
            if !ledger.is_certain(&name) {
                continue;
            }
            // A peer may have advanced this reader beyond the records that it has read.
            let through = ledger.keep_record(&name).and_then(|keep| keep.through);
            let through = through.unwrap_or(ledger.next_offset());
            let index: usize = through.try_into().expect("a short log");
            let expected = self.history.get(index).and_then(|held| held.get(&name));
            if current.get(&name) != expected {
                let (current, expected) = (current.get(&name), expected);
                self.violation = Some(format!(
                    "{name} at {index}: {current:?}, expected {expected:?}"
                ));
            }
        }
    }
}

fn pick<T>(among: &[T], number: u8) -> Option<&T> {
    among.get(usize::from(number) % among.len().max(1))
}

fn versions(ledger: &Ledger) -> HashMap<CustomerName, u64> {
    let all = ledger.all();
    all.map(|accepted| (accepted.customer.clone(), accepted.version))
        .collect()
}

/// The record that a reader sends to its peers or appends.
fn state_record(ledger: &Ledger, number: u8, list: bool) -> Option<Record> {
    if list {
        return ledger.customers_record().map(Record::Customers);
    }
    ledger.keep_record(&customer(number)).map(Record::Keep)
}

fn readers_agree(steps: Vec<Step>) -> TestResult {
    let mut simulation = Simulation::new();
    for step in &steps {
        simulation.step(step);
        if let Some(violation) = simulation.violation {
            return TestResult::error(violation);
        }
    }
    TestResult::passed()
}

#[test]
fn can_read_any_windows_of_one_log_and_never_disagree_or_go_back() {
    let mut quickcheck = quickcheck::QuickCheck::new();
    quickcheck = quickcheck
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(1_000);
    quickcheck.quickcheck(readers_agree as fn(Vec<Step>) -> TestResult);
}

#[test]
fn can_reach_the_state_of_the_whole_log_from_every_offset_before_keep_records() {
    // A new process finds a log whose first records have been removed. Once a reader of the whole
    // log has appended every current version and the list of customers after the process's start,
    // the process must hold the same state as that reader.
    fn reaches_same_state(steps: Vec<Step>, start: u8) -> bool {
        let mut simulation = Simulation::new();
        steps.iter().for_each(|step| simulation.step(step));
        let start = usize::from(start) % (simulation.log.len() + 1);
        let keeper = simulation.whole.clone();
        let records = (0..2).filter_map(|number| state_record(&keeper, number, false));
        let records: Vec<Record> = records.chain(state_record(&keeper, 0, true)).collect();
        records
            .into_iter()
            .for_each(|record| simulation.append(record));
        simulation.publish(customer(0), 0, true, 1);
        let mut reader = Ledger::starting_at(start.try_into().expect("a short log"));
        let rest = simulation.log.iter().zip(0..).skip(start);
        rest.for_each(|(record, offset)| {
            reader.apply(offset, record);
        });
        reader.is_complete() && versions(&reader) == versions(&simulation.whole)
    }
    let mut quickcheck = quickcheck::QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(500);
    quickcheck.quickcheck(reaches_same_state as fn(Vec<Step>, u8) -> bool);
}
