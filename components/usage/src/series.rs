use std::collections::BTreeMap;
use std::sync::Arc;

/// Customers with a series of their own, at most.
const OWN_MAX: usize = 16;
/// A customer gets a series of its own when it has one in so many of all requests.
const SHARE_OF: u64 = 50;
/// Requests before anybody gets one, so that the first few don't decide.
const WARM_UP: u64 = 200;
/// Name of the series of all others.
const OTHERS: &str = "others";

/// Requests by customer for the metrics page, of a bounded number of series.
///
/// The large customers have one each and keep it, counted from when they got it; the many small
/// ones are counted together. A counter so never falls.
#[derive(Debug, Default)]
pub struct CustomerSeries {
    all: u64,
    others: u64,
    own: BTreeMap<Arc<str>, u64>,
    candidates: BTreeMap<Arc<str>, u64>,
}

impl CustomerSeries {
    /// Counts a request of a customer.
    pub fn note(&mut self, customer: &str) {
        self.all += 1;
        if let Some(own) = self.own.get_mut(customer) {
            *own += 1;
            return;
        }
        self.others += 1;
        if self.own.len() < OWN_MAX {
            self.note_candidate(customer);
        }
    }

    fn note_candidate(&mut self, customer: &str) {
        let requests = match self.candidates.get_mut(customer) {
            Some(requests) => {
                *requests += 1;
                *requests
            }
            None => {
                self.candidates.insert(customer.into(), 1);
                1
            }
        };
        if self.all >= WARM_UP && requests * SHARE_OF >= self.all {
            self.candidates.remove(customer);
            self.own.insert(customer.into(), 0);
        }
        if self.own.len() == OWN_MAX {
            self.candidates.clear();
        }
    }

    /// The series with their counts.
    pub fn rows(&self) -> Vec<(String, u64)> {
        let own = self.own.iter();
        let own = own.map(|(customer, requests)| (customer.to_string(), *requests));
        own.chain([(OTHERS.to_owned(), self.others)]).collect()
    }
}
