//! The reducer over the stream `config`: each customer's accepted versions.
//!
//! A ledger may begin at any offset, as the log forgets, and may be filled by peers,
//! as the log may be down. See [`crate::Verdict`] for what it says of each record, and
//! the module `chain` for why no two ledgers differ on the text of a version.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use types::CustomerName;

use crate::accepted::VersionedRecord;
use crate::chain::VersionChain;
use crate::parse::parse_published;
use crate::{AcceptedVersion, Customers, Keep, Publish, Record, Rules, Verdict, VersionDigest};

/// Publishes that are held back for all customers together, in bytes.
const PENDING_BYTES_MAX: usize = 8 * 1024 * 1024;

/// What one reader of the log knows.
#[derive(Clone, Debug)]
pub struct Ledger {
    next_offset: u64,
    /// No record at or after this offset was missed.
    complete_from: u64,
    /// Customers without a chain have no version at this offset.
    listed_from: Option<u64>,
    chains: BTreeMap<CustomerName, VersionChain>,
}

impl Ledger {
    /// A ledger whose reader begins at `first_offset`: 0 for a log that has forgotten
    /// nothing, else the oldest offset that it keeps.
    pub fn starting_at(first_offset: u64) -> Self {
        Self {
            next_offset: first_offset,
            complete_from: first_offset,
            listed_from: (first_offset == 0).then_some(0),
            chains: BTreeMap::new(),
        }
    }

    /// The first offset that was not read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Takes in a record of the log as bytes; an unreadable one counts for nobody.
    pub fn apply_json(&mut self, offset: u64, data: &str) -> Verdict {
        match Record::from_json(data) {
            Ok(record) => self.apply(offset, &record),
            Err(error) => match self.advance(offset) {
                true => Verdict::Unreadable(error),
                false => Verdict::AlreadyRead,
            },
        }
    }

    /// Takes in a record of the log. Offsets are contiguous: a higher one than the next
    /// says that the records between are gone.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Verdict {
        if !self.advance(offset) {
            return Verdict::AlreadyRead;
        }
        match record {
            Record::Publish(publish) => self.apply_publish(offset, publish),
            Record::Keep(keep) => {
                // Written after what it states was read, or it states nothing.
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

    /// Says that the log keeps nothing before `first_offset`.
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

    /// Takes in a peer's current version of a customer, from [`Ledger::keep_record`].
    pub fn adopt(&mut self, keep: &Keep) -> Verdict {
        self.apply_keep(keep, keep.through, VersionChain::apply_peer_proof)
    }

    /// Takes in a peer's list of customers, from [`Ledger::customers_record`].
    pub fn adopt_customers(&mut self, customers: &Customers) -> Verdict {
        let through = customers.through;
        let news = match self.listed_from {
            Some(from) => through > from.max(self.next_offset),
            None => through >= self.complete_from,
        };
        if !news {
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

    /// The customer's accepted version as far as it is known here; never goes back.
    pub fn current(&self, customer: &CustomerName) -> Option<&Arc<AcceptedVersion>> {
        self.chains.get(customer)?.newest_known()
    }

    /// The accepted versions of all customers, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &Arc<AcceptedVersion>> {
        self.chains.values().filter_map(VersionChain::newest_known)
    }

    /// Whether the version in [`Ledger::current`] (or that there is none) is known to be
    /// the newest that was read, rather than the newest that was proved.
    pub fn is_certain(&self, customer: &CustomerName) -> bool {
        match self.chains.get(customer) {
            Some(chain) => chain.certain_up_to(self.next_offset).is_some(),
            None => self.listed_from.is_some(),
        }
    }

    /// Whether that holds for every customer.
    pub fn is_complete(&self) -> bool {
        let certain = |chain: &VersionChain| chain.certain_up_to(self.next_offset).is_some();
        self.listed_from.is_some() && self.chains.values().all(certain)
    }

    /// The verdict on the customer's last publish with this id, as far as remembered.
    pub fn verdict(&self, customer: &CustomerName, id: &str) -> Option<&Verdict> {
        self.chains.get(customer)?.verdict(id)
    }

    /// What other processes compare with their own.
    pub fn digests(&self) -> Vec<VersionDigest> {
        self.all()
            .map(|accepted| accepted.version_digest())
            .collect()
    }

    /// The customer's version for a peer, or to be appended again.
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

    /// The list of customers for a peer, or to be appended again; `None` while a
    /// customer could be missing from it.
    pub fn customers_record(&self) -> Option<Customers> {
        let through = self.listed_from?.max(self.next_offset);
        // A list from a peer that has read further names customers whose first version
        // this reader has yet to learn: a list without them, for the peer's offset,
        // would let others accept a second first version.
        let known = |chain: &VersionChain| {
            let up_to = chain.certain_up_to(self.next_offset);
            chain.newest_known().is_some() || up_to.is_some_and(|up_to| up_to >= through)
        };
        if !self.chains.values().all(known) {
            return None;
        }
        let names = self.all().map(|accepted| accepted.customer.clone());
        Some(Customers {
            through,
            names: names.collect(),
        })
    }

    /// Moves behind `offset`; false if that was read already.
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
        let room_bytes = PENDING_BYTES_MAX.saturating_sub(pending.sum());
        let chain = self.chain_mut(&publish.customer);
        chain.apply_publish(offset, publish, room_bytes)
    }

    /// `unanchored` takes in a version that was not said to be the current one.
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

/// Reads a kept text, unless it is the one that is held.
fn read_keep(
    keep: &Keep,
    held: Option<&Arc<AcceptedVersion>>,
) -> Result<Arc<AcceptedVersion>, Verdict> {
    let same = |held: &&Arc<AcceptedVersion>| {
        let same_text = held.version == keep.version && *held.source == *keep.text;
        same_text && held.id == keep.id
    };
    if let Some(held) = held.filter(same) {
        return Ok(Arc::clone(held));
    }
    let known = Rules::of(keep.rules);
    let origin = format!("{} version {}", keep.customer, keep.version);
    // Somebody who knows newer rules accepted it; what can be read of it is of use.
    let rules = known.unwrap_or_else(Rules::newest);
    let text = parse_published(rules, &keep.customer, &keep.text, &origin);
    let text = text.map_err(|_| match known {
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
    Ok(Arc::new(AcceptedVersion::new(record, text)))
}
