//! A model engine with continuous batching, a limited prefix cache, request priorities, streaming,
//! resumption, cancellation, and loading and switching of weight versions.
//!
//! The duration of a step grows with the number of sequences in the batch and with the prompt
//! tokens that are not cached. The text of each token ends in the version that generated it
//! (`" 3fa9@1.7"`), so that tests can check the versions that an answer states. In a crash the
//! engine closes all connections and loses its state; its next life starts on the configured
//! versions.

mod batch;
mod completion;
mod kv;
mod orders;
mod reports;
mod server;
mod settings;
mod swap;
mod text;

pub use server::start;
pub use settings::{EngineSettings, Fencing, Speeds};
pub use text::{text_hash, versions_in};
