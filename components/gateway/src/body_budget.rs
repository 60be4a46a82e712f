//! How many bytes of requests' bodies the process holds at a time.
//!
//! A body is read before its request is known in full, so nothing else bounds it: some
//! hundred callers that each leave the end of a large body out would fill the VM's
//! memory, and every customer's requests would end with the process. A body's bytes are
//! reserved before they are read: all of them where the length is stated, else as they
//! come. They count until the last view of the body is dropped.
//!
//! A customer may hold no more than is left free of the process's budget. So each one
//! that holds much leaves as much for the next, and one that begins finds room whatever
//! the others do.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use quick_error::quick_error;
use types::{Cause, Failure};

/// Bytes of bodies at a time, of all customers.
const PROCESS_BYTES_MAX: usize = 128 << 20;
/// Bytes of bodies at a time, of one customer.
const CUSTOMER_BYTES_MAX: usize = 32 << 20;

quick_error! {
    /// A body that there is no room for.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OverBudget {
        /// The customer holds its part already.
        Customer {
            display("the customer's bodies in flight are at their limit")
        }
        /// All customers together hold what the process has.
        Process {
            display("the process's bodies in flight are at their limit")
        }
    }
}

impl OverBudget {
    /// The answer to the caller, without the time to come back.
    pub fn failure(self) -> Failure {
        match self {
            OverBudget::Customer => Failure::not_run(Cause::CustomerLimit),
            OverBudget::Process => Failure::not_run(Cause::QueueFull),
        }
    }
}

/// The bodies of one customer.
#[derive(Debug, Default)]
pub struct BodyUse(AtomicUsize);

/// The bodies of the process.
#[derive(Debug)]
pub struct BodyBudget {
    process_bytes_max: usize,
    customer_bytes_max: usize,
    held_bytes: AtomicUsize,
}

impl Default for BodyBudget {
    fn default() -> Self {
        Self::new(PROCESS_BYTES_MAX, CUSTOMER_BYTES_MAX)
    }
}

impl BodyBudget {
    /// A budget of so many bytes for all customers, and for each of them.
    pub fn new(process_bytes_max: usize, customer_bytes_max: usize) -> Self {
        Self {
            process_bytes_max,
            customer_bytes_max,
            held_bytes: AtomicUsize::new(0),
        }
    }

    /// Bytes that all customers hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Reserves the bytes of a body, or says what is in the way.
    pub fn reserve(
        self: &Arc<Self>,
        customer: &Arc<BodyUse>,
        bytes: usize,
    ) -> Result<BodyReservation, OverBudget> {
        let mut reserved = BodyReservation {
            budget: Arc::clone(self),
            customer: Arc::clone(customer),
            bytes: 0,
        };
        reserved.grow(bytes)?;
        Ok(reserved)
    }

    fn try_reserve(&self, customer: &BodyUse, bytes: usize) -> Result<(), OverBudget> {
        let process = add_within(&self.held_bytes, bytes, self.process_bytes_max);
        let held = process.ok_or(OverBudget::Process)?;
        // What was free before these bytes; they are the customer's own.
        let free = self.process_bytes_max - held;
        let customer_max = self.customer_bytes_max.min(free);
        if add_within(&customer.0, bytes, customer_max).is_none() {
            self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
            return Err(OverBudget::Customer);
        }
        Ok(())
    }
}

/// Adds `bytes` unless the sum would be over `bytes_max`; gives what was there before.
fn add_within(held: &AtomicUsize, bytes: usize, bytes_max: usize) -> Option<usize> {
    let more = |held: usize| held.checked_add(bytes).filter(|&sum| sum <= bytes_max);
    held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more)
        .ok()
}

/// Reserved bytes of one body; dropped, it gives them back.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    customer: Arc<BodyUse>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves more bytes for the same body.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OverBudget> {
        self.budget.try_reserve(&self.customer, bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.customer.0.fetch_sub(self.bytes, Ordering::Relaxed);
        let held = &self.budget.held_bytes;
        held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
