//! Idempotency keys: at most one of all submissions with the same key is run, through
//! whatever entries they come. The truth is the platform's log; this package is pure and
//! decides from its records and the process's monotonic clock.
//!
//! # Why a keyed call runs at most once
//!
//! Before it hands a keyed call over, an entry appends a claim to the key's shard, a
//! stream of the log. All readers see a shard's records in the same order, and the first
//! claim of a key wins. The entry runs the call only after a reader has found its own
//! claim to be the first. That another claim comes first is known at the claim's own
//! position in the stream, so the verdict never changes, and there is no lease that could
//! lapse: **nobody ever takes a won claim over**. If the winner dies, repeats are told
//! that the outcome is unknown, finally. A winner that is paused, however long, so has no
//! rival, and two writers of one shard, a lost append answer or a doubled record only
//! add records that lose.
//!
//! The winner may give a claim back as long as it has not begun ([`Record::Release`]).
//! It decides that once and for good in [`Holder`], which then never says
//! [`HolderStep::Run`]; claims behind the release may win.
//!
//! # Why forgetting is safe
//!
//! The log forgets, so a key lives `key_lifetime_ms`, and this is less than the log's
//! retention ([`ClaimSettings::check`]). No wall clocks and no clocks of two VMs are
//! compared. A reader forgets a key when it has held the key's newest claim for the whole
//! lifetime by its own monotonic clock. It read the claim after it was appended, so it
//! never forgets early, and one that starts late forgets later: a new claim then loses
//! against a key that others forgot, which costs a refusal and not a second run. Any
//! later claim of the key, even a losing one, starts the lifetime anew, because another
//! reader may have forgotten the first claim already and let the later one win.
//!
//! What is left is a winner that wakes after its key's lifetime, when another submission
//! may have won the key anew. It starts only within `start_within_ms` of the time when it
//! made its claim, by its own monotonic clock, which should count time asleep. This hole
//! stays: a VM whose clock stands still with it, stopped for longer than the lifetime
//! between its claim and its start.
//!
//! Offsets were weighed as the measure of age (a key dies N records later). All readers
//! would agree on the moment, but N records are an hour or a second depending on load,
//! and the lifetime that a caller is told would mean nothing.

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
