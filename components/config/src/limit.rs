//! Limits on the size and the values of a configuration text.

use std::ops::RangeInclusive;

/// Maximum size of a text, in bytes.
pub const TEXT_BYTES_MAX: usize = 256 * 1024;
/// Maximum size of a record on the log, in bytes: a text in which every byte needs a two-byte
/// escape, plus 4096 bytes for the other fields.
pub const RECORD_BYTES_MAX: usize = 2 * TEXT_BYTES_MAX + 4096;
/// Maximum nesting depth of tables and lists in a text.
pub const DEPTH_MAX: usize = 8;
/// Maximum number of services of a customer.
pub const SERVICES_MAX: usize = 200;
/// Maximum number of tokens of a customer.
pub const TOKENS_MAX: usize = 500;
/// Maximum number of dependencies of a service.
pub const DEPENDENCIES_MAX: usize = 64;
/// Maximum number of customers that a service is shared with.
pub const SHARED_MAX: usize = 500;
/// Maximum number of call patterns in one list.
pub const PATTERNS_MAX: usize = 64;
/// Allowed weights of a customer in fair queueing.
pub const WEIGHT: RangeInclusive<u64> = 1..=16;
/// Allowed request rates of a customer, in requests per second.
pub const REQUESTS_PER_S: RangeInclusive<u64> = 1..=100_000;
/// Allowed numbers of concurrent requests of a customer.
pub const IN_PROGRESS: RangeInclusive<u64> = 1..=100_000;
/// Allowed token rates of a customer, in tokens per second.
pub const TOKENS_PER_S: RangeInclusive<u64> = 1..=100_000_000;
/// Allowed default deadlines of calls to a service, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Allowed staleness bounds of a model's samples, in versions.
pub const STALENESS_BOUND: RangeInclusive<u64> = 0..=1_000;

/// Defaults of fields that a text does not set.
pub(crate) mod default {
    pub(crate) const WEIGHT: u64 = 1;
    pub(crate) const REQUESTS_PER_S: u64 = 500;
    pub(crate) const IN_PROGRESS: u64 = 400;
    pub(crate) const TOKENS_PER_S: u64 = 200_000;
    pub(crate) const DEADLINE_MS: u64 = 30_000;
    pub(crate) const STALENESS_BOUND: u64 = 2;
}
