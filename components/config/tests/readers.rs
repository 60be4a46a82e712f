//! Any readers of any windows of one log, as a property.
//!
//! Operators race, copy records and publish on versions that are not there; keepers are
//! themselves readers of windows, and some append what they knew long ago; peers hand
//! one another what they hold, the log forgets, and one reader is of an older age. No
//! two of them may ever hold different texts for a version, none may go back, and one
//! that is certain holds what the reader of the whole log held at the same offset.

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
    /// An operator publishes with a base this far from what he should have.
    Publish {
        customer: u8,
        off: u8,
        names_base: bool,
        kind: u8,
    },
    /// A record that was appended before is appended again.
    Copy { record: u8 },
    /// A reader prepares its keep record, to be appended later.
    Prepare {
        reader: u8,
        customer: u8,
        list: bool,
    },
    /// A prepared record is appended now.
    Append { prepared: u8 },
    /// A reader reads some records.
    Read { reader: u8, count: u8 },
    /// A reader starts anew at some offset.
    Restart { reader: u8, offset: u8 },
    /// A reader finds that the log has forgotten some records that it has not read.
    Forget { reader: u8, count: u8 },
    /// A reader takes over what another one holds.
    Adopt {
        reader: u8,
        from: u8,
        customer: u8,
        list: bool,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = |g: &mut Gen| u8::arbitrary(g);
        let (reader, customer, list) = (n(g), n(g), bool::arbitrary(g));
        match n(g) % 16 {
            0..4 => Step::Publish {
                customer,
                off: n(g),
                names_base: list,
                kind: n(g),
            },
            4 => Step::Copy { record: n(g) },
            5..7 => Step::Prepare {
                reader,
                customer,
                list,
            },
            7..9 => Step::Append { prepared: n(g) },
            9..13 => Step::Read {
                reader,
                count: n(g),
            },
            13 => Step::Restart {
                reader,
                offset: n(g),
            },
            14 => Step::Forget {
                reader,
                count: n(g),
            },
            _ => Step::Adopt {
                reader,
                from: n(g),
                customer,
                list,
            },
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
        let mut publish = Publish::on(name, current.map(|one| one.as_ref()), &id, &text);
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
            Step::Publish {
                customer: number,
                off,
                names_base,
                kind,
            } => self.publish(customer(number), off, names_base, kind),
            Step::Copy { record } => {
                if let Some(record) = pick(&self.log, record).cloned() {
                    self.append(record);
                }
            }
            Step::Prepare {
                reader,
                customer: number,
                list,
            } => {
                let from = &self.readers[usize::from(reader) % READERS];
                self.prepared.extend(news(from, number, list));
            }
            Step::Append { prepared } => {
                if let Some(record) = pick(&self.prepared, prepared).cloned() {
                    self.append(record);
                }
            }
            Step::Read { reader, count } => self.read(usize::from(reader) % READERS, count),
            Step::Restart { reader, offset } => {
                let offset = usize::from(offset) % (self.log.len() + 1);
                let offset = offset.try_into().expect("a short log");
                self.readers[usize::from(reader) % READERS] = Ledger::starting_at(offset);
            }
            Step::Forget { reader, count } => {
                let reader = &mut self.readers[usize::from(reader) % READERS];
                let end = self.log.len().try_into().expect("a short log");
                reader.skip_to((reader.next_offset() + u64::from(count % 4)).min(end));
            }
            Step::Adopt {
                reader,
                from,
                customer: number,
                list,
            } => self.adopt(usize::from(reader) % READERS, from, number, list),
        }
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
