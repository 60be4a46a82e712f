//! Customer configuration: one TOML text per customer, published as records on the platform's log.
//!
//! Every reader of the log reaches the same verdict on each record and builds immutable look-up
//! tables for the request path from the accepted texts. This crate does no I/O and reads no clock.

// `quick_error!` recurses for each variant of an error; `ComplaintCause` needs more than the
// default limit of 128.
#![recursion_limit = "512"]

mod accepted;
mod chain;
mod check;
mod complaint;
mod cycle;
mod dependencies;
mod depth;
mod diff;
mod fields;
mod keep_scheduler;
mod ledger;
mod limit;
mod names;
mod parse;
mod parse_service;
mod parse_token;
mod pattern;
mod pending;
mod place;
mod recent_verdicts;
mod record;
mod rules;
mod service;
mod summary;
mod text;
mod text_check;
mod verdict;
mod view;

pub use accepted::{AcceptedVersion, VersionDigest};
pub use check::check;
pub use complaint::{Complaint, ComplaintCause, Complaints, Severity};
pub use customers::TokenDigest;
pub use dependencies::{UnmetCause, UnmetDependency};
pub use diff::line_diff;
pub use keep_scheduler::{KeepScheduler, KeepSettings};
pub use ledger::Ledger;
pub use limit::{
    DEADLINE_MS, DEPENDENCIES_MAX, DEPTH_MAX, IN_PROGRESS, PATTERNS_MAX, RECORD_BYTES_MAX,
    REQUESTS_PER_S, SERVICES_MAX, SHARED_MAX, STALENESS_BOUND, TEXT_BYTES_MAX, TOKENS_MAX,
    TOKENS_PER_S, WEIGHT,
};
pub use parse::{parse, parse_with_rules};
pub use pattern::{CallPattern, PatternError};
pub use place::Place;
pub use record::{Customers, ID_BYTES_MAX, Keep, Publish, Record, RecordError};
pub use rules::{RULES_NEWEST, Rules};
pub use service::{Dependency, Service, ServiceKind, ServiceRef};
pub use summary::{Change, Summary, summarize};
pub use text::{CustomerConfig, Limits, Schema, Token};
pub use verdict::{Refusal, Verdict};
pub use view::{CustomerView, TokenHolder, View};
