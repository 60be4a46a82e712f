//! Every limit on a text, with its unit.

use std::ops::RangeInclusive;

/// Largest text, in bytes.
pub const TEXT_BYTES_MAX: usize = 256 * 1024;
/// Largest record on the log: a text in which each byte needs an escape of two, and
/// room for the other fields.
pub const RECORD_BYTES_MAX: usize = 2 * TEXT_BYTES_MAX + 4096;
/// Deepest nesting of tables and lists in a text.
pub const DEPTH_MAX: usize = 8;
/// Most services of a customer.
pub const SERVICES_MAX: usize = 200;
/// Most tokens of a customer.
pub const TOKENS_MAX: usize = 500;
/// Most dependencies of a service.
pub const DEPENDENCIES_MAX: usize = 64;
/// Most customers that a service is shared with.
pub const SHARED_MAX: usize = 500;
/// Most patterns of calls in one list.
pub const PATTERNS_MAX: usize = 64;
/// Share of a customer in the fair queue.
pub const WEIGHT: RangeInclusive<u64> = 1..=16;
/// Requests per second of a customer.
pub const REQUESTS_PER_S: RangeInclusive<u64> = 1..=100_000;
/// Requests in progress of a customer.
pub const IN_PROGRESS: RangeInclusive<u64> = 1..=100_000;
/// Tokens per second of a customer.
pub const TOKENS_PER_S: RangeInclusive<u64> = 1..=100_000_000;
/// Default deadline of calls to a service, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Staleness bound of a model's samples, in versions.
pub const STALENESS_BOUND: RangeInclusive<u64> = 0..=1_000;

/// Values of fields that a text leaves out.
pub(crate) mod default {
    pub(crate) const WEIGHT: u64 = 1;
    pub(crate) const REQUESTS_PER_S: u64 = 500;
    pub(crate) const IN_PROGRESS: u64 = 400;
    pub(crate) const TOKENS_PER_S: u64 = 200_000;
    pub(crate) const DEADLINE_MS: u64 = 30_000;
    pub(crate) const STALENESS_BOUND: u64 = 2;
}
