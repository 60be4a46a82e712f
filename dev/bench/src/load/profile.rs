//! Load profiles of the two sites: numbers of endpoints and rates of requests.

use derive::value;
use types::Class;

use super::stream::{RequestKind, Stream};
use crate::fleet::texts;
use crate::site::{CallKind, Site, SiteName};

const SECONDS_PER_KS: u64 = 1_000;
const COMPLETION_TOKENS_MAX: u32 = 48;

/// Number of endpoints and rates of requests of a site.
#[value]
pub struct Profile {
    /// Site that the profile belongs to.
    pub site: Site,
    /// Number of model engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub services: usize,
    /// Number of scorers.
    pub scorers: usize,
    /// Requests per second of each kind of call, in the order of `Site::call_kinds`.
    pub calls_per_s: Vec<u64>,
    /// Completions per second.
    pub completions_per_s: u64,
    /// Deadline of each kind of call, in the order of `Site::call_kinds`.
    pub call_deadlines_ms: Vec<u64>,
}

/// Changes to the load of a profile.
#[value]
pub struct Scale {
    /// Load of the site's owner in thousandths of the profile's.
    pub load_permille: u64,
    /// Number of neighbours. Together they cause a quarter of the owner's load, in equal shares.
    pub neighbours: usize,
    /// Factor by which the first neighbour's share is multiplied.
    pub greedy: u64,
}

impl Profile {
    /// Profile of a site. The endpoints match the site's described size; the rates are assumptions.
    pub fn for_site(name: SiteName) -> Profile {
        let site = name.site();
        match name {
            SiteName::Office => Profile {
                site,
                engines: 10,
                services: 6,
                scorers: 2,
                calls_per_s: vec![60, 15],
                completions_per_s: 8,
                call_deadlines_ms: vec![5_000, 5_000],
            },
            SiteName::Collective => Profile {
                site,
                engines: 10,
                services: 10,
                scorers: 2,
                calls_per_s: vec![90, 20, 20],
                completions_per_s: 10,
                call_deadlines_ms: vec![3_000, 3_000, 5_000],
            },
        }
    }

    /// Streams of the site's owner and of its neighbours.
    pub fn streams(&self, scale: &Scale) -> Vec<Stream> {
        let owner = Sender {
            customer: self.site.customer.to_owned(),
            token: None,
            owner: "",
        };
        let mut streams = self.streams_of(&owner, scale.load_permille);
        for number in 0..scale.neighbours {
            let factor = if number == 0 { scale.greedy } else { 1 };
            let share = scale.load_permille * factor / (4 * scale.neighbours.max(1) as u64);
            let neighbour = Sender {
                customer: texts::neighbour_name(number),
                token: Some(texts::neighbour_token(number)),
                owner: self.site.customer,
            };
            let mut neighbour_streams = self.streams_of(&neighbour, share);
            // Neighbours send no calls that must run at most once: only the owner makes those.
            neighbour_streams.retain(
                |stream| !matches!(&stream.kind, RequestKind::Call(kind) if kind.at_most_once),
            );
            streams.extend(neighbour_streams);
        }
        streams
    }

    fn streams_of(&self, sender: &Sender, load_permille: u64) -> Vec<Stream> {
        let kinds = self.site.call_kinds.iter().zip(&self.calls_per_s);
        let kinds = kinds.zip(&self.call_deadlines_ms);
        let mut streams: Vec<Stream> = kinds
            .map(|((kind, per_s), deadline_ms)| Stream {
                customer: sender.customer.clone(),
                class: kind.class,
                token: sender.token(kind),
                service: sender.service(self.site.plain_service),
                kind: RequestKind::Call(kind.clone()),
                rate_per_ks: per_s * SECONDS_PER_KS * load_permille / 1_000,
                deadline_ms: *deadline_ms,
            })
            .collect();
        let token = sender.token.clone();
        streams.push(Stream {
            customer: sender.customer.clone(),
            class: Class::Interactive,
            token: token.unwrap_or_else(|| self.site.model_token.to_owned()),
            service: sender.service(self.site.model),
            kind: RequestKind::Completion {
                prompt: self.site.prompt,
                max_tokens: COMPLETION_TOKENS_MAX,
            },
            rate_per_ks: self.completions_per_s * SECONDS_PER_KS * load_permille / 1_000,
            deadline_ms: 10_000,
        });
        streams
    }
}

/// The customer that sends a stream.
struct Sender {
    customer: String,
    /// Token of all its requests; `None` for the token that belongs to each kind of call.
    token: Option<String>,
    /// Customer that owns the services, if that is not the sender itself; else empty.
    owner: &'static str,
}

impl Sender {
    fn token(&self, kind: &CallKind) -> String {
        let token = self.token.clone();
        token.unwrap_or_else(|| kind.token.to_owned())
    }

    fn service(&self, name: &str) -> String {
        match self.owner {
            "" => name.to_owned(),
            owner => format!("{owner}.{name}"),
        }
    }
}
