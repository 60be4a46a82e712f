//! Property test of any interleaving of entries, readers, lost answers, pauses and log retention: a
//! keyed call runs at most once in the lifetime of its key.

use claims::{
    Claim, ClaimHolder, ClaimSettings, ClaimVerdict, KeyDigest, Line, Outcome, Record,
    RequestDigest, Shard,
};
use types::{CallId, CustomerName, ServiceName};

const SETTINGS: ClaimSettings = ClaimSettings {
    shards: 1,
    key_lifetime_ms: 1_000,
    start_within_ms: 100,
    retry_interval_ms: 20,
    running_retry_after_ms: 5,
    outage_retry_after_ms: 5,
    answer_bytes_max: 100,
    flush_every_ms: 1,
    flush_burst: 1,
    batch_records_max: 4,
    batch_bytes_max: 4_096,
    waiting_max: 16,
    keys_max: 100,
};
const RETENTION_MS: u64 = 1_200;

/// The log, three readers of its only shard, and all submissions of one key.
struct Simulation {
    now_ms: u64,
    log: Vec<(u64, String)>,
    readers: Vec<Shard>,
    holders: Vec<ClaimHolder>,
    /// Verdicts in transit; they arrive late, out of order or never.
    verdicts: Vec<ClaimVerdict>,
    starts_ms: Vec<u64>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now_ms: 0,
            log: Vec::new(),
            readers: vec![Shard::new(SETTINGS); 3],
            holders: Vec::new(),
            verdicts: Vec::new(),
            starts_ms: Vec::new(),
        }
    }

    /// Adds a submission whose claim is appended to the log at once.
    fn submit(&mut self) {
        let counter = self.holders.len() as u64;
        let (Ok(customer), Ok(service)) =
            (CustomerName::new("office"), ServiceName::new("guichet"))
        else {
            return;
        };
        let claim = Claim {
            key: KeyDigest::of(&customer, "sanction-17"),
            request: RequestDigest::of(&customer, &service, "POST", "/sanctions", b"{}"),
            claim: CallId { boot: 1, counter },
            runs_for_ms: 50,
        };
        self.holders
            .push(ClaimHolder::new(claim, SETTINGS, self.now_ms));
        self.append(Some(Record::Claim(claim)));
    }

    /// Adds a submission that gets its verdict from one reader and starts if it has won.
    fn run(&mut self, reader: usize) {
        self.submit();
        self.read(reader);
        while !self.verdicts.is_empty() {
            self.deliver(0);
        }
        self.start(self.holders.len() - 1);
    }

    fn append(&mut self, record: Option<Record>) {
        let texts = record.and_then(|record| Line::new(vec![record]).to_json().ok());
        self.log.extend(texts.map(|text| (self.now_ms, text)));
    }

    fn read(&mut self, reader: usize) {
        let reader = &mut self.readers[reader];
        for (offset, (at_ms, text)) in (0..).zip(&self.log) {
            if at_ms + RETENTION_MS > self.now_ms {
                let placed = reader.apply(offset, text, self.now_ms);
                self.verdicts.extend(placed.into_iter().flatten());
            }
        }
    }

    fn step(&mut self, event: u8, choice: u8, wait_ms: u16) {
        let choice = usize::from(choice);
        let latest = self.holders.len().max(1) - 1;
        let holder = latest.saturating_sub(choice % 4);
        let reader = choice % 3;
        let claim = self.holders.get(holder).map(|holder| *holder.claim());
        match event % 14 {
            0 => self.submit(),
            1..=3 => self.run(reader),
            // The answer to an earlier append was lost, so the claim is appended again.
            4 => self.append(claim.map(Record::Claim)),
            5 | 6 => self.read(reader),
            7 => self.deliver(choice),
            8 | 9 => self.start(holder),
            10 => self.end(holder),
            11 => self.readers[reader] = Shard::new(SETTINGS),
            12 => self.now_ms += u64::from(wait_ms) % 60,
            _ => self.now_ms += u64::from(wait_ms) % 700,
        }
    }

    fn deliver(&mut self, choice: usize) {
        if self.verdicts.is_empty() {
            return;
        }
        let placed = self.verdicts.remove(choice % self.verdicts.len());
        let mut holders = self.holders.iter_mut();
        let holder = holders.find(|holder| holder.claim().claim == placed.claim);
        if let Some(holder) = holder {
            holder.on_verdict(placed.verdict);
        }
    }

    fn start(&mut self, holder: usize) {
        let holder = self.holders.get_mut(holder);
        if holder.is_some_and(|holder| holder.start(self.now_ms).is_ok()) {
            self.starts_ms.push(self.now_ms);
        }
    }

    fn end(&mut self, holder: usize) {
        let Some(holder) = self.holders.get_mut(holder) else {
            return;
        };
        holder.abandon();
        let outcome = Outcome::answered(200, &[], b"clear", &SETTINGS);
        let record = holder.done(outcome).or(holder.release());
        self.append(record);
    }
}

impl Simulation {
    /// Whether any two starts are at least a key's lifetime apart, less the time that a holder may
    /// take to start.
    fn runs_at_most_once(&self) -> bool {
        let apart_ms = SETTINGS.key_lifetime_ms - SETTINGS.start_within_ms;
        let mut pairs = self.starts_ms.windows(2);
        pairs.all(|pair| pair[1] - pair[0] >= apart_ms)
    }
}

/// Guards against a second run when a call is repeated around the end of its key's lifetime. Reader
/// 0 removes the first claim before reader 1 does and lets the second claim win; when reader 1 has
/// removed the first claim too, the second one must still hold the key there.
#[test]
fn can_remove_a_key_at_different_times() {
    let mut simulation = Simulation::new();
    simulation.run(0);
    simulation.now_ms = 600;
    simulation.read(1);
    simulation.now_ms = 1_100;
    simulation.run(0);
    assert_eq!(simulation.starts_ms, [0, 1_100]);
    simulation.read(1);
    simulation.now_ms = 1_700;
    simulation.run(1);
    assert!(simulation.runs_at_most_once(), "{:?}", simulation.starts_ms);
}

checks::seeded! {
    fn runs_at_most_once_in_a_lifetime(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut simulation = Simulation::new();
        for (event, choice, wait_ms) in steps {
            simulation.step(event, choice, wait_ms);
        }
        SETTINGS.check(RETENTION_MS).is_ok() && simulation.runs_at_most_once()
    }
}
