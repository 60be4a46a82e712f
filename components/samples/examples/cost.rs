//! Measures the size and the time per operation of cursors, grants and ledgers for three step
//! sizes.
//!
//! `cargo run --release -p samples --example cost`

use std::alloc::{GlobalAlloc, Layout, System};
use std::error::Error;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use samples::{
    Action, Completion, Cursor, CursorError, CursorKeys, FetchLog, Group, Ledger, LedgerSettings,
    Provenance, Replica, RunCapacity, SlotSet, Start, Step, StepKey,
};
use types::WeightVersion;

const SIZES: [u32; 3] = [512, 2_048, 4_096];
const SAMPLES_PER_GROUP: u32 = 8;
const REPLICAS: u16 = 60;
const TEXT_BYTES: usize = 4_096;
const ROUNDS: u32 = 9;

/// Allocator that counts the bytes in use.
struct CountingAllocator;

static BYTES_IN_USE: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[allow(unsafe_code)] // `GlobalAlloc` requires it; all calls are forwarded to `System`.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES_IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES_IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    cursors()?;
    grants()?;
    ledgers()
}

fn cursors() -> Result<(), Box<dyn Error>> {
    println!("slots received cursor_bytes seal_us open_us");
    let keys = CursorKeys::new([7; 32], None);
    for slots in SIZES {
        let step = step(slots)?;
        for (name, positions) in patterns(slots) {
            let cursor = Cursor::start(&step).with_received(positions);
            let text = cursor.seal(&keys);
            let seal = median(|| Ok::<_, CursorError>(cursor.seal(&keys)))?;
            let open = median(|| Cursor::open(&text, &keys, &step))?;
            println!("{slots} {name} {} {} {}", text.len(), us(seal), us(open));
        }
    }
    Ok(())
}

/// Largest grants of a trainer that cannot store a cursor.
fn grants() -> Result<(), Box<dyn Error>> {
    println!("slots grant_bytes");
    for slots in SIZES {
        let step = step(slots)?;
        let mut set = SlotSet::new(slots);
        (0..slots).step_by(2).for_each(|position| {
            set.insert(position);
        });
        let record = serde_json::to_string(&FetchLog::new(&step).grant(1, &set))?;
        println!("{slots} {}", record.len());
    }
    Ok(())
}

fn patterns(slots: u32) -> [(&'static str, Vec<u32>); 4] {
    let scattered = |position: &u32| position.wrapping_mul(2_654_435_761) >> 31 == 0;
    [
        ("none", Vec::new()),
        ("first-half", (0..slots / 2).collect()),
        ("scattered-half", (0..slots).filter(scattered).collect()),
        ("all", (0..slots).collect()),
    ]
}

fn ledgers() -> Result<(), Box<dyn Error>> {
    println!(
        "slots empty_bytes full_bytes texts_bytes dispatch_all_us dispatch_none_us \
         finish_us announce_us fetch_32_us fetch_all_us"
    );
    for slots in SIZES {
        let mut rows: Vec<[Duration; 6]> = Vec::new();
        let mut bytes = [0; 2];
        for _ in 0..ROUNDS {
            let (row, used) = one_step(slots)?;
            rows.push(row);
            bytes = used;
        }
        let column = |at: usize| {
            let mut times: Vec<Duration> = rows.iter().map(|row| row[at]).collect();
            times.sort();
            us(times[times.len() / 2])
        };
        let columns: Vec<String> = (0..6).map(column).collect();
        let texts = slots as usize * TEXT_BYTES;
        println!(
            "{slots} {} {} {texts} {}",
            bytes[0],
            bytes[1],
            columns.join(" ")
        );
    }
    Ok(())
}

fn one_step(slots: u32) -> Result<([Duration; 6], [usize; 2]), Box<dyn Error>> {
    let step = step(slots)?;
    let start = Cursor::start(&step);
    let settings = LedgerSettings {
        staleness_bound: 2,
        ..LedgerSettings::default()
    };
    let before = BYTES_IN_USE.load(Ordering::Relaxed);
    let mut ledger = Ledger::new(Arc::clone(&step), settings, &start, version(1));
    let empty = BYTES_IN_USE.load(Ordering::Relaxed) - before;
    let dispatch = time(|| ledger.dispatch(&room(u32::MAX), 0));
    let runs = starts(&mut ledger);
    let dispatch_none = time(|| ledger.dispatch(&room(0), 100));
    let finish = time(|| finish_all(&mut ledger, &runs)) / slots;
    drop(ledger.take_actions());
    let full = BYTES_IN_USE.load(Ordering::Relaxed) - before;
    let announce = time(|| ledger.announce(version(2), None, 200));
    let began = Instant::now();
    ledger.fetch(&start, version(2), 32, 200)?;
    let fetch_some = began.elapsed();
    let began = Instant::now();
    ledger.fetch(&start, version(2), slots, 200)?;
    let fetch_all = began.elapsed();
    let times = [
        dispatch,
        dispatch_none,
        finish,
        announce,
        fetch_some,
        fetch_all,
    ];
    Ok((times, [empty, full]))
}

fn finish_all(ledger: &mut Ledger, runs: &[Start]) {
    for start in runs {
        let completion = Completion {
            text: "x".repeat(TEXT_BYTES),
            tokens: 1_024,
            provenance: Provenance::Known([version(1)].into()),
        };
        ledger.record_completion(start.run, completion, 150);
    }
}

fn starts(ledger: &mut Ledger) -> Vec<Start> {
    let start = |action| match action {
        Action::Start(start) => Some(start),
        _ => None,
    };
    ledger
        .take_actions()
        .into_iter()
        .filter_map(start)
        .collect()
}

fn room(in_progress_max: u32) -> RunCapacity {
    let replica = |number| Replica {
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        free_runs: 128,
        version: Some(version(1)),
    };
    RunCapacity {
        in_progress_max,
        replicas: (0..REPLICAS).map(replica).collect(),
    }
}

fn step(slots: u32) -> Result<Arc<Step>, Box<dyn Error>> {
    let key = StepKey {
        customer: "office".parse()?,
        service: "redacteurs".parse()?,
        step: 1,
    };
    let group = |number| Group {
        prompt: format!("prompt {number}"),
        samples: SAMPLES_PER_GROUP,
    };
    let groups = (0..slots / SAMPLES_PER_GROUP).map(group).collect();
    Ok(Arc::new(Step::new(key, groups, 1_024)?))
}

fn version(version: u64) -> WeightVersion {
    WeightVersion { epoch: 1, version }
}

fn time(work: impl FnOnce()) -> Duration {
    let began = Instant::now();
    work();
    began.elapsed()
}

fn median<T, E>(mut work: impl FnMut() -> Result<T, E>) -> Result<Duration, E> {
    let mut times = Vec::new();
    for _ in 0..ROUNDS * 100 {
        let began = Instant::now();
        black_box(work()?);
        times.push(began.elapsed());
    }
    times.sort();
    Ok(times[times.len() / 2])
}

fn us(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1e6)
}
