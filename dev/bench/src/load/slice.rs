//! One slice of a run: streams, trainer and faults side by side.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::balancer::Balancer;
use super::stream::{Drive, drive};
use super::tally::{Promises, Tally};
use super::training::{Progress, Trained, train};
use super::{LoadSettings, faults};
use crate::error::BenchError;
use crate::fleet::Fleet;
use crate::status;

const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A slice.
pub(super) struct Slice<'a> {
    pub(super) settings: &'a LoadSettings,
    pub(super) fleet: &'a Fleet,
    /// Which variant.
    pub(super) variant: usize,
    /// Which pair of slices; both of a pair have the same arrivals.
    pub(super) pair: u64,
}

impl Slice<'_> {
    /// Runs it to the last answer.
    pub(super) async fn run(
        &self,
        progress: &mut Progress,
    ) -> Result<(Tally, Trained, Promises), BenchError> {
        let (events, mut ended) = mpsc::unbounded_channel();
        let entries = self.entries();
        let addresses = self.addresses(&entries);
        let balancer = Arc::new(Balancer::new(addresses.clone()));
        let warm_up = Duration::from_millis(self.settings.warm_up_ms);
        let lasts = warm_up + Duration::from_millis(self.settings.slice_ms);
        let mut streams = JoinSet::new();
        let asked = self.settings.profile.streams(&self.settings.scale);
        for (number, stream) in asked.into_iter().enumerate() {
            streams.spawn(drive(
                stream,
                Drive {
                    balancer: balancer.clone(),
                    bursts: self.settings.bursts,
                    warm_up,
                    lasts,
                    seed: self.seed(number),
                    prefix: format!("p{}v{}s{number}", self.pair, self.variant),
                    events: events.clone(),
                },
            ));
        }
        drop(events);
        let faults = faults::run(self.fleet, &entries, &self.settings.faults);
        let site = &self.settings.profile.site;
        let training = async {
            match self.settings.trainer {
                true => train(site, &addresses, progress, lasts).await,
                false => Trained::default(),
            }
        };
        let answers = async {
            let mut tally = Tally::default();
            while let Some(event) = ended.recv().await {
                tally.take(event);
            }
            tally
        };
        let (failed, trained, tally) = tokio::join!(faults, training, answers);
        failed?;
        while streams.join_next().await.is_some() {}
        let promises = Promises::judge(&tally.once, &self.runs().await?);
        Ok((tally, trained, promises))
    }

    /// Numbers of the variant's entries.
    fn entries(&self) -> Vec<usize> {
        let first = self.variant * self.settings.entries;
        (first..first + self.settings.entries).collect()
    }

    fn addresses(&self, entries: &[usize]) -> Vec<SocketAddr> {
        let address = |&number: &usize| self.fleet.entries[number].address;
        entries.iter().map(address).collect()
    }

    fn seed(&self, stream: usize) -> u64 {
        let number = self.pair * 10_000 + stream as u64 + 1;
        self.settings.seed ^ number.wrapping_mul(SEED_STEP)
    }

    async fn runs(&self) -> Result<BTreeMap<String, u64>, BenchError> {
        status::runs(&self.fleet.standins.service_addresses()).await
    }
}
