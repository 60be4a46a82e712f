//! Idempotency keys: of all submissions with the same key, at most one is run, whichever entries
//! they arrive at. The platform's log is the source of truth. This crate does no I/O; it decides
//! from the log's records and the process's monotonic clock.
//!
//! # Why a keyed call runs at most once
//!
//! Before an entry hands a keyed call over to an endpoint, it appends a claim to the key's shard,
//! which is a stream of the log. All readers see the records of a shard in the same order, and the
//! first claim of a key wins. The entry runs the call only after a reader has found that its own
//! claim is the first one. Whether another claim precedes it is determined by the claim's position
//! in the stream, so the verdict never changes. There is no lease that could expire: **a won claim
//! is never taken over by another submission**. If the winner dies, repeats get the final answer
//! that the outcome is unknown. A winner that is paused, for however long, therefore has no rival.
//! Two writers of one shard, a lost answer to an append or a duplicate record only add claims that
//! lose.
//!
//! The winner may give a claim back as long as the call has not started ([`Record::Release`]).
//! [`ClaimHolder`] makes this decision once: after it, it never returns [`ClaimAction::Run`], and
//! claims after the release may win.
//!
//! # Why removing keys is safe
//!
//! The log has a limited retention, so a key lives for `key_lifetime_ms`, which is shorter than the
//! retention ([`ClaimSettings::check`]). The algorithm uses no wall clocks and never compares the
//! clocks of two VMs. A reader removes a key when it has held the key's newest claim for the whole
//! lifetime, measured on its own monotonic clock. It reads a claim after the claim was appended, so
//! it never removes a key too early. A reader that starts late removes the key later than others; a
//! new claim then loses against a key that others have removed, which costs a refusal but no second
//! run. Every later claim of the key, even a losing one, restarts the lifetime, because another
//! reader may have removed the first claim already and let the later one win.
//!
//! One risk remains: a winner that resumes after its key's lifetime, when another submission may
//! have won the key. The holder starts the call only within `start_within_ms` of creating its
//! claim, measured on its own monotonic clock, which should include time in suspend. This does not
//! cover a VM whose clock stops together with it for longer than the lifetime, between its claim
//! and its start.
//!
//! Offsets were considered as a measure of age (a key expires N records later). All readers would
//! agree on the moment, but N records can mean an hour or a second depending on load, so the
//! lifetime that callers are told would be meaningless.

mod batch;
mod digest;
mod holder;
mod record;
mod settings;
mod shard;
mod stream;
mod verdict;

pub use batch::{Batch, BatchFull};
pub use digest::{KeyDigest, RequestDigest};
pub use holder::{ClaimAction, ClaimHolder};
pub use record::{Answer, Body, Claim, Line, Outcome, Record, RecordError};
pub use settings::{ClaimSettings, SettingsError};
pub use shard::Shard;
pub use stream::{shard_of, stream_name, writers_of};
pub use verdict::{ClaimVerdict, RecordPosition, Verdict};
