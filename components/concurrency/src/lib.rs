//! Admission of calls to the replicas of a plain service.
//!
//! The crate does no I/O and reads no clock or random source; callers pass times and random bits as
//! arguments.
