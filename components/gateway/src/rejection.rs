//! Why a request is answered with a problem document instead of its answer. Every
//! variant maps to one [`Failure`], and so to an outcome and a cause.

use quick_error::quick_error;
use samples::{CursorError, FetchError, PostError, StepError};
use types::{Cause, CustomerName, Failure, Role, ServiceName, WeightVersion};
use weights::AnnounceError;

quick_error! {
    /// A request that ends without its answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Rejection {
        /// No bearer token, or one that nobody holds.
        Unauthenticated {
            display("no token, or a token that nobody holds")
        }
        /// The holder's role does not allow this.
        Role(needed: Role) {
            display("this needs a token of role {}", needed)
        }
        /// The holder may not call this service.
        NotAllowed(owner: CustomerName, service: ServiceName) {
            display("the holder of this token may not call {}.{}", owner, service)
        }
        /// No such service.
        UnknownService(service: String) {
            display("there is no service '{}'", service)
        }
        /// The service is of another kind than the path needs.
        WrongKind(needed: &'static str) {
            display("this path serves services of kind {} only", needed)
        }
        /// No such path.
        UnknownPath {
            display("there is nothing at this path")
        }
        /// The path takes other methods.
        Method(allowed: &'static str) {
            display("this path takes {} only", allowed)
        }
        /// A header with a value that is not allowed.
        Header(name: &'static str, allowed: &'static str) {
            display("the header {} is not well formed: allowed is {}", name, allowed)
        }
        /// A header whose value is no text.
        HeaderText {
            display("the value of a header is not UTF-8")
        }
        /// A body that is not what the path takes.
        Body(reason: BodyFault) {
            display("the body is not well formed: {}", reason)
        }
        /// A body over the limit.
        TooLarge(bytes_max: usize) {
            display("the body has more than {} bytes", bytes_max)
        }
        /// The caller's connection ended before its body did.
        BodyInterrupted {
            display("the body ended before its stated end")
        }
        /// A weight version that is not taken.
        Announcement(reason: AnnounceError) {
            display("{}", reason)
        }
        /// A version named ahead of time where none was announced: a process that knows no
        /// version could only put it in force.
        NoActiveVersion(service: ServiceName) {
            display("no version of {} is known to be in force; announce one first", service)
        }
        /// A trainer names a version as its own that nobody has announced.
        VersionNotAnnounced(named: WeightVersion, known: WeightVersion) {
            display("version {} is not announced; the newest one known is {}", named, known)
        }
        /// A post that is no step.
        Step(reason: StepError) {
            display("{}", reason)
            from()
        }
        /// A step that is known with another content.
        Post(reason: PostError) {
            display("{}", reason)
            from()
        }
        /// A cursor that is not of this step.
        Cursor(reason: CursorError) {
            display("{}", reason)
            from()
        }
        /// A fetch that gets nothing.
        Fetch(reason: FetchError) {
            display("{}", reason)
            from()
        }
        /// No entry holds the step any more.
        StepNotHeld(step: u64) {
            display("step {} is not held; post it again with the newest cursor", step)
        }
        /// A fetch whose trainer has sent another one with a newer cursor.
        FetchSuperseded {
            display("a fetch with another cursor came; this one is over")
        }
        /// Refused or failed further on.
        Call(failure: Failure) {
            display("{}", describe(*failure))
            from()
        }
    }
}

quick_error! {
    /// What is wrong with a body.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BodyFault {
        /// Not JSON, or not of the expected form.
        Json(line: usize, column: usize, message: String) {
            display("line {} column {}: {}", line, column, message)
        }
        /// A field with a value that is not allowed.
        Field(name: &'static str, allowed: &'static str) {
            display("'{}' must be {}", name, allowed)
        }
    }
}

impl BodyFault {
    /// What a JSON parser complains of.
    pub fn json(reason: &serde_json::Error) -> Self {
        let mut message = reason.to_string();
        message.truncate(PARSER_MESSAGE_BYTES_MAX);
        BodyFault::Json(reason.line(), reason.column(), message)
    }
}

/// When a trainer may come back whose version has not got here yet.
const VERSION_RETRY_AFTER_MS: u32 = 1_000;
/// When a trainer whose customer has no room for a further step may come back: steps end
/// in seconds to minutes.
const STEP_CAPACITY_RETRY_AFTER_MS: u32 = 5_000;
/// Longest part of a parser's complaint that goes into an answer, in bytes.
const PARSER_MESSAGE_BYTES_MAX: usize = 200;

impl Rejection {
    /// A body's field that is not as it must be.
    pub fn field(name: &'static str, allowed: &'static str) -> Self {
        Rejection::Body(BodyFault::Field(name, allowed))
    }

    /// Outcome, cause and time to come back.
    pub fn failure(&self) -> Failure {
        let cause = match self {
            Rejection::Call(failure) => return *failure,
            Rejection::Unauthenticated => Cause::Unauthenticated,
            Rejection::Role(_) | Rejection::NotAllowed(..) => Cause::Forbidden,
            Rejection::UnknownService(_) => Cause::UnknownService,
            Rejection::TooLarge(_) => Cause::TooLarge,
            Rejection::Announcement(AnnounceError::Forbidden) => Cause::Forbidden,
            Rejection::Announcement(_)
            | Rejection::NoActiveVersion(_)
            | Rejection::Fetch(FetchError::StaleEpoch(_)) => Cause::Stale,
            Rejection::VersionNotAnnounced(..) => {
                return Failure::not_run(Cause::Stale).retry_after(VERSION_RETRY_AFTER_MS);
            }
            Rejection::Post(PostError::NoRoom(..)) => {
                let failure = Failure::not_run(Cause::CustomerLimit);
                return failure.retry_after(STEP_CAPACITY_RETRY_AFTER_MS);
            }
            Rejection::Post(PostError::OtherContent) => Cause::KeyReused,
            Rejection::StepNotHeld(_) => Cause::NotHosted,
            Rejection::FetchSuperseded => Cause::Cancelled,
            Rejection::WrongKind(_)
            | Rejection::UnknownPath
            | Rejection::Method(_)
            | Rejection::Header(..)
            | Rejection::HeaderText
            | Rejection::Step(_)
            | Rejection::Cursor(_)
            | Rejection::Fetch(_)
            | Rejection::Body(_)
            | Rejection::BodyInterrupted => Cause::Malformed,
        };
        Failure::not_run(cause)
    }
}

fn describe(failure: Failure) -> &'static str {
    match failure.cause {
        Cause::CustomerLimit => "the customer's own limit is reached",
        Cause::QueueFull => "the queue of this class is full",
        Cause::DeadlinePassed => "the time given for the request is over",
        Cause::Leaving => "this process is leaving",
        Cause::NotHosted => "the endpoint does not host the service now",
        Cause::NoEndpoint => "no endpoint can take the request now",
        Cause::LinkLost => "the connection towards the endpoint was lost",
        Cause::EndpointLost => "the endpoint died or cut the connection",
        Cause::Truncated => "the endpoint's answer ended before its stated end",
        Cause::EndpointError => "the endpoint's answer is no answer",
        Cause::Quarantined => "the request has crashed endpoints and is not tried again",
        Cause::ClaimUnavailable => "the idempotency key can't be claimed now",
        Cause::ClaimTaken => "another submission of this idempotency key is under way or ran",
        Cause::KeyReused => "the idempotency key came before with another request",
        Cause::Cancelled => "the caller cancelled the request",
        Cause::BudgetSpent => "the customer's budget of retries is used up",
        Cause::Stale => "the wanted weight version is not to be had",
        Cause::Malformed => "the request is not well formed",
        Cause::TooLarge => "the request is too large",
        Cause::Unauthenticated => "no token, or a token that nobody holds",
        Cause::Forbidden => "the holder of this token may not do this",
        Cause::UnknownService => "there is no such service",
        Cause::Internal => "a fault of the system itself",
    }
}
