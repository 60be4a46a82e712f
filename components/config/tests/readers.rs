//! Any readers of any windows of one log, as a property.
//!
//! Operators race, copy records and publish on versions that are not there; keepers are
//! themselves readers of windows, and some append what they knew long ago; peers hand
//! one another what they hold, and the log forgets. No two of them may ever hold
//! different texts for a version, none may go back, and one that is certain holds what
//! the reader of the whole log held at the same offset.

use std::collections::HashMap;

use config::{Ledger, Publish, Record, Verdict};
use quickcheck::{Arbitrary, Gen, TestResult};
use types::CustomerName;

const CUSTOMERS: [&str; 2] = ["office", "collective"];
const READERS: usize = 4;
/// The same cases on every run.
const SEED: u64 = 20_251_202;

/// One thing that happens; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
enum Step {
    /// An operator publishes for a customer, with a base this far from what he should
    /// have, of a kind, and naming the base's id or not.
    Publish(u8, u8, u8, bool),
    /// A record that was appended before is appended again.
    Copy(u8),
    /// A reader prepares a keep record of a customer, or the list, to be appended later.
    Prepare(u8, u8, bool),
    /// A prepared record is appended now.
    Append(u8),
    /// A reader reads so many records.
    Read(u8, u8),
    /// A reader starts anew at an offset.
    Restart(u8, u8),
    /// A reader finds that the log has forgotten so many records that it has not read.
    Forget(u8, u8),
    /// A reader takes over what another holds of a customer, or its list.
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

/// Everything that happens, with a reader of the whole log to compare with.
struct World {
    log: Vec<Record>,
    whole: Ledger,
    /// What the reader of the whole log held before each offset.
    history: Vec<HashMap<CustomerName, u64>>,
    texts: HashMap<(CustomerName, u64), String>,
    readers: Vec<Ledger>,
    prepared: Vec<Record>,
    /// Set when a reader says something that cannot be.
    fault: Option<String>,
}

impl World {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            whole: Ledger::starting_at(0),
            history: vec![HashMap::new()],
            texts: HashMap::new(),
            readers: vec![Ledger::starting_at(0); READERS],
            prepared: Vec::new(),
            fault: None,
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
            self.fault = Some(format!("{verdict:?}"));
        }
    }

    /// A publish as an operator makes it; `off` 0 to 5 for an up-to-date one.
    fn publish(&mut self, name: CustomerName, off: u8, names_base: bool, kind: u8) {
        let number = self.log.len();
        let current = self.whole.current(&name);
        let mut text = format!("schema = 1\ncustomer = \"{name}\"\n# {number}\n");
        if kind.is_multiple_of(8) {
            text.push_str("fault = 1\n");
        }
        let id = format!("id-{number}");
        let mut publish = Publish::based_on(name, current.map(|one| one.as_ref()), &id, &text);
        publish.base = match off % 8 {
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
            Step::Publish(name, off, kind, named) => self.publish(customer(name), off, named, kind),
            Step::Copy(record) => self.append_one(pick(&self.log, record).cloned()),
            Step::Prepare(reader, name, list) => {
                let reader = &self.readers[usize::from(reader) % READERS];
                self.prepared.extend(news(reader, name, list));
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
            let at: usize = offset.try_into().expect("a short log");
            let Some(record) = self.log.get(at) else {
                return;
            };
            let before = versions(&self.readers[reader]);
            let verdict = self.readers[reader].apply(offset, record);
            self.check_verdict(&verdict);
            self.check_reader(reader, &before);
        }
    }

    fn adopt(&mut self, reader: usize, from: u8, number: u8, list: bool) {
        let Some(record) = news(&self.readers[usize::from(from) % READERS], number, list) else {
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
        let now = versions(ledger);
        for (name, version) in before {
            if now.get(name).is_none_or(|now| now < version) {
                self.fault = Some(format!("{name} went back from {version}"));
            }
        }
        for accepted in ledger.all() {
            let key = (accepted.customer.clone(), accepted.version);
            if self.texts.get(&key).map(String::as_str) != Some(&accepted.source) {
                self.fault = Some(format!("{key:?} is another text than everywhere else"));
            }
        }
        for name in CUSTOMERS.map(|name| CustomerName::new(name).expect("a name")) {
            if !ledger.is_certain(&name) {
                continue;
            }
            // A peer may have brought it forward of what it has read.
            let through = ledger.keep_record(&name).and_then(|keep| keep.through);
            let through = through.unwrap_or(ledger.next_offset());
            let at: usize = through.try_into().expect("a short log");
            let wanted = self.history.get(at).and_then(|held| held.get(&name));
            if now.get(&name) != wanted {
                let (now, wanted) = (now.get(&name), wanted);
                self.fault = Some(format!("{name} at {at}: {now:?}, wanted {wanted:?}"));
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

/// What a reader tells others.
fn news(ledger: &Ledger, number: u8, list: bool) -> Option<Record> {
    if list {
        return ledger.customers_record().map(Record::Customers);
    }
    ledger.keep_record(&customer(number)).map(Record::Keep)
}

fn holds(steps: Vec<Step>) -> TestResult {
    let mut world = World::new();
    for step in &steps {
        world.step(step);
        if let Some(fault) = world.fault {
            return TestResult::error(fault);
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
    quickcheck.quickcheck(holds as fn(Vec<Step>) -> TestResult);
}

#[test]
fn can_come_to_the_whole_log_s_state_from_every_offset_with_a_keep_behind_it() {
    // A new process finds a log that has forgotten the beginning. Once a keeper has
    // appended every current version and the list of customers behind the process's
    // start, the process holds what a reader of the whole log holds.
    fn arrives(steps: Vec<Step>, start: u8) -> bool {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(step));
        let start = usize::from(start) % (world.log.len() + 1);
        let keeper = world.whole.clone();
        let records = (0..2).filter_map(|number| news(&keeper, number, false));
        let records: Vec<Record> = records.chain(news(&keeper, 0, true)).collect();
        records.into_iter().for_each(|record| world.append(record));
        world.publish(customer(0), 0, true, 1);
        let mut reader = Ledger::starting_at(start.try_into().expect("a short log"));
        let rest = world.log.iter().zip(0..).skip(start);
        rest.for_each(|(record, offset)| {
            reader.apply(offset, record);
        });
        reader.is_complete() && versions(&reader) == versions(&world.whole)
    }
    let mut quickcheck = quickcheck::QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(500);
    quickcheck.quickcheck(arrives as fn(Vec<Step>, u8) -> bool);
}
