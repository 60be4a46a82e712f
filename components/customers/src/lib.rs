//! Customers of one version of the configuration, and whose a key is.
//!
//! The table is built with the routes of the same version and swapped with them, so that no
//! request sees the routes of one version and the keys of another. Keys are looked up by their
//! digest and are not kept: what is not there can't end in a log line, a metric or a record.
//!
//! What a table accepts: a customer without keys exists, as its steps go on after its last key
//! was taken away. A customer without a name, or with one that no header can carry, is passed
//! over. A key that two customers name opens neither: taken for one of them, it would show that
//! customer's work to the other.

mod digest;
mod mark;
mod table;

pub use digest::TokenDigest;
pub use mark::KeyMarks;
pub use table::{Customer, Customers, Entry, PresentedKey, Refusal};
