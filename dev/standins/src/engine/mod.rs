//! A model engine: batches continuously, caches prompt prefixes in limited memory,
//! honours priorities, streams, resumes and cancels, loads and switches versions.
//!
//! The time of a step grows with the batch and with the prompt tokens that it reads.
//! Each token's text ends in the version that made it (`" 3fa9@1.7"`), so that a test
//! can hold the stamps against the truth. When it crashes, all connections are cut, its
//! state is lost, and it comes back in its next life on its first versions.

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
