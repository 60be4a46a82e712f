//! Stand-ins of the users' platform: its store, its replicas of both sorts, and what its
//! operator and trainers write. They speak the platform's names, as the real ones do.

pub mod duties;
mod groups;
pub mod records;
pub mod replica;
pub mod store;
mod topics;
pub mod trainer;
