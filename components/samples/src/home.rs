//! Chooses the entries that hold a step, its homes.
//!
//! The first home dispatches the step's runs and answers fetches; the second home holds
//! copies. Both are chosen by rendezvous hashing over the live entries, so that every
//! process computes the same two without communication and the loss of an entry moves only
//! that entry's steps. While the membership views of two processes differ, a step may have
//! two first homes at once. This costs additional runs, but the trainer's cursor prevents
//! duplicate samples.
//!
//! When one of the two homes is lost, the other remains one of the new two. A first home
//! that does not hold a step requests the copies from the second home. A first home with a
//! new second home sends it [`crate::Ledger::copies`].

use std::net::SocketAddr;

use derive::value;
use sha2::{Digest, Sha256};
use types::FailureDomain;

use crate::step::StepKey;

/// A live entry.
#[value]
pub struct Entry {
    /// Address for calls from other entries.
    pub address: SocketAddr,
    /// Failure domain of the entry's VM.
    pub failure_domain: FailureDomain,
}

/// The entries that hold a step.
#[value]
pub struct Homes {
    /// Dispatches the runs and answers fetches.
    pub first: SocketAddr,
    /// Holds copies of the post and the finished samples. In another failure domain than the
    /// first home if possible; `None` if only one entry is live.
    pub second: Option<SocketAddr>,
}

/// Chooses the homes of a step; `None` if no entry is live.
pub fn choose_homes(key: &StepKey, live: &[Entry]) -> Option<Homes> {
    let first = highest_hash(key, live.iter())?;
    let others = || live.iter().filter(|entry| entry.address != first.address);
    let other_domain = others().filter(|entry| entry.failure_domain != first.failure_domain);
    let second = highest_hash(key, other_domain).or_else(|| highest_hash(key, others()));
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
