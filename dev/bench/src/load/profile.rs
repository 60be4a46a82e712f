//! Profiles of load from the sizes of the two sites.

use derive::value;
use types::Class;

use super::stream::{Stream, What};
use crate::fleet::texts;
use crate::site::{Act, Site, SiteName};

const PER_KS: u64 = 1_000;
const MAX_TOKENS: u32 = 48;

/// Sizes and rates of a site.
#[value]
pub struct Profile {
    /// The site.
    pub site: Site,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Scorers.
    pub scorers: usize,
    /// Requests a second of each act, in their order.
    pub acts_per_s: Vec<u64>,
    /// Completions a second.
    pub completions_per_s: u64,
    /// Deadline of each act, in their order.
    pub acts_deadline_ms: Vec<u64>,
}

/// How a profile is changed.
#[value]
pub struct Scale {
    /// Load in thousandths of the profile's.
    pub load_permille: u64,
    /// Neighbours, each with a small load of its own.
    pub neighbours: usize,
    /// Factor on the first neighbour's load.
    pub greedy: u64,
}

impl Profile {
    /// Profile of a site, after the brief's sizes; the rates are assumed.
    pub fn of(name: SiteName) -> Profile {
        let site = name.site();
        match name {
            SiteName::Office => Profile {
                site,
                engines: 10,
                services: 6,
                scorers: 2,
                acts_per_s: vec![60, 15],
                completions_per_s: 8,
                acts_deadline_ms: vec![5_000, 5_000],
            },
            SiteName::Collective => Profile {
                site,
                engines: 10,
                services: 10,
                scorers: 2,
                acts_per_s: vec![90, 20, 20],
                completions_per_s: 10,
                acts_deadline_ms: vec![3_000, 3_000, 5_000],
            },
        }
    }

    /// The streams of the site and of its neighbours.
    pub fn streams(&self, scale: &Scale) -> Vec<Stream> {
        let owner = Asker {
            customer: self.site.customer.to_owned(),
            token: None,
            prefix: "",
        };
        let mut streams = self.asked_by(&owner, scale.load_permille);
        for number in 0..scale.neighbours {
            let factor = if number == 0 { scale.greedy } else { 1 };
            let share = scale.load_permille * factor / (4 * scale.neighbours.max(1) as u64);
            let neighbour = Asker {
                customer: texts::neighbour(number),
                token: Some(texts::neighbour_token(number)),
                prefix: self.site.customer,
            };
            let mut asked = self.asked_by(&neighbour, share);
            // Only lookups and completions: the rest is the owner's own business.
            asked.retain(|stream| !matches!(&stream.what, What::Act(act) if act.once));
            streams.extend(asked);
        }
        streams
    }

    fn asked_by(&self, asker: &Asker, load_permille: u64) -> Vec<Stream> {
        let acts = self.site.acts.iter().zip(&self.acts_per_s);
        let acts = acts.zip(&self.acts_deadline_ms);
        let mut streams: Vec<Stream> = acts
            .map(|((act, per_s), deadline_ms)| Stream {
                customer: asker.customer.clone(),
                class: act.class,
                token: asker.token(act),
                service: asker.service(self.site.desk),
                what: What::Act(act.clone()),
                per_ks: per_s * PER_KS * load_permille / 1_000,
                deadline_ms: *deadline_ms,
            })
            .collect();
        let token = asker.token.clone();
        streams.push(Stream {
            customer: asker.customer.clone(),
            class: Class::Interactive,
            token: token.unwrap_or_else(|| self.site.model_token.to_owned()),
            service: asker.service(self.site.model),
            what: What::Completion {
                prompt: self.site.prompt,
                max_tokens: MAX_TOKENS,
            },
            per_ks: self.completions_per_s * PER_KS * load_permille / 1_000,
            deadline_ms: 10_000,
        });
        streams
    }
}

struct Asker {
    customer: String,
    token: Option<String>,
    /// Owner of the services, where that is another customer.
    prefix: &'static str,
}

impl Asker {
    fn token(&self, act: &Act) -> String {
        let token = self.token.clone();
        token.unwrap_or_else(|| act.token.to_owned())
    }

    fn service(&self, name: &str) -> String {
        match self.prefix {
            "" => name.to_owned(),
            owner => format!("{owner}.{name}"),
        }
    }
}
