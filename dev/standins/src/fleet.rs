//! Stand-ins for the platform that fronts run on: the partitioned store, plain and model replicas,
//! the records of the operator, the receiver of usage reports, and a trainer. Their protocols use
//! the field and header names of the platform.

pub mod duties;
mod groups;
pub mod records;
pub mod replica;
pub mod store;
mod topics;
pub mod trainer;
