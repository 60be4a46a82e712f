//! Customers of one version of the configuration, and their authentication by key.
//!
//! The table is built together with the routes of the same version and replaced together with
//! them, so that no request sees the routes of one version and the keys of another. The table
//! stores digests of the keys instead of the keys, so that a key can't appear in a log line, a
//! metric or a record.
//!
//! Rules for the entries of a table:
//!
//! - A customer without keys is valid, because its steps continue after its last key was revoked.
//! - A customer without a name, or with a name that no header can carry, is skipped.
//! - A key that two customers list authenticates neither. If it authenticated one of them, the
//!   other could see that customer's work.

mod digest;
mod mark;
mod table;

pub use digest::TokenDigest;
pub use mark::KeyMarks;
pub use table::{Customer, Customers, Entry, PresentedKey, Refusal};
