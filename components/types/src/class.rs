//! Priority classes of requests and roles of token holders.

use std::fmt;

use derive::wire_key;

/// Priority class of a request. The variants are in the order of admission: an earlier class has
/// priority over a later one.
#[wire_key]
pub enum Class {
    /// A person or an online system waits for the answer: a clerk, a portal, a bid lookup.
    Interactive,
    /// A service processes a backlog: prior-sanction checks, stock sync.
    Background,
    /// Generates samples for a trainer.
    Sampling,
}

impl Class {
    /// All classes, in the order of admission.
    pub const ALL: [Class; 3] = [Class::Interactive, Class::Background, Class::Sampling];

    /// Name of the class in headers, metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Background => "background",
            Class::Sampling => "sampling",
        }
    }

    /// The class with this name, or `None` if no class has it.
    pub fn parse(text: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.as_str() == text)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Permissions of the holder of a bearer token.
#[wire_key]
pub enum Role {
    /// May call services.
    Caller,
    /// May post steps, fetch samples and announce weight versions.
    Trainer,
    /// May publish configuration, drain processes, roll back weights and read status.
    Operator,
}

impl Role {
    /// All roles, in no particular order.
    pub const ALL: [Role; 3] = [Role::Caller, Role::Trainer, Role::Operator];

    /// Name of the role in the configuration.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Caller => "caller",
            Role::Trainer => "trainer",
            Role::Operator => "operator",
        }
    }

    /// The role with this name, or `None` if no role has it.
    pub fn parse(text: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.as_str() == text)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
