//! Reading a step's results and its items' bodies.
//!
//! A front answers for every step. It says that something does not exist only while its
//! knowledge of the index is younger than the time in which every front must know of it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use index::Index;
use platform::jobs::ResultsPage;
use platform::store::StoreError;
use steps::{DataLocation, ListedResult, ResultState, StepHead, decode_item};

use crate::clock::now_ms;
use crate::follow;
use crate::state::Front;
use crate::storage::data_read;

/// Bytes of a page after which no further result is added: peak memory against reads. A page
/// always has one result if there is one.
const PAGE_BYTES: usize = 192 * 1024;
/// Longest time for reading texts, in milliseconds.
const READ_MS: u64 = 1_200;
/// How long a read waits for more once it has a result, in milliseconds. A trainer reads again
/// after a pause, some 0.5 to 1 s. The long items that end a step start together and end within
/// a few tenths of a second, and each but the last would be answered alone and cost that pause.
const GATHER_MS: u64 = 400;
/// Time without a word of the store from which on texts are not asked for, in milliseconds: a read
/// of the index that waits for news comes back twice within it.
const SILENT_MS: u64 = 900;
/// Kibibytes asked for beyond the texts: their lengths, rounding.
const READ_EXTRA_KB: u32 = 2;

/// Answer to a read.
pub enum Read {
    /// This document.
    Found(Bytes),
    /// There is no such thing.
    Missing,
    /// This front can't be sure now.
    Unsure(&'static str),
}

impl Read {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Read::Found(_) => StatusCode::OK,
            Read::Missing => StatusCode::NOT_FOUND,
            Read::Unsure(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Whether this front knows all that everybody must know by now.
fn is_sure(front: &Front) -> bool {
    let age_ms = front.index_age_ms(now_ms());
    age_ms.is_some_and(|age_ms| age_ms + 100 < front.settings.bounds.settle_ms)
}

fn missing(front: &Front) -> Read {
    match is_sure(front) {
        true => Read::Missing,
        false => Read::Unsure("the log was not read lately"),
    }
}

/// What `look` finds in the index, which is read to its end first if it finds nothing.
pub async fn find<T>(front: &Front, look: impl Fn(&Index) -> Option<T>) -> Option<T> {
    let known = look(&front.index());
    if known.is_some() {
        return known;
    }
    follow::wait_until_index_current(front).await;
    look(&front.index())
}

struct Window {
    head: Arc<StepHead>,
    results: Vec<Arc<ListedResult>>,
    /// Whether nothing more is worth waiting for: all that the trainer waits for is listed.
    enough: bool,
}

fn window(index: &Index, customer: Option<&str>, id: &str, after: usize) -> Option<Window> {
    let step = index.ledger.find_visible(customer, id)?;
    Some(Window {
        head: Arc::clone(&step.head),
        results: step.results.iter().skip(after).cloned().collect(),
        enough: step.is_complete() || step.ended || step.has_enough_groups(),
    })
}

/// Results of a customer's step from a position on; waits up to `wait` for the first, and a
/// little for more.
pub async fn results(
    front: &Front,
    customer: Option<&str>,
    id: &str,
    after: usize,
    wait: Duration,
) -> Read {
    if front.storage.silent_ms(now_ms()) >= SILENT_MS {
        return Read::Unsure("the store is silent");
    }
    let _waiting = front.demand.begin_wait();
    let mut news = front.index_changes.subscribe();
    let mut until = tokio::time::Instant::now() + wait;
    let mut gathers = false;
    let found = loop {
        news.mark_unchanged();
        let found = find(front, |index| window(index, customer, id, after)).await;
        let Some(found) = found else {
            return missing(front);
        };
        if found.enough {
            break found;
        }
        if front.index_failing.load(Ordering::Relaxed) && !is_sure(front) {
            // Another front may be served; the trainer loses no second here.
            break found;
        }
        if !found.results.is_empty() && !gathers {
            gathers = true;
            until = until.min(tokio::time::Instant::now() + Duration::from_millis(GATHER_MS));
        }
        let changed = tokio::time::timeout_at(until, news.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            break found;
        }
    };
    if found.results.is_empty() && !is_sure(front) {
        return Read::Unsure("the log was not read lately");
    }
    match page(front, &found, after).await {
        Ok(page) => Read::Found(page.into()),
        Err(error) => {
            log::warn!(event = "texts-not-read", id, after, error:% = error; "");
            Read::Unsure("the texts cannot be read now")
        }
    }
}

async fn page(front: &Front, found: &Window, after: usize) -> Result<Vec<u8>, StoreError> {
    let mut page = ResultsPage::new(found.head.items.len());
    let mut rest = &found.results[..];
    while !rest.is_empty() && page.len_bytes() < PAGE_BYTES {
        let run = run_of_texts(rest, PAGE_BYTES.saturating_sub(page.len_bytes()));
        let (now, later) = rest.split_at(run);
        let texts = read_run(front, now).await?;
        for (result, text) in now.iter().zip(texts) {
            add(&mut page, &found.head, result, &text);
        }
        rest = later;
    }
    Ok(page.finish(after))
}

fn place(result: &ListedResult) -> Option<DataLocation> {
    match &result.state {
        ResultState::Succeeded { text, .. } => Some(*text),
        ResultState::Errored(_) => None,
    }
}

/// How many of the first results have texts that lie one behind the other.
fn run_of_texts(results: &[Arc<ListedResult>], bytes_max: usize) -> usize {
    let Some(first) = place(&results[0]) else {
        return 1;
    };
    let mut bytes = first.bytes as usize;
    let mut run = 1;
    while let Some(next) = results.get(run).and_then(|result| place(result)) {
        let follows = next.partition == first.partition && next.offset == first.offset + run as u64;
        bytes += next.bytes as usize;
        if !follows || bytes > bytes_max {
            break;
        }
        run += 1;
    }
    run
}

async fn read_run(front: &Front, run: &[Arc<ListedResult>]) -> Result<Vec<Bytes>, StoreError> {
    let places: Vec<DataLocation> = run.iter().filter_map(|result| place(result)).collect();
    let Some(first) = places.first() else {
        return Ok(vec![Bytes::new(); run.len()]);
    };
    let mut texts = Vec::with_capacity(places.len());
    while texts.len() < places.len() {
        let left = &places[texts.len()..];
        let bytes: u32 = left.iter().map(|place| place.bytes + 4).sum();
        let within = Duration::from_millis(READ_MS);
        let from = first.offset + texts.len() as u64;
        let kb = bytes / 1_024 + READ_EXTRA_KB;
        let page = front
            .storage
            .read(data_read(first.partition, from, kb), within)
            .await?;
        if page.records.is_empty() {
            return Err(StoreError::Malformed(format!("no record at {from}")));
        }
        texts.extend(page.records.into_iter().take(left.len()));
    }
    Ok(texts)
}

fn add(page: &mut ResultsPage, head: &StepHead, result: &ListedResult, text: &[u8]) {
    let id = &head.items[result.item as usize].id;
    match &result.state {
        ResultState::Succeeded {
            versions, score, ..
        } => {
            page.add_succeeded(id, &String::from_utf8_lossy(text), versions, score);
        }
        ResultState::Errored(_) => page.add_errored(id),
    }
}

/// The body of an item of a customer's step.
pub async fn item_body(front: &Front, customer: Option<&str>, id: &str, item: &str) -> Read {
    let place = find(front, |index| {
        let step = index.ledger.find_visible(customer, id)?;
        step.head.data_location(step.item_number(item)?)
    });
    let Some((partition, offset)) = place.await else {
        return missing(front);
    };
    let within = Duration::from_millis(READ_MS);
    let record = front
        .storage
        .read_data_record(partition, offset, 1, within)
        .await;
    let body = record.map(|record| decode_item(&record).map(|data| data.body));
    match body {
        Ok(Ok(body)) => Read::Found(body.into()),
        Ok(Err(error)) => {
            log::error!(event = "item-data-malformed", id, item, error:% = error; "");
            Read::Unsure("the item cannot be read")
        }
        Err(error) => {
            log::warn!(event = "item-not-read", id, item, error:% = error; "");
            Read::Unsure("the item cannot be read now")
        }
    }
}
