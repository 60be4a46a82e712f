//! Records the streamed answer of an engine to a run. A run that is stopped or lost leaves a
//! partial sample.

use std::collections::BTreeSet;
use std::time::Duration;

use adapters::sse::{Parser, Piece, Transcript};
use link::CallEvent;
use samples::{Completion, Fault, PartialSample, Provenance, RunId, Stamps, StepKey};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use types::WeightVersion;

use super::commands::{Command, RunFault, RunReport};
use super::run::run_fault;
use crate::attempt::Attempt;

const LINE_BYTES_MAX: usize = 256 * 1024;
const TEXT_BYTES_MAX: usize = 4 << 20;
const OK: u16 = 200;
/// Lowest status that means that the engine has failed, rather than that the request is invalid.
const SERVER_ERROR_MIN: u16 = 500;
/// Minimum interval between two progress reports of a run, unless the weight version has changed.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Fault of a run whose answer was malformed or incomplete.
fn lost_fault() -> RunFault {
    RunFault {
        fault: Fault::Lost,
        at_replica: true,
    }
}

/// Answer of a run so far, including the partial sample that the run resumes from.
pub struct RunRecorder {
    parser: Parser,
    resumed_from: Option<PartialSample>,
    transcript: Transcript,
    stamps: Stamps,
    reported_versions: BTreeSet<WeightVersion>,
    reported_at: Option<Instant>,
}

impl RunRecorder {
    /// Creates an empty recorder for a run that resumes from `resumed_from`.
    pub fn new(resumed_from: Option<&PartialSample>) -> Self {
        let stamps = match resumed_from {
            Some(partial) => Stamps::resumed_from(&partial.provenance),
            None => Stamps::new(),
        };
        Self {
            parser: Parser::new(LINE_BYTES_MAX),
            resumed_from: resumed_from.cloned(),
            transcript: Transcript::default(),
            stamps,
            reported_versions: BTreeSet::new(),
            reported_at: None,
        }
    }

    /// Reads the answer to its end and reports the progress.
    pub async fn record(
        &mut self,
        mut attempt: Attempt,
        key: &StepKey,
        run: RunId,
        commands: &mpsc::Sender<Command>,
        mut stop: oneshot::Receiver<()>,
    ) -> Result<(), RunFault> {
        loop {
            let event = tokio::select! {
                event = attempt.next() => event,
                Ok(()) = &mut stop => return Err(RunFault::not_at_replica(Fault::Moved)),
            };
            match event {
                CallEvent::Accepted | CallEvent::Started => {}
                CallEvent::Head(head) if head.status == OK => {}
                // The engine would refuse this prompt again.
                CallEvent::Head(head) if head.status < SERVER_ERROR_MIN => {
                    return Err(RunFault::not_at_replica(Fault::Quarantined));
                }
                CallEvent::Head(_) => return Err(lost_fault()),
                CallEvent::Chunk(bytes) => {
                    let stamp = self.push(&bytes)?;
                    if let Some(report) = self.progress_report(stamp) {
                        // If the queue is full, the report is skipped; the next one includes its
                        // tokens.
                        let _ = commands.try_send(Command::RunReport(key.clone(), run, report));
                    }
                }
                CallEvent::End if self.parser.is_complete() => return Ok(()),
                CallEvent::End => return Err(lost_fault()),
                CallEvent::Failed(failure) => return Err(run_fault(failure)),
            }
        }
    }

    fn push(&mut self, bytes: &[u8]) -> Result<Option<WeightVersion>, RunFault> {
        let mut latest = None;
        let (transcript, stamps) = (&mut self.transcript, &mut self.stamps);
        let pushed = self.parser.push(bytes, |piece: Piece| {
            transcript.add(&piece, TEXT_BYTES_MAX)?;
            if !piece.text.is_empty() || !piece.token_ids.is_empty() {
                stamps.record_chunk(piece.version);
                latest = piece.version.or(latest);
            } else if let Some(version) = piece.version
                && piece.finish.is_some()
                && transcript.pieces == 0
            {
                // The completion is empty, so its version is taken from the final chunk. Without a
                // version, the sample's provenance would be unknown and the slot would be run again
                // without end.
                stamps.record_chunk(Some(version));
            }
            Ok(())
        });
        pushed.map(|()| latest).map_err(|_| lost_fault())
    }

    /// Returns a progress report if one is due.
    fn progress_report(&mut self, stamp: Option<WeightVersion>) -> Option<RunReport> {
        let is_new_version = stamp.is_some_and(|version| self.reported_versions.insert(version));
        let now = Instant::now();
        let is_due = self
            .reported_at
            .is_none_or(|at| now - at >= PROGRESS_INTERVAL);
        if !is_due && !is_new_version {
            return None;
        }
        self.reported_at = Some(now);
        let tokens = u64::from(self.token_count());
        Some(RunReport::Progress { tokens, stamp })
    }

    /// Number of tokens generated by this run, without those of the partial sample that it resumed
    /// from.
    pub fn token_count(&self) -> u32 {
        let with_ids = u32::try_from(self.transcript.token_ids.len()).unwrap_or(u32::MAX);
        with_ids.max(self.transcript.pieces)
    }

    /// Returns the complete sample.
    pub fn into_completion(self) -> Completion {
        let tokens = u64::from(self.token_count());
        Completion {
            text: self.text(),
            tokens,
            provenance: self.stamps.finish(),
        }
    }

    fn text(&self) -> String {
        let prefix = self
            .resumed_from
            .as_ref()
            .map_or("", |partial| &partial.text);
        format!("{prefix}{}", self.transcript.text)
    }

    /// Returns the partial sample from which the next run can resume. Without token ids, this run's
    /// own tokens are left out. `None` if there are no tokens or their provenance is unknown.
    pub fn into_partial(self) -> Option<PartialSample> {
        let without_ids = self.transcript.token_ids.is_empty() && !self.transcript.text.is_empty();
        if without_ids {
            return self.resumed_from;
        }
        let text = self.text();
        let mut tokens = self
            .resumed_from
            .map_or_else(Vec::new, |partial| partial.tokens);
        tokens.extend(&self.transcript.token_ids);
        if tokens.is_empty() {
            return None;
        }
        match self.stamps.finish() {
            Provenance::NotKnown => None,
            provenance => Some(PartialSample {
                text,
                tokens,
                provenance,
            }),
        }
    }
}
