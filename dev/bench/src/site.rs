//! The two sites of the examples: what they call, with which tokens, and what their
//! callers ask of it.

use derive::{key, value};
use types::Class;

/// One kind of call of a plain service.
#[value]
pub struct Act {
    /// What the caller calls it.
    pub title: &'static str,
    /// Bearer token.
    pub token: &'static str,
    /// Method.
    pub method: &'static str,
    /// Path before the call's own name.
    pub path: &'static str,
    /// Query, with its question mark.
    pub query: &'static str,
    /// Class that the configuration gives the token.
    pub class: Class,
    /// Whether it may run once only and so carries an idempotency key.
    pub once: bool,
}

/// A site of the examples.
#[value]
pub struct Site {
    /// Customer.
    pub customer: &'static str,
    /// Failure domains.
    pub failure_domains: [&'static str; 3],
    /// Region.
    pub region: &'static str,
    /// Model service.
    pub model: &'static str,
    /// Plain service.
    pub desk: &'static str,
    /// Scorer service.
    pub scorer: &'static str,
    /// Its configuration text, below the repository.
    pub file: &'static str,
    /// Versions that a sample may be behind.
    pub staleness_bound: u64,
    /// Token of the trainer.
    pub trainer_token: &'static str,
    /// Token that asks the model.
    pub model_token: &'static str,
    /// Beginning of a prompt.
    pub prompt: &'static str,
    /// What the callers call, the one that somebody waits for first.
    pub acts: Vec<Act>,
}

/// Name of a site on the command line.
#[key]
pub enum SiteName {
    /// The Office.
    Office,
    /// The Collective.
    Collective,
}

impl SiteName {
    /// Names on the command line.
    pub const WORDS: [&'static str; 2] = ["office", "collective"];

    /// The site with this name, if there is one.
    pub fn parse(word: &str) -> Option<SiteName> {
        match word {
            "office" => Some(SiteName::Office),
            "collective" => Some(SiteName::Collective),
            _ => None,
        }
    }

    /// The site.
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
        desk: "guichet",
        scorer: "notation",
        file: "examples/office.toml",
        staleness_bound: 1,
        trainer_token: "office-trainer-example",
        model_token: "office-clerk-example",
        prompt: "Opinion on the opening hours of premises near a school, file",
        acts: vec![
            Act {
                title: "consultation",
                token: "office-clerk-example",
                method: "GET",
                path: "/applicants/",
                query: "",
                class: Class::Interactive,
                once: false,
            },
            Act {
                title: "sanction check",
                token: "office-verifier-example",
                method: "POST",
                path: "/sanctions/",
                query: "",
                class: Class::Background,
                once: true,
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
        desk: "auction-desk",
        scorer: "lot-scorer",
        file: "examples/collective.toml",
        staleness_bound: 2,
        trainer_token: "collective-trainer-example",
        model_token: "collective-kochi-example",
        prompt: "Price of a used car with one owner, lot",
        acts: vec![
            Act {
                title: "valuation lookup",
                token: "collective-kochi-example",
                method: "GET",
                path: "/valuations/",
                query: "",
                class: Class::Interactive,
                once: false,
            },
            Act {
                title: "bid",
                token: "collective-thrissur-example",
                method: "POST",
                path: "/bids/",
                query: "",
                class: Class::Interactive,
                once: true,
            },
            Act {
                title: "stock sync",
                token: "collective-stock-sync-example",
                method: "PUT",
                path: "/stock/",
                query: "?items=200",
                class: Class::Background,
                once: false,
            },
        ],
    }
}
