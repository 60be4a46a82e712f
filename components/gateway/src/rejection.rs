//! Errors that are answered with a problem document. Every variant maps to one [`Failure`], which
//! gives the outcome and the cause.

use quick_error::quick_error;
use samples::{CursorError, FetchError, PostError, StepError};
use types::{Cause, CustomerName, Failure, Role, ServiceName, WeightVersion};
use weights::AnnounceError;

quick_error! {
    /// Reason why a request is refused or fails.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Rejection {
        /// The bearer token is missing or not configured.
        Unauthenticated {
            display("no token, or a token that nobody holds")
        }
        /// The request may be permitted by a part of the configuration that was not read yet.
        ConfigurationUnread {
            display("the configuration was not read yet")
        }
        /// The role of the token does not permit the request.
        Role(needed: Role) {
            display("this needs a token of role {}", needed)
        }
        /// The token does not permit calls to this service.
        NotAllowed(owner: CustomerName, service: ServiceName) {
            display("the holder of this token may not call {}.{}", owner, service)
        }
        /// The service does not exist.
        UnknownService(service: String) {
            display("there is no service '{}'", service)
        }
        /// The service is of another kind than the path requires.
        WrongKind(needed: &'static str) {
            display("this path serves services of kind {} only", needed)
        }
        /// The path does not exist.
        UnknownPath {
            display("there is nothing at this path")
        }
        /// The path does not support the method.
        Method(allowed: &'static str) {
            display("this path takes {} only", allowed)
        }
        /// A header has an invalid value.
        Header(name: &'static str, allowed: &'static str) {
            display("the header {} is not well formed: allowed is {}", name, allowed)
        }
        /// The value of a header is not UTF-8.
        HeaderText {
            display("the value of a header is not UTF-8")
        }
        /// The body is malformed.
        Body(reason: BodyFault) {
            display("the body is not well formed: {}", reason)
        }
        /// The body exceeds the size limit.
        TooLarge(bytes_max: usize) {
            display("the body has more than {} bytes", bytes_max)
        }
        /// The caller's connection failed before the end of the body.
        BodyInterrupted {
            display("the body ended before its stated end")
        }
        /// The announced weight version is not accepted.
        Announcement(reason: AnnounceError) {
            display("{}", reason)
        }
        /// A version is to be prepared while no version of the model is active. A process that
        /// knows no version would activate the prepared one.
        NoActiveVersion(service: ServiceName) {
            display("no version of {} is known to be in force; announce one first", service)
        }
        /// A trainer states a version of its own that was never announced.
        VersionNotAnnounced(named: WeightVersion, known: WeightVersion) {
            display("version {} is not announced; the newest one known is {}", named, known)
        }
        /// The posted step is malformed.
        Step(reason: StepError) {
            display("{}", reason)
            from()
        }
        /// The posted step is refused, for example because it exists with other content.
        Post(reason: PostError) {
            display("{}", reason)
            from()
        }
        /// The cursor does not belong to this step.
        Cursor(reason: CursorError) {
            display("{}", reason)
            from()
        }
        /// The fetch is refused.
        Fetch(reason: FetchError) {
            display("{}", reason)
            from()
        }
        /// No entry has the step any more.
        StepNotHeld(step: u64) {
            display("step {} is not held; post it again with the newest cursor", step)
        }
        /// The trainer sent another fetch with a newer cursor.
        FetchSuperseded {
            display("a fetch with another cursor came; this one is over")
        }
        /// The call was refused or failed at a later stage.
        Call(failure: Failure) {
            display("{}", describe(*failure))
            from()
        }
    }
}

quick_error! {
    /// What is wrong with a request body.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BodyFault {
        /// The body is not JSON or not of the expected form.
        Json(line: usize, column: usize, message: String) {
            display("line {} column {}: {}", line, column, message)
        }
        /// A field has an invalid value.
        Field(name: &'static str, allowed: &'static str) {
            display("'{}' must be {}", name, allowed)
        }
    }
}

impl BodyFault {
    /// Converts the error of the JSON parser.
    pub fn json(reason: &serde_json::Error) -> Self {
        let mut message = reason.to_string();
        message.truncate(PARSER_MESSAGE_BYTES_MAX);
        BodyFault::Json(reason.line(), reason.column(), message)
    }
}

/// Retry delay for a trainer whose version has not reached this entry yet, in milliseconds.
const VERSION_RETRY_AFTER_MS: u32 = 1_000;
/// Retry delay for a trainer whose customer has reached its limit of open steps, in milliseconds.
/// Steps end within seconds to minutes.
const STEP_CAPACITY_RETRY_AFTER_MS: u32 = 5_000;
/// Maximum length of a parser message in an answer, in bytes.
/// Retry-After of a request that the configuration may permit once it is read, in milliseconds.
const UNREAD_RETRY_AFTER_MS: u32 = 300;
const PARSER_MESSAGE_BYTES_MAX: usize = 200;

impl Rejection {
    /// Creates the rejection of a body field with an invalid value.
    pub fn field(name: &'static str, allowed: &'static str) -> Self {
        Rejection::Body(BodyFault::Field(name, allowed))
    }

    /// Returns outcome, cause and retry delay.
    pub fn failure(&self) -> Failure {
        let cause = match self {
            Rejection::Call(failure) => return *failure,
            Rejection::Unauthenticated => Cause::Unauthenticated,
            Rejection::ConfigurationUnread => {
                return Failure::not_run(Cause::NoEndpoint).retry_after(UNREAD_RETRY_AFTER_MS);
            }
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
