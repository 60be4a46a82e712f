//! Adapters to the systems outside hornbeamrock: the log, the VM list, the weight store, model
//! engines, scorers, and the endpoints that calls go to.
//!
//! No adapter retries. An error tells whether the request may have reached the other side
//! ([`PlatformError`]), and the caller decides whether to retry.

mod body;
mod client;
mod connection;
mod endpoint;
mod engine;
mod error;
mod headers;
mod idle;
mod log;
mod prefix;
mod scorer;
pub mod sse;
mod store;
mod vms;

pub use body::Body;
pub use client::ClientSettings;
pub use endpoint::{AnswerHead, Endpoint, EndpointSettings, Request, Response};
pub use engine::{
    CacheEvent, CacheEventKind, CachePage, Engine, EngineModel, EngineState, LoadReport,
};
pub use error::{AnswerLoss, MalformedPart, NotSentCause, PlatformError};
pub use headers::{end_to_end_headers, hop_by_hop_predicate};
pub use log::{LogClient, LogPage, LogRecord};
pub use prefix::{BLOCK_BYTES, prefix_blocks};
pub use scorer::Scorer;
pub use store::WeightStore;
pub use vms::{Vm, VmList, VmRole, VmState};
