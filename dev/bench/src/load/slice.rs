//! One slice of a run: the streams, the trainer and the faults run concurrently.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::balancer::Balancer;
use super::stream::{StreamRun, run_stream};
use super::tally::{Guarantees, Tally};
use super::training::{TrainingProgress, TrainingSummary, train};
use super::{LoadSettings, faults};
use crate::error::BenchError;
use crate::fleet::Fleet;
use crate::status;

/// 2^64 divided by the golden ratio: spreads the numbers of streams and pairs over all seeds.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The parameters of a slice.
pub(super) struct Slice<'a> {
    pub(super) settings: &'a LoadSettings,
    pub(super) fleet: &'a Fleet,
    /// Index of the variant.
    pub(super) variant: usize,
    /// Number of the pair of slices; both slices of a pair have the same arrivals.
    pub(super) pair: u64,
}

impl Slice<'_> {
    /// Runs the slice until the last answer and checks the guarantees.
    pub(super) async fn run(
        &self,
        progress: &mut TrainingProgress,
    ) -> Result<(Tally, TrainingSummary, Guarantees), BenchError> {
        let (events, mut received) = mpsc::unbounded_channel();
        let entries = self.entry_numbers();
        let addresses = self.addresses(&entries);
        let balancer = Arc::new(Balancer::new(addresses.clone()));
        let warm_up = Duration::from_millis(self.settings.warm_up_ms);
        let duration = warm_up + Duration::from_millis(self.settings.slice_ms);
        let mut streams = JoinSet::new();
        let definitions = self.settings.profile.streams(&self.settings.scale);
        for (number, stream) in definitions.into_iter().enumerate() {
            streams.spawn(run_stream(
                stream,
                StreamRun {
                    balancer: balancer.clone(),
                    bursts: self.settings.bursts,
                    warm_up,
                    duration,
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
                true => train(site, &addresses, progress, duration).await,
                false => TrainingSummary::default(),
            }
        };
        let answers = async {
            let mut tally = Tally::default();
            while let Some(event) = received.recv().await {
                tally.record(event);
            }
            tally
        };
        let (injected, training, tally) = tokio::join!(faults, training, answers);
        injected?;
        while streams.join_next().await.is_some() {}
        let guarantees = Guarantees::check(&tally.at_most_once, &self.run_counts().await?);
        Ok((tally, training, guarantees))
    }

    /// Indexes of the variant's entries in the fleet.
    fn entry_numbers(&self) -> Vec<usize> {
        let first = self.variant * self.settings.entries;
        (first..first + self.settings.entries).collect()
    }

    fn addresses(&self, entries: &[usize]) -> Vec<SocketAddr> {
        let address = |&number: &usize| self.fleet.entries[number].address;
        entries.iter().map(address).collect()
    }

    fn seed(&self, stream: usize) -> u64 {
        let number = self.pair * 10_000 + stream as u64 + 1;
        self.settings.seed ^ number.wrapping_mul(SEED_MULTIPLIER)
    }

    async fn run_counts(&self) -> Result<BTreeMap<String, u64>, BenchError> {
        status::run_counts(&self.fleet.standins.service_addresses()).await
    }
}
