use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use derive::{key, value};

use crate::TokenDigest;

/// Maximum length of a key in bytes. Longer keys are refused without being hashed.
const KEY_BYTES_MAX: usize = 512;
/// Maximum length of a customer's name in bytes.
const NAME_BYTES_MAX: usize = 255;

/// A customer that the table knows.
#[value]
pub struct Customer {
    /// Name that is sent to replicas and written in usage reports.
    pub name: Arc<str>,
    /// Rank of the customer's requests, 0 is the highest; overrides the rank of a route.
    pub rank: Option<u8>,
}

/// A customer as listed in the configuration.
pub struct Entry<'a> {
    /// Name of the customer; an entry with an invalid name is skipped.
    pub name: &'a str,
    /// Keys that authenticate the customer; empty keys are skipped.
    pub keys: &'a [String],
    /// Rank of the customer's requests, 0 is the highest; `None` leaves the rank to the route.
    pub rank: Option<u8>,
}

/// The key that a request presents.
#[derive(Clone, Copy)]
pub enum PresentedKey<'a> {
    /// The request presents no key.
    Nothing,
    /// The request presents one key.
    One(&'a str),
    /// The request presents several keys, none of which is chosen, or a key that is not text.
    Malformed,
}

impl fmt::Debug for PresentedKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PresentedKey::Nothing => "Nothing",
            PresentedKey::One(_) => "One",
            PresentedKey::Malformed => "Odd",
        })
    }
}

/// Why a request could not be authenticated.
#[key]
pub enum Refusal {
    /// The request presents no key.
    Missing,
    /// The request presents several keys, or a key that is not text.
    Malformed,
    /// No customer has the key, or several customers list it.
    Unknown,
}

impl Refusal {
    /// The refusal as the value of a log field.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Missing => "missing",
            Refusal::Malformed => "odd",
            Refusal::Unknown => "unknown",
        }
    }
}

/// Customers of one version of the configuration, by key digest and by name.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Customers {
    /// Whether requests must present a key.
    requires_key: bool,
    by_key: HashMap<TokenDigest, Arc<Customer>>,
    by_name: HashMap<Arc<str>, Arc<Customer>>,
}

impl Customers {
    /// The table of a configuration that has no list of customers: requests need no key.
    pub fn unrestricted() -> Self {
        Self::default()
    }

    /// The table of a configuration that lists its customers. Requests need a key even if the list
    /// is empty.
    pub fn from_entries<'a>(entries: impl IntoIterator<Item = Entry<'a>>) -> Self {
        let mut table = Self {
            requires_key: true,
            ..Self::default()
        };
        let mut ambiguous = HashSet::new();
        for entry in entries
            .into_iter()
            .filter(|entry| is_valid_name(entry.name))
        {
            table.add(&entry, &mut ambiguous);
        }
        table.by_key.retain(|digest, _| !ambiguous.contains(digest));
        table
    }

    fn add(&mut self, entry: &Entry<'_>, ambiguous: &mut HashSet<TokenDigest>) {
        let name: Arc<str> = entry.name.into();
        let customer = self.by_name.entry(Arc::clone(&name)).or_insert_with(|| {
            Arc::new(Customer {
                name,
                rank: entry.rank,
            })
        });
        for key in entry.keys.iter().filter(|key| !key.is_empty()) {
            let digest = TokenDigest::of(key);
            let previous = self.by_key.insert(digest, Arc::clone(customer));
            if previous.is_some_and(|previous| previous.name != customer.name) {
                ambiguous.insert(digest);
            }
        }
    }

    /// The customer that a presented key authenticates; `None` if requests need no key.
    pub fn authenticate(
        &self,
        presented: PresentedKey<'_>,
    ) -> Result<Option<&Arc<Customer>>, Refusal> {
        if !self.requires_key {
            return Ok(None);
        }
        let key = match presented {
            PresentedKey::Nothing => return Err(Refusal::Missing),
            PresentedKey::Malformed => return Err(Refusal::Malformed),
            PresentedKey::One(key) => key,
        };
        if key.len() > KEY_BYTES_MAX {
            return Err(Refusal::Unknown);
        }
        let holder = self.by_key.get(&TokenDigest::of(key));
        holder.map(Some).ok_or(Refusal::Unknown)
    }

    /// Finds a customer by name.
    pub fn named(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// All customers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// Number of keys that authenticate a customer.
    pub fn key_count_of(&self, name: &str) -> usize {
        let holders = self.by_key.values();
        holders.filter(|holder| *holder.name == *name).count()
    }

    /// Number of keys that authenticate any customer.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}

/// Whether a header can carry the name unchanged.
fn is_valid_name(name: &str) -> bool {
    let fits = (1..=NAME_BYTES_MAX).contains(&name.len());
    fits && name.bytes().all(|byte| byte.is_ascii_graphic())
}

impl fmt::Debug for Customers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut names: Vec<&Arc<str>> = self.by_name.keys().collect();
        names.sort();
        f.debug_struct("Customers")
            .field("closed", &self.requires_key)
            .field("names", &names)
            .field("keys", &self.by_key.len())
            .finish()
    }
}
