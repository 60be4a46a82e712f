//! Which entries hold a step.
//!
//! Rendezvous hashing over the live entries: each process computes the same two without
//! asking, and the loss of an entry moves only its own steps. Two views that differ for
//! a moment give a step two homes at once, which costs work; the trainer's cursor keeps
//! its samples from being doubled.
//!
//! When one of the two is lost, the other is again one of the new two. A first home that
//! doesn't hold a step asks the second for its copies; a first home with a new second
//! sends it [`crate::Ledger::copies`].

use std::net::SocketAddr;

use derive::value;
use sha2::{Digest, Sha256};
use types::FailureDomain;

use crate::step::StepKey;

/// A live entry.
#[value]
pub struct Entry {
    /// Its inner address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

/// The entries that hold a step.
#[value]
pub struct Homes {
    /// Dispatches the runs and answers fetches.
    pub first: SocketAddr,
    /// Holds prompts and finished samples; in another failure domain if there is one.
    pub second: Option<SocketAddr>,
}

/// Homes of a step; `None` without live entries.
pub fn choose_homes(key: &StepKey, live: &[Entry]) -> Option<Homes> {
    let first = highest_hash(key, live.iter())?;
    let others = || live.iter().filter(|entry| entry.address != first.address);
    let elsewhere = others().filter(|entry| entry.failure_domain != first.failure_domain);
    let second = highest_hash(key, elsewhere).or_else(|| highest_hash(key, others()));
    Some(Homes {
        first: first.address,
        second: second.map(|entry| entry.address),
    })
}

fn highest_hash<'a>(key: &StepKey, entries: impl Iterator<Item = &'a Entry>) -> Option<&'a Entry> {
    entries.max_by_key(|entry| (rendezvous_hash(key, entry.address), entry.address))
}

fn rendezvous_hash(key: &StepKey, address: SocketAddr) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(key.customer.as_str());
    hash.update([0]);
    hash.update(key.service.as_str());
    hash.update([0]);
    hash.update(key.step.to_be_bytes());
    hash.update(address.to_string());
    hash.finalize().into()
}
