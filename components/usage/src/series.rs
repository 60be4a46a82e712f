use std::collections::BTreeMap;
use std::sync::Arc;

/// Upper bound on customers with a series of their own.
const OWN_SERIES_MAX: usize = 16;
/// A customer gets its own series once it has sent at least one in this many of all requests.
const OWN_SERIES_DIVISOR: u64 = 50;
/// Number of requests before any customer gets its own series, so that the first few requests do
/// not decide.
const WARM_UP_REQUESTS: u64 = 200;
/// Name of the series that counts all customers without their own.
const OTHERS_NAME: &str = "others";

/// Requests by customer for the metrics page, in a bounded number of series.
///
/// Large customers get their own series and keep it; it counts from the moment at which they got
/// it. The many small customers are counted together. As no series is ever removed or moved to
/// another, no counter decreases.
#[derive(Debug, Default)]
pub struct CustomerSeries {
    total: u64,
    others: u64,
    own: BTreeMap<Arc<str>, u64>,
    candidates: BTreeMap<Arc<str>, u64>,
}

impl CustomerSeries {
    /// Counts one request of a customer.
    pub fn note(&mut self, customer: &str) {
        self.total += 1;
        if let Some(own) = self.own.get_mut(customer) {
            *own += 1;
            return;
        }
        self.others += 1;
        if self.own.len() < OWN_SERIES_MAX {
            self.count_candidate(customer);
        }
    }

    fn count_candidate(&mut self, customer: &str) {
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
        if self.total >= WARM_UP_REQUESTS && requests * OWN_SERIES_DIVISOR >= self.total {
            self.candidates.remove(customer);
            self.own.insert(customer.into(), 0);
        }
        if self.own.len() == OWN_SERIES_MAX {
            self.candidates.clear();
        }
    }

    /// Name and count of each series.
    pub fn rows(&self) -> Vec<(String, u64)> {
        let own = self.own.iter();
        let own = own.map(|(customer, requests)| (customer.to_string(), *requests));
        own.chain([(OTHERS_NAME.to_owned(), self.others)]).collect()
    }
}
