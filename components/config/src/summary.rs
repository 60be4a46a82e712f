//! Summarizes the changes between two configurations by limits, services and tokens rather than by
//! lines.

use std::fmt;

use derive::value;
use types::ServiceName;

use crate::{CustomerConfig, Service, Token};

/// Change of one service or token.
#[value]
pub enum Change {
    /// Exists only in the new configuration.
    Added(ServiceName),
    /// Exists only in the old configuration.
    Removed(ServiceName),
    /// Exists in both, with different values.
    Changed {
        /// Name of the service or token.
        name: ServiceName,
        /// Names of the fields with different values.
        fields: Vec<&'static str>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(name) => write!(f, "{name} added"),
            Change::Removed(name) => write!(f, "{name} removed"),
            Change::Changed { name, fields } => write!(f, "{name} changed: {}", fields.join(", ")),
        }
    }
}

/// Changes between two configurations.
#[value]
pub struct Summary {
    /// Names of the limits that changed.
    pub limits: Vec<&'static str>,
    /// Changed services: first the added and changed ones in the order of the new text, then the
    /// removed ones.
    pub services: Vec<Change>,
    /// Changed tokens, in the same order as the services.
    pub tokens: Vec<Change>,
}

impl Summary {
    /// Whether the texts differ only in layout and comments.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.services.is_empty() && self.tokens.is_empty()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "no change of meaning");
        }
        if !self.limits.is_empty() {
            writeln!(f, "limits changed: {}", self.limits.join(", "))?;
        }
        self.services
            .iter()
            .try_for_each(|change| writeln!(f, "service {change}"))?;
        self.tokens
            .iter()
            .try_for_each(|change| writeln!(f, "token {change}"))
    }
}

/// Returns the changes from `old` to `new`. Without `old`, every service and token counts as added.
pub fn summarize(old: Option<&CustomerConfig>, new: &CustomerConfig) -> Summary {
    let old_services = old.iter().flat_map(|text| &text.services);
    let old_tokens = old.iter().flat_map(|text| &text.tokens);
    let services = new.services.iter().map(|service| service.as_ref());
    Summary {
        limits: old.map_or_else(Vec::new, |old| limit_fields(old, new)),
        services: changes_by_name(
            old_services.map(|service| service.as_ref()),
            services,
            |service: &Service| &service.name,
            service_fields,
        ),
        tokens: changes_by_name(
            old_tokens,
            new.tokens.iter(),
            |token: &Token| &token.name,
            token_fields,
        ),
    }
}

fn changes_by_name<'t, T: 't>(
    old: impl Iterator<Item = &'t T>,
    new: impl Iterator<Item = &'t T>,
    name: impl Fn(&T) -> &ServiceName,
    fields: impl Fn(&T, &T) -> Vec<&'static str>,
) -> Vec<Change> {
    let (old, new): (Vec<&T>, Vec<&T>) = (old.collect(), new.collect());
    let find = |items: &[&'t T], wanted: &T| {
        items
            .iter()
            .copied()
            .find(|item| name(item) == name(wanted))
    };
    let mut changes = Vec::new();
    for item in &new {
        let Some(old_item) = find(&old, item) else {
            changes.push(Change::Added(name(item).clone()));
            continue;
        };
        let fields = fields(old_item, item);
        if !fields.is_empty() {
            let name = name(item).clone();
            changes.push(Change::Changed { name, fields });
        }
    }
    let removed = old.iter().filter(|item| find(&new, item).is_none());
    changes.extend(removed.map(|item| Change::Removed(name(item).clone())));
    changes
}

/// The names of the fields whose flag says that they are not equal.
fn changed_fields<const N: usize>(fields: [(&'static str, bool); N]) -> Vec<&'static str> {
    let changed = fields.into_iter().filter(|(_, is_equal)| !is_equal);
    changed.map(|(name, _)| name).collect()
}

fn limit_fields(old: &CustomerConfig, new: &CustomerConfig) -> Vec<&'static str> {
    let (old, new) = (old.limits, new.limits);
    changed_fields([
        ("weight", old.weight == new.weight),
        ("requests_per_s", old.requests_per_s == new.requests_per_s),
        ("in_progress", old.in_progress == new.in_progress),
        ("tokens_per_s", old.tokens_per_s == new.tokens_per_s),
    ])
}

fn service_fields(old: &Service, new: &Service) -> Vec<&'static str> {
    let old_targets = old.depends_on.iter().map(|edge| &edge.target);
    let new_targets = new.depends_on.iter().map(|edge| &edge.target);
    changed_fields([
        ("kind", old.kind == new.kind),
        ("pool", old.pool == new.pool),
        ("depends_on", old_targets.eq(new_targets)),
        ("shared_with", old.shared_with == new.shared_with),
        ("class", old.class == new.class),
        ("deadline_ms", old.deadline_ms == new.deadline_ms),
        (
            "staleness_bound",
            old.staleness_bound == new.staleness_bound,
        ),
        ("scorer", old.scorer == new.scorer),
        ("non_idempotent", old.non_idempotent == new.non_idempotent),
        ("idempotent", old.idempotent == new.idempotent),
    ])
}

fn token_fields(old: &Token, new: &Token) -> Vec<&'static str> {
    changed_fields([
        ("role", old.role == new.role),
        ("services", old.services == new.services),
        ("class", old.class == new.class),
        ("sha256", old.digest == new.digest),
    ])
}
