//! The two sites of the `examples` folder: their services, failure domains and tokens, and the
//! kinds of calls that their callers make.

use derive::{key, value};
use types::Class;

/// One kind of call of a plain service.
#[value]
pub struct CallKind {
    /// Name in reports and tables.
    pub title: &'static str,
    /// Bearer token of its callers, from the example configuration.
    pub token: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path, to which the name of each call is appended.
    pub path: &'static str,
    /// Query including the question mark; empty for none.
    pub query: &'static str,
    /// Class that the example configuration assigns to the token.
    pub class: Class,
    /// Whether a call may be run at most once, so that it carries an idempotency key.
    pub at_most_once: bool,
}

/// A site of the `examples` folder: one customer with its services.
#[value]
pub struct Site {
    /// Name of the customer that owns the services.
    pub customer: &'static str,
    /// Failure domains over which the VMs are spread.
    pub failure_domains: [&'static str; 3],
    /// Region of all VMs.
    pub region: &'static str,
    /// Name of the model service and its pool.
    pub model: &'static str,
    /// Name of the plain service and its pool.
    pub plain_service: &'static str,
    /// Name of the scorer service and its pool.
    pub scorer: &'static str,
    /// File of the configuration text, relative to the root of the repository.
    pub file: &'static str,
    /// Number of weight versions by which a training sample may lag behind the trainer.
    pub staleness_bound: u64,
    /// Bearer token of the trainer.
    pub trainer_token: &'static str,
    /// Bearer token for completions.
    pub model_token: &'static str,
    /// Beginning of each prompt; the name of the call follows.
    pub prompt: &'static str,
    /// Kinds of calls of the plain service. The first one is interactive: a person waits for it.
    pub call_kinds: Vec<CallKind>,
}

/// Name of a site on the command line.
#[key]
pub enum SiteName {
    /// The site of `examples/office.toml`.
    Office,
    /// The site of `examples/collective.toml`.
    Collective,
}

impl SiteName {
    /// Values of the flag `--site`.
    pub const NAMES: [&'static str; 2] = ["office", "collective"];

    /// Parses a value of the flag `--site`.
    pub fn parse(name: &str) -> Option<SiteName> {
        match name {
            "office" => Some(SiteName::Office),
            "collective" => Some(SiteName::Collective),
            _ => None,
        }
    }

    /// Names, tokens and kinds of calls of the site.
    pub fn site(self) -> Site {
        match self {
            SiteName::Office => office(),
            SiteName::Collective => collective(),
        }
    }
}

fn office() -> Site {
    Site {
        customer: "office",
        failure_domains: ["rennes-a", "brest-b", "vannes-c"],
        region: "bretagne",
        model: "redacteurs",
        plain_service: "guichet",
        scorer: "notation",
        file: "examples/office.toml",
        staleness_bound: 1,
        trainer_token: "office-trainer-example",
        model_token: "office-clerk-example",
        prompt: "Opinion on the opening hours of premises near a school, file",
        call_kinds: vec![
            CallKind {
                title: "consultation",
                token: "office-clerk-example",
                method: "GET",
                path: "/applicants/",
                query: "",
                class: Class::Interactive,
                at_most_once: false,
            },
            CallKind {
                title: "sanction check",
                token: "office-verifier-example",
                method: "POST",
                path: "/sanctions/",
                query: "",
                class: Class::Background,
                at_most_once: true,
            },
        ],
    }
}

fn collective() -> Site {
    Site {
        customer: "collective",
        failure_domains: ["kakkanad", "edappally", "aluva"],
        region: "kochi",
        model: "price-llm",
        plain_service: "auction-desk",
        scorer: "lot-scorer",
        file: "examples/collective.toml",
        staleness_bound: 2,
        trainer_token: "collective-trainer-example",
        model_token: "collective-kochi-example",
        prompt: "Price of a used car with one owner, lot",
        call_kinds: vec![
            CallKind {
                title: "valuation lookup",
                token: "collective-kochi-example",
                method: "GET",
                path: "/valuations/",
                query: "",
                class: Class::Interactive,
                at_most_once: false,
            },
            CallKind {
                title: "bid",
                token: "collective-thrissur-example",
                method: "POST",
                path: "/bids/",
                query: "",
                class: Class::Interactive,
                at_most_once: true,
            },
            CallKind {
                title: "stock sync",
                token: "collective-stock-sync-example",
                method: "PUT",
                path: "/stock/",
                query: "?items=200",
                class: Class::Background,
                at_most_once: false,
            },
        ],
    }
}
