//! Classes of requests and roles of token holders.

use std::fmt;

use derive::wire_key;

/// Class of a request; the order is the order of admission, first served first.
#[wire_key]
pub enum Class {
    /// Somebody waits: a clerk, a portal, a bid lookup.
    Interactive,
    /// A service works through a backlog: prior-sanction checks, stock sync.
    Background,
    /// Samples for a trainer.
    Sampling,
}

impl Class {
    /// Every class, in the order of admission.
    pub const ALL: [Class; 3] = [Class::Interactive, Class::Background, Class::Sampling];

    /// The class as it stands in a header, metric or log line.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Background => "background",
            Class::Sampling => "sampling",
        }
    }

    /// The class with this word, if there is one.
    pub fn parse(text: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.as_str() == text)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What the holder of a token may do.
#[wire_key]
pub enum Role {
    /// Call services.
    Caller,
    /// Post steps, fetch samples and announce weight versions.
    Trainer,
    /// Publish configuration, drain, roll back and read status.
    Operator,
}

impl Role {
    /// Every role.
    pub const ALL: [Role; 3] = [Role::Caller, Role::Trainer, Role::Operator];

    /// The role as it stands in the configuration.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Caller => "caller",
            Role::Trainer => "trainer",
            Role::Operator => "operator",
        }
    }

    /// The role with this word, if there is one.
    pub fn parse(text: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.as_str() == text)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
