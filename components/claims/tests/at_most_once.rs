//! Any interleaving of entries, readers, lost answers, pauses and forgetting.

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

/// The log, three readers of its one shard and every submission of one key.
struct World {
    now_ms: u64,
    log: Vec<(u64, String)>,
    readers: Vec<Shard>,
    holders: Vec<ClaimHolder>,
    /// Verdicts on their way; they arrive late, out of order or never.
    verdicts: Vec<ClaimVerdict>,
    starts_ms: Vec<u64>,
}

impl World {
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

    /// A new submission, whose claim reaches the log at once.
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

    /// A submission that asks one reader and starts if it has won.
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

    fn step(&mut self, kind: u8, which: u8, wait_ms: u16) {
        let which = usize::from(which);
        let latest = self.holders.len().max(1) - 1;
        let holder = latest.saturating_sub(which % 4);
        let reader = which % 3;
        let claim = self.holders.get(holder).map(|holder| *holder.claim());
        match kind % 14 {
            0 => self.submit(),
            1..=3 => self.run(reader),
            // The answer to the append was lost, maybe long ago.
            4 => self.append(claim.map(Record::Claim)),
            5 | 6 => self.read(reader),
            7 => self.deliver(which),
            8 | 9 => self.start(holder),
            10 => self.end(holder),
            11 => self.readers[reader] = Shard::new(SETTINGS),
            12 => self.now_ms += u64::from(wait_ms) % 60,
            _ => self.now_ms += u64::from(wait_ms) % 700,
        }
    }

    fn deliver(&mut self, which: usize) {
        if self.verdicts.is_empty() {
            return;
        }
        let placed = self.verdicts.remove(which % self.verdicts.len());
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

impl World {
    /// Two starts with one key are a key's lifetime apart, less the time to start.
    fn is_kept(&self) -> bool {
        let apart_ms = SETTINGS.key_lifetime_ms - SETTINGS.start_within_ms;
        let mut pairs = self.starts_ms.windows(2);
        pairs.all(|pair| pair[1] - pair[0] >= apart_ms)
    }
}

/// The caller's order runs once though it repeats it around the end of the key's lifetime.
/// Reader 0 forgets the first claim before reader 1 does, and lets the second one win;
/// when reader 1 forgets the first as well, the second must still hold the key there.
#[test]
fn can_forget_a_key_at_different_times() {
    let mut world = World::new();
    world.run(0);
    world.now_ms = 600;
    world.read(1);
    world.now_ms = 1_100;
    world.run(0);
    assert_eq!(world.starts_ms, [0, 1_100]);
    world.read(1);
    world.now_ms = 1_700;
    world.run(1);
    assert!(world.is_kept(), "{:?}", world.starts_ms);
}

checks::seeded! {
    fn runs_at_most_once_in_a_lifetime(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut world = World::new();
        for (kind, which, wait_ms) in steps {
            world.step(kind, which, wait_ms);
        }
        SETTINGS.check(RETENTION_MS).is_ok() && world.is_kept()
    }
}
