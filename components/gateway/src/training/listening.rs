//! What an engine says of a run, and what it leaves when it is stopped or lost.

use std::collections::BTreeSet;
use std::time::Duration;

use adapters::sse::{Parser, Piece, Transcript};
use link::CallEvent;
use samples::{Completion, Fault, PartialSample, Provenance, RunId, Stamps, StepKey};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use types::WeightVersion;

use super::orders::{Order, RunFault, RunNews};
use super::run::fault;
use crate::attempt::Attempt;

const LINE_BYTES_MAX: usize = 256 * 1024;
const TEXT_BYTES_MAX: usize = 4 << 20;
const OK: u16 = 200;
/// Statuses from here on say that the engine failed, not that the request is wrong.
const SERVER_ERRORS: u16 = 500;
/// Least time between two reports of one run's progress, unless its version changed.
const PROGRESS_EVERY: Duration = Duration::from_millis(200);

/// The engine's answer is no whole answer.
fn lost() -> RunFault {
    RunFault {
        fault: Fault::Lost,
        at_replica: true,
    }
}

/// What was heard of a run so far, the tokens that it went on from included.
pub struct Listening {
    parser: Parser,
    before: Option<PartialSample>,
    said: Transcript,
    stamps: Stamps,
    stamped: BTreeSet<WeightVersion>,
    reported: Option<Instant>,
}

impl Listening {
    /// Nothing heard yet of a run that goes on from `before`.
    pub fn new(before: Option<&PartialSample>) -> Self {
        let stamps = match before {
            Some(partial) => Stamps::resumed_from(&partial.provenance),
            None => Stamps::new(),
        };
        Self {
            parser: Parser::new(LINE_BYTES_MAX),
            before: before.cloned(),
            said: Transcript::default(),
            stamps,
            stamped: BTreeSet::new(),
            reported: None,
        }
    }

    /// Listens until the run's end and reports its progress.
    pub async fn listen(
        &mut self,
        mut attempt: Attempt,
        key: &StepKey,
        run: RunId,
        orders: &mpsc::Sender<Order>,
        mut stop: oneshot::Receiver<()>,
    ) -> Result<(), RunFault> {
        loop {
            let event = tokio::select! {
                event = attempt.next() => event,
                Ok(()) = &mut stop => return Err(RunFault::plain(Fault::Moved)),
            };
            match event {
                CallEvent::Accepted | CallEvent::Started => {}
                CallEvent::Head(head) if head.status == OK => {}
                // The engine will say the same of this prompt again.
                CallEvent::Head(head) if head.status < SERVER_ERRORS => {
                    return Err(RunFault::plain(Fault::Quarantined));
                }
                CallEvent::Head(_) => return Err(lost()),
                CallEvent::Chunk(bytes) => {
                    let stamp = self.take(&bytes)?;
                    if let Some(news) = self.progress(stamp) {
                        // The next report says the same and more.
                        let _ = orders.try_send(Order::Run(key.clone(), run, news));
                    }
                }
                CallEvent::End if self.parser.is_complete() => return Ok(()),
                CallEvent::End => return Err(lost()),
                CallEvent::Failed(failure) => return Err(fault(failure)),
            }
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Result<Option<WeightVersion>, RunFault> {
        let mut latest = None;
        let (said, stamps) = (&mut self.said, &mut self.stamps);
        let pushed = self.parser.push(bytes, |piece: Piece| {
            said.add(&piece, TEXT_BYTES_MAX)?;
            if !piece.text.is_empty() || !piece.token_ids.is_empty() {
                stamps.record_chunk(piece.version);
                latest = piece.version.or(latest);
            } else if let Some(version) = piece.version
                && piece.finish.is_some()
                && said.pieces == 0
            {
                // An empty completion: the version that ended it made it. Unnamed, its
                // origin would be unknown and the slot run again for ever.
                stamps.record_chunk(Some(version));
            }
            Ok(())
        });
        pushed.map(|()| latest).map_err(|_| lost())
    }

    /// A report, if one is due.
    fn progress(&mut self, stamp: Option<WeightVersion>) -> Option<RunNews> {
        let new_version = stamp.is_some_and(|version| self.stamped.insert(version));
        let now = Instant::now();
        let due = self.reported.is_none_or(|at| now - at >= PROGRESS_EVERY);
        if !due && !new_version {
            return None;
        }
        self.reported = Some(now);
        let tokens = u64::from(self.tokens());
        Some(RunNews::Progress { tokens, stamp })
    }

    /// Tokens that this run made.
    pub fn tokens(&self) -> u32 {
        let named = u32::try_from(self.said.token_ids.len()).unwrap_or(u32::MAX);
        named.max(self.said.pieces)
    }

    /// The whole result.
    pub fn whole(self) -> Completion {
        let tokens = u64::from(self.tokens());
        Completion {
            text: self.text(),
            tokens,
            provenance: self.stamps.finish(),
        }
    }

    fn text(&self) -> String {
        let before = self.before.as_ref().map_or("", |partial| &partial.text);
        format!("{before}{}", self.said.text)
    }

    /// What the next run can go on from; nothing where the tokens have no ids.
    pub fn partial(self) -> Option<PartialSample> {
        let unnamed = self.said.token_ids.is_empty() && !self.said.text.is_empty();
        if unnamed {
            return self.before;
        }
        let text = self.text();
        let mut tokens = self.before.map_or_else(Vec::new, |partial| partial.tokens);
        tokens.extend(&self.said.token_ids);
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
