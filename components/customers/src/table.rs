use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use derive::{key, value};

use crate::TokenDigest;

/// Longest key that is hashed, in bytes; a longer one is nobody's.
const KEY_BYTES_MAX: usize = 512;
/// Longest name of a customer, in bytes.
const NAME_BYTES_MAX: usize = 255;

/// A customer.
#[value]
pub struct Customer {
    /// Its name, which replicas and reports are told.
    pub name: Arc<str>,
    /// Its rank, 0 the highest; goes before the rank of a route.
    pub rank: Option<u8>,
}

/// A customer as the configuration names it.
pub struct Entry<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its keys.
    pub keys: &'a [String],
    /// Its rank, 0 the highest.
    pub rank: Option<u8>,
}

/// What a request shows of a key.
#[derive(Clone, Copy)]
pub enum PresentedKey<'a> {
    /// Nothing.
    Nothing,
    /// One key.
    One(&'a str),
    /// Several, or one that is no text. Which of them counts is nobody's guess.
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

/// Why a request has no customer.
#[key]
pub enum Refusal {
    /// It shows no key.
    Missing,
    /// It shows several keys, or one that is no text.
    Malformed,
    /// The key is nobody's.
    Unknown,
}

impl Refusal {
    /// The refusal as one word, for a log line.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Missing => "missing",
            Refusal::Malformed => "odd",
            Refusal::Unknown => "unknown",
        }
    }
}

/// Customers of one version of the configuration.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Customers {
    /// Whether requests must show a key.
    closed: bool,
    by_key: HashMap<TokenDigest, Arc<Customer>>,
    by_name: HashMap<Arc<str>, Arc<Customer>>,
}

impl Customers {
    /// The table of a configuration that knows no customers: everybody may call.
    pub fn unrestricted() -> Self {
        Self::default()
    }

    /// The table of a configuration that lists its customers.
    pub fn from_entries<'a>(entries: impl IntoIterator<Item = Entry<'a>>) -> Self {
        let mut table = Self {
            closed: true,
            ..Self::default()
        };
        let mut shared = HashSet::new();
        for entry in entries.into_iter().filter(|entry| is_name(entry.name)) {
            table.add(&entry, &mut shared);
        }
        table.by_key.retain(|digest, _| !shared.contains(digest));
        table
    }

    fn add(&mut self, entry: &Entry<'_>, shared: &mut HashSet<TokenDigest>) {
        let name: Arc<str> = entry.name.into();
        let customer = self.by_name.entry(Arc::clone(&name)).or_insert_with(|| {
            Arc::new(Customer {
                name,
                rank: entry.rank,
            })
        });
        for key in entry.keys.iter().filter(|key| !key.is_empty()) {
            let digest = TokenDigest::of(key);
            let before = self.by_key.insert(digest, Arc::clone(customer));
            if before.is_some_and(|before| before.name != customer.name) {
                shared.insert(digest);
            }
        }
    }

    /// Whose request this is; none where nobody need show a key.
    pub fn authenticate(&self, shown: PresentedKey<'_>) -> Result<Option<&Arc<Customer>>, Refusal> {
        if !self.closed {
            return Ok(None);
        }
        let key = match shown {
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

    /// The customer with this name.
    pub fn named(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Every customer.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// Number of keys that open something for a customer.
    pub fn key_count_of(&self, name: &str) -> usize {
        let holders = self.by_key.values();
        holders.filter(|holder| *holder.name == *name).count()
    }

    /// Number of keys that open something.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}

/// Whether a header can carry the name as it is.
fn is_name(name: &str) -> bool {
    let fits = (1..=NAME_BYTES_MAX).contains(&name.len());
    fits && name.bytes().all(|byte| byte.is_ascii_graphic())
}

impl fmt::Debug for Customers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut names: Vec<&Arc<str>> = self.by_name.keys().collect();
        names.sort();
        f.debug_struct("Customers")
            .field("closed", &self.closed)
            .field("names", &names)
            .field("keys", &self.by_key.len())
            .finish()
    }
}
