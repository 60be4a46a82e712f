//! Records of another writer among those of the replicas.

use crate::floods::flooded_site;
use crate::process::Process;
use crate::small_calls::SmallCaller;

/// Records of another writer among those of the replicas, in all longer than the memory of the
/// process that reads them.
const FOREIGN_RECORDS: usize = 400;
const FOREIGN_RECORD_BYTES: usize = 200_000;
const READER_MEMORY_MB: u64 = 64;

/// Guards against a process that is killed for its memory when it starts, because it keeps a list that
/// is longer than its memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_long_list_of_foreign_records_stays_within_the_memory_of_the_process() {
    let small = SmallCaller::start();
    let (store, replicas) = flooded_site(small.replica).await;
    let value = "x".repeat(FOREIGN_RECORD_BYTES);
    for number in 0..FOREIGN_RECORDS {
        let key = format!("foreign-{number}");
        store.put("keyed.servers", &key, Some(&value));
    }
    store.trim("keyed.servers", 0);
    let process = Process::start_ready(&store, replicas, READER_MEMORY_MB).await;
    small.begin(process.clients);
    let small = small.end();
    let peak_mb = process.peak_mb();
    println!("peak {peak_mb} MB, {} small calls", small.before.len());
    assert!(peak_mb <= READER_MEMORY_MB, "peak {peak_mb} MB");
}
