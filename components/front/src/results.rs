//! Reads of a step's results and of the bodies of its items.
//!
//! Every front answers reads of every step, including steps that other fronts accepted. It answers
//! that a step or an item does not exist only if a read of the index that was sent after the request
//! arrived has reached the end of the index.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use index::{Index, LENGTH_PREFIX_BYTES};
use platform::jobs::ResultsPage;
use platform::store::StoreError;
use steps::{DataLocation, ListedResult, ResultState, StepHead, decode_item};

use crate::clock::now_ms;
use crate::follow::{Lookup, find_in_index};
use crate::state::Front;
use crate::storage::data_read;

/// Size of a page from which on no further result is added. A larger page needs more memory, a
/// smaller one more reads. A page has at least one result, whatever its size.
const PAGE_BYTES: usize = 192 * 1024;
/// Timeout of one read of texts.
const READ_TIMEOUT_MS: u64 = 1_200;
/// How long a read with a first result waits for more. A trainer pauses for 0.5 to 1 s between
/// reads. The long items at the end of a step start together and end within a few tenths of a
/// second; answered one by one, each of them would cost such a pause.
const GATHER_MS: u64 = 400;
/// Silence of the store after which reads are refused instead of waiting for a timeout. A long poll
/// of the index returns twice within this time.
const SILENT_MS: u64 = 900;
/// Limit on the size of one read of texts; a longer text is read in several.
const READ_BYTES_MAX: usize = 1024 * 1024;
/// Kibibytes added to a read of texts for the length prefixes of the records and for rounding.
const READ_EXTRA_KB: u32 = 2;

/// Outcome of a read of results or of an item's body.
pub enum ReadResult {
    /// Body of the answer.
    Found(Bytes),
    /// The step or the item does not exist.
    NotFound,
    /// This front cannot read the store, or its copy of the index is too old to rule out that the
    /// step exists. The text goes to the client.
    Unavailable(&'static str),
}

impl ReadResult {
    pub fn status(&self) -> StatusCode {
        match self {
            ReadResult::Found(_) => StatusCode::OK,
            ReadResult::NotFound => StatusCode::NOT_FOUND,
            ReadResult::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Whether this front has read the index recently enough to answer that a step has no new results,
/// which the trainer checks again with its next read.
fn is_index_fresh(front: &Front) -> bool {
    let age_ms = front.index_copy.age_ms(now_ms());
    age_ms.is_some_and(|age_ms| age_ms + 100 < front.settings.bounds.settle_ms)
}

/// The answer to a read of something that was not found; `Ok` if it was.
pub fn found_or_answer<T>(lookup: Lookup<T>) -> Result<T, ReadResult> {
    match lookup {
        Lookup::Found(found) => Ok(found),
        Lookup::Absent => Err(ReadResult::NotFound),
        Lookup::Unknown => Err(ReadResult::Unavailable("the log was not read lately")),
    }
}

/// Results of a step that are listed after the position that a trainer has read up to.
struct UnreadResults {
    head: Arc<StepHead>,
    results: Vec<Arc<ListedResult>>,
    /// Whether the read need not wait for further results: the step is complete, ended, or has as
    /// many complete groups as the trainer asked for.
    enough: bool,
}

fn unread_results(
    index: &Index,
    customer: Option<&str>,
    id: &str,
    after: usize,
) -> Option<UnreadResults> {
    let step = index.ledger.find_visible(customer, id)?;
    Some(UnreadResults {
        head: Arc::clone(&step.head),
        results: step.results.iter().skip(after).cloned().collect(),
        enough: step.is_complete() || step.ended || step.has_enough_groups(),
    })
}

/// Reads the results of a customer's step after the first `after` ones. Waits up to `wait` for the
/// first result, and then at most [`GATHER_MS`] for more.
pub async fn read_results(
    front: &Front,
    customer: Option<&str>,
    id: &str,
    after: usize,
    wait: Duration,
) -> ReadResult {
    if front.storage.silent_ms(now_ms()) >= SILENT_MS {
        return ReadResult::Unavailable("the store is silent");
    }
    let _waiting = front.demand.begin_wait();
    let mut index_changes = front.index_changes.subscribe();
    let mut wait_until = tokio::time::Instant::now() + wait;
    let mut is_gathering = false;
    let found = loop {
        index_changes.mark_unchanged();
        let found = find_in_index(front, |index| unread_results(index, customer, id, after)).await;
        let found = match found_or_answer(found) {
            Ok(found) => found,
            Err(answer) => return answer,
        };
        if found.enough {
            break found;
        }
        if front.index_copy.is_failing() && !is_index_fresh(front) {
            // Answer at once: another front may still reach the store, and the trainer can retry
            // there without waiting here first.
            break found;
        }
        if !found.results.is_empty() && !is_gathering {
            is_gathering = true;
            wait_until =
                wait_until.min(tokio::time::Instant::now() + Duration::from_millis(GATHER_MS));
        }
        let changed = tokio::time::timeout_at(wait_until, index_changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            break found;
        }
    };
    if found.results.is_empty() && !is_index_fresh(front) {
        return ReadResult::Unavailable("the log was not read lately");
    }
    match build_page(front, &found, after).await {
        Ok(page) => ReadResult::Found(page.into()),
        Err(error) => {
            log::warn!(event = "texts-not-read", id, after, error:% = error; "");
            ReadResult::Unavailable("the texts cannot be read now")
        }
    }
}

/// Builds the page with as many of the found results as fit.
async fn build_page(
    front: &Front,
    found: &UnreadResults,
    after: usize,
) -> Result<Vec<u8>, StoreError> {
    let mut page = ResultsPage::new(found.head.items.len());
    let mut rest = &found.results[..];
    while !rest.is_empty() && page.len_bytes() < PAGE_BYTES {
        let count = contiguous_count(rest, PAGE_BYTES.saturating_sub(page.len_bytes()));
        let (batch, later) = rest.split_at(count);
        let texts = read_texts(front, batch).await?;
        for (result, text) in batch.iter().zip(texts) {
            add_result(&mut page, &found.head, result, &text);
        }
        rest = later;
    }
    Ok(page.finish(after))
}

/// How many of the first results can be read at once because their texts are contiguous records of
/// one partition and take at most `bytes_max` together. At least 1.
fn contiguous_count(results: &[Arc<ListedResult>], bytes_max: usize) -> usize {
    let mut bytes = 0;
    let mut previous: Option<&DataLocation> = None;
    for (count, result) in results.iter().enumerate() {
        let parts = result.state.parts();
        for part in parts {
            if previous.is_some_and(|previous| !follows(previous, part)) {
                return count.max(1);
            }
            bytes += part.bytes as usize;
            previous = Some(part);
        }
        if count > 0 && (parts.is_empty() || bytes > bytes_max) {
            return count;
        }
        if parts.is_empty() {
            return 1;
        }
    }
    results.len()
}

/// Whether a record stands right behind another one.
fn follows(previous: &DataLocation, next: &DataLocation) -> bool {
    next.partition == previous.partition && next.offset == previous.offset + 1
}

/// Reads the texts of results. A result without a text gets an empty one.
async fn read_texts(
    front: &Front,
    results: &[Arc<ListedResult>],
) -> Result<Vec<Bytes>, StoreError> {
    let parts = results.iter().flat_map(|result| result.state.parts());
    let parts: Vec<DataLocation> = parts.copied().collect();
    let mut records = read_records(front, &parts).await?.into_iter();
    let text = |result: &Arc<ListedResult>| {
        let count = result.state.parts().len();
        let mut parts = records.by_ref().take(count);
        match count {
            0 | 1 => parts.next().unwrap_or_default(),
            _ => parts.collect::<Vec<Bytes>>().concat().into(),
        }
    };
    Ok(results.iter().map(text).collect())
}

/// Reads records of the data topic, contiguous ones together.
async fn read_records(front: &Front, locations: &[DataLocation]) -> Result<Vec<Bytes>, StoreError> {
    let mut records: Vec<Bytes> = Vec::with_capacity(locations.len());
    while let Some((first, later)) = locations[records.len()..].split_first() {
        let mut last = first;
        let mut bytes = first.bytes as usize + LENGTH_PREFIX_BYTES;
        let mut count = 1;
        for next in later {
            bytes += next.bytes as usize + LENGTH_PREFIX_BYTES;
            if !follows(last, next) || bytes > READ_BYTES_MAX {
                break;
            }
            last = next;
            count += 1;
        }
        let kb = (bytes.min(READ_BYTES_MAX) / 1_024) as u32 + READ_EXTRA_KB;
        let timeout = Duration::from_millis(READ_TIMEOUT_MS);
        let from = data_read(first.partition, first.offset, kb);
        let page = front.storage.read(from, timeout).await?;
        if page.records.is_empty() {
            let reason = format!(
                "reading texts of results: no record at offset {}",
                first.offset
            );
            return Err(StoreError::Malformed(reason));
        }
        records.extend(page.records.into_iter().take(count));
    }
    Ok(records)
}

fn add_result(page: &mut ResultsPage, head: &StepHead, result: &ListedResult, text: &[u8]) {
    let id = &head.items[result.item as usize].id;
    match &result.state {
        ResultState::Succeeded {
            versions, score, ..
        }
        | ResultState::SucceededInParts {
            versions, score, ..
        } => {
            page.add_succeeded(id, &String::from_utf8_lossy(text), versions, score);
        }
        ResultState::Errored(_) => page.add_errored(id),
    }
}

/// Reads the request body that the trainer submitted for an item of a customer's step.
pub async fn read_item_body(
    front: &Front,
    customer: Option<&str>,
    id: &str,
    item: &str,
) -> ReadResult {
    let location = find_in_index(front, |index| {
        let step = index.ledger.find_visible(customer, id)?;
        step.head.data_location(step.item_number(item)?)
    });
    let (partition, offset) = match found_or_answer(location.await) {
        Ok(location) => location,
        Err(answer) => return answer,
    };
    let timeout = Duration::from_millis(READ_TIMEOUT_MS);
    let record = front
        .storage
        .read_data_record(partition, offset, 1, timeout)
        .await;
    let body = record.map(|record| decode_item(&record).map(|data| data.body));
    match body {
        Ok(Ok(body)) => ReadResult::Found(body.into()),
        Ok(Err(error)) => {
            log::error!(event = "item-data-malformed", id, item, error:% = error; "");
            ReadResult::Unavailable("the item cannot be read")
        }
        Err(error) => {
            log::warn!(event = "item-not-read", id, item, error:% = error; "");
            ReadResult::Unavailable("the item cannot be read now")
        }
    }
}
