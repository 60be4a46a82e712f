//! Reducer over the log's stream `config`: computes each customer's accepted versions.
//!
//! A ledger may start at any offset, because the log has a limited retention, and may be filled by
//! peers, because the log may be unavailable. [`crate::Verdict`] describes the result for each
//! record; the module `chain` explains why no two ledgers disagree about the text of a version.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use types::CustomerName;

use crate::accepted::VersionedRecord;
use crate::chain::VersionChain;
use crate::parse::parse_published;
use crate::{AcceptedVersion, Customers, Keep, Publish, Record, Rules, Verdict, VersionDigest};

/// Maximum size of the publishes held back for all customers together, in bytes.
const PENDING_BYTES_MAX: usize = 8 * 1024 * 1024;

/// State of one reader of the log.
#[derive(Clone, Debug)]
pub struct Ledger {
    next_offset: u64,
    /// No record from this offset up to `next_offset` was missed.
    complete_from: u64,
    /// Offset at which customers without an entry in `chains` are known to have no version; `None`
    /// while that is unknown.
    listed_from: Option<u64>,
    chains: BTreeMap<CustomerName, VersionChain>,
}

impl Ledger {
    /// Creates a ledger whose reader starts at `first_offset`: 0 if the log still has all its
    /// records, else the oldest offset that it keeps.
    pub fn starting_at(first_offset: u64) -> Self {
        Self {
            next_offset: first_offset,
            complete_from: first_offset,
            listed_from: (first_offset == 0).then_some(0),
            chains: BTreeMap::new(),
        }
    }

    /// The first offset that has not been read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Applies a record of the log from its JSON text. A malformed record has no effect at any
    /// reader.
    pub fn apply_json(&mut self, offset: u64, data: &str) -> Verdict {
        match Record::from_json(data) {
            Ok(record) => self.apply(offset, &record),
            Err(error) => match self.advance(offset) {
                true => Verdict::Unreadable(error),
                false => Verdict::AlreadyRead,
            },
        }
    }

    /// Applies a record of the log. Offsets are contiguous: an offset above [`Ledger::next_offset`]
    /// means that the records between them have been removed.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Verdict {
        if !self.advance(offset) {
            return Verdict::AlreadyRead;
        }
        match record {
            Record::Publish(publish) => self.apply_publish(offset, publish),
            Record::Keep(keep) => {
                // A keep record can only make statements about offsets before its own; a later
                // `through` is ignored.
                let through = keep.through.filter(|&through| through <= offset);
                self.apply_keep(keep, through, VersionChain::apply_logged_proof)
            }
            Record::Customers(customers) if customers.through <= offset => {
                self.adopt_customers(customers)
            }
            Record::Customers(_) => Verdict::Known,
            Record::Unknown => Verdict::UnknownKind,
        }
    }

    /// Skips to `first_offset` because the log has removed all records before it. Versions that
    /// depend on unread records become uncertain.
    pub fn skip_to(&mut self, first_offset: u64) {
        if first_offset <= self.next_offset {
            return;
        }
        self.next_offset = first_offset;
        self.complete_from = first_offset;
        self.listed_from = self.listed_from.filter(|&from| from >= first_offset);
        for chain in self.chains.values_mut() {
            chain.mark_gap(first_offset);
        }
    }

    /// Applies a peer's current version of a customer, as returned by [`Ledger::keep_record`].
    pub fn adopt(&mut self, keep: &Keep) -> Verdict {
        self.apply_keep(keep, keep.through, VersionChain::apply_peer_proof)
    }

    /// Applies a list of customers from a peer or from the log, as returned by
    /// [`Ledger::customers_record`].
    pub fn adopt_customers(&mut self, customers: &Customers) -> Verdict {
        let through = customers.through;
        let is_newer = match self.listed_from {
            Some(from) => through > from.max(self.next_offset),
            None => through >= self.complete_from,
        };
        if !is_newer {
            return Verdict::Known;
        }
        for name in &customers.names {
            self.chain_mut(name);
        }
        let next_offset = self.next_offset;
        let listed: HashSet<&CustomerName> = customers.names.iter().collect();
        for (name, chain) in &mut self.chains {
            if !listed.contains(name) {
                chain.apply_anchor(None, through, next_offset);
            }
        }
        self.listed_from = Some(through);
        Verdict::Known
    }

    /// The customer's newest version that this reader knows to be accepted. The version never
    /// decreases.
    pub fn current(&self, customer: &CustomerName) -> Option<&Arc<AcceptedVersion>> {
        self.chains.get(customer)?.newest_known()
    }

    /// The newest known version of each customer, sorted by customer name.
    pub fn all(&self) -> impl Iterator<Item = &Arc<AcceptedVersion>> {
        self.chains.values().filter_map(VersionChain::newest_known)
    }

    /// Whether [`Ledger::current`] is known to be the current version at this reader's offset (or
    /// at the offset of the peer that it was adopted from), rather than only the highest proved
    /// one. Also true if the customer is known to have no version.
    pub fn is_certain(&self, customer: &CustomerName) -> bool {
        match self.chains.get(customer) {
            Some(chain) => chain.certain_up_to(self.next_offset).is_some(),
            None => self.listed_from.is_some(),
        }
    }

    /// Whether [`Ledger::is_certain`] holds for every customer.
    pub fn is_complete(&self) -> bool {
        let certain = |chain: &VersionChain| chain.certain_up_to(self.next_offset).is_some();
        self.listed_from.is_some() && self.chains.values().all(certain)
    }

    /// The verdict on the customer's newest publish with this id, if it is still remembered.
    pub fn verdict(&self, customer: &CustomerName, id: &str) -> Option<&Verdict> {
        self.chains.get(customer)?.verdict(id)
    }

    /// Versions and digests that other processes compare with their own.
    pub fn digests(&self) -> Vec<VersionDigest> {
        self.all()
            .map(|accepted| accepted.version_digest())
            .collect()
    }

    /// Returns a keep record of the customer's version, to send to a peer or to append to the log
    /// again.
    pub fn keep_record(&self, customer: &CustomerName) -> Option<Keep> {
        let chain = self.chains.get(customer)?;
        let held = chain.newest_known()?;
        Some(Keep {
            customer: customer.clone(),
            version: held.version,
            id: held.id.clone(),
            rules: held.rules,
            text: held.source.to_string(),
            through: chain.certain_up_to(self.next_offset),
        })
    }

    /// Returns the list of customers, to send to a peer or to append to the log again; `None` while
    /// the list could be incomplete.
    pub fn customers_record(&self) -> Option<Customers> {
        let through = self.listed_from?.max(self.next_offset);
        // A list adopted from a peer that has read more of the log may name customers whose first
        // version this reader does not have yet. A list without them, stated for the peer's offset,
        // would let other readers accept a second first version.
        let is_known = |chain: &VersionChain| {
            let up_to = chain.certain_up_to(self.next_offset);
            chain.newest_known().is_some() || up_to.is_some_and(|up_to| up_to >= through)
        };
        if !self.chains.values().all(is_known) {
            return None;
        }
        let names = self.all().map(|accepted| accepted.customer.clone());
        Some(Customers {
            through,
            names: names.collect(),
        })
    }

    /// Advances the reader past `offset`; returns false if the offset was read before.
    fn advance(&mut self, offset: u64) -> bool {
        if offset < self.next_offset {
            return false;
        }
        self.skip_to(offset);
        self.next_offset = offset + 1;
        true
    }

    fn apply_publish(&mut self, offset: u64, publish: &Publish) -> Verdict {
        let pending = self.chains.values().map(VersionChain::pending_bytes);
        let available_bytes = PENDING_BYTES_MAX.saturating_sub(pending.sum());
        let chain = self.chain_mut(&publish.customer);
        chain.apply_publish(offset, publish, available_bytes)
    }

    /// Applies a keep record. `unanchored` handles a record that does not state up to which offset
    /// its version was current.
    fn apply_keep(
        &mut self,
        keep: &Keep,
        through: Option<u64>,
        unanchored: impl Fn(&mut VersionChain, Arc<AcceptedVersion>) -> Verdict,
    ) -> Verdict {
        if keep.version == 0 {
            return Verdict::Known;
        }
        let next_offset = self.next_offset;
        let chain = self.chain_mut(&keep.customer);
        let accepted = match read_keep(keep, chain.newest_known()) {
            Ok(accepted) => accepted,
            Err(verdict) => return verdict,
        };
        match through {
            Some(through) => chain.apply_anchor(Some(accepted), through, next_offset),
            None => unanchored(chain, accepted),
        }
    }

    fn chain_mut(&mut self, customer: &CustomerName) -> &mut VersionChain {
        let (listed_from, complete_from) = (self.listed_from, self.complete_from);
        let new = || VersionChain::new(listed_from, complete_from);
        self.chains.entry(customer.clone()).or_insert_with(new)
    }
}

/// Parses the text of a keep record, unless it is the version that the reader already holds.
fn read_keep(
    keep: &Keep,
    held: Option<&Arc<AcceptedVersion>>,
) -> Result<Arc<AcceptedVersion>, Verdict> {
    let is_held_version = |held: &&Arc<AcceptedVersion>| {
        let same_text = held.version == keep.version && *held.source == *keep.text;
        same_text && held.id == keep.id
    };
    if let Some(held) = held.filter(is_held_version) {
        return Ok(Arc::clone(held));
    }
    let rules_named = Rules::of(keep.rules);
    let origin = format!("{} version {}", keep.customer, keep.version);
    // The text was accepted under newer rules than this binary knows; the parts that it can read
    // are still useful.
    let rules = rules_named.unwrap_or_else(Rules::newest);
    let config = parse_published(rules, &keep.customer, &keep.text, &origin);
    let config = config.map_err(|_| match rules_named {
        Some(_) => Verdict::Conflict {
            version: keep.version,
            held: held.map_or(0, |held| held.version),
        },
        None => Verdict::RulesTooNew { rules: keep.rules },
    })?;
    let record = VersionedRecord {
        customer: &keep.customer,
        version: keep.version,
        id: &keep.id,
        rules: keep.rules,
        source: &keep.text,
    };
    Ok(Arc::new(AcceptedVersion::new(record, config)))
}
