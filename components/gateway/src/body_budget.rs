//! Limits the memory that request bodies occupy in the process.
//!
//! A body is read before the request is admitted, so no other limit applies to it: a few
//! hundred callers that send incomplete large bodies could exhaust the VM's memory and end the
//! process with all customers' requests. Bytes are reserved before they are read: the whole
//! length if it is stated, otherwise chunk by chunk. The reservation is released when the last
//! reference to the body is dropped.
//!
//! A customer may hold at most as many bytes as remain free in the process's budget. A customer
//! with large bodies therefore leaves at least the same amount to others, and a customer that
//! holds nothing can always reserve some bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use quick_error::quick_error;
use types::{Cause, Failure};

/// Limit for the bodies of all customers together.
const PROCESS_BYTES_MAX: usize = 128 << 20;
/// Limit for the bodies of one customer.
const CUSTOMER_BYTES_MAX: usize = 32 << 20;

quick_error! {
    /// A reservation that exceeds a limit.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OverBudget {
        /// The customer's limit is exceeded.
        Customer {
            display("request bodies of the customer exceed the customer's byte limit")
        }
        /// The limit of the process is exceeded.
        Process {
            display("request bodies of all customers exceed the byte limit of the process")
        }
    }
}

impl OverBudget {
    /// Returns the failure for the caller, without a retry delay.
    pub fn failure(self) -> Failure {
        match self {
            OverBudget::Customer => Failure::not_run(Cause::CustomerLimit),
            OverBudget::Process => Failure::not_run(Cause::QueueFull),
        }
    }
}

/// Number of body bytes that are reserved for one customer.
#[derive(Debug, Default)]
pub struct BodyUse(AtomicUsize);

/// Budget for the body bytes of all requests of the process.
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
    /// Creates a budget with a limit for all customers together and a limit for each customer.
    pub fn new(process_bytes_max: usize, customer_bytes_max: usize) -> Self {
        Self {
            process_bytes_max,
            customer_bytes_max,
            held_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes reserved for all customers.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Reserves `bytes` for a body, or returns the limit that would be exceeded.
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
        // Free bytes before this reservation; the reservation itself counts towards the customer.
        let free = self.process_bytes_max - held;
        let customer_max = self.customer_bytes_max.min(free);
        if add_within(&customer.0, bytes, customer_max).is_none() {
            self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
            return Err(OverBudget::Customer);
        }
        Ok(())
    }
}

/// Adds `bytes` unless the sum would exceed `bytes_max`; returns the previous value.
fn add_within(held: &AtomicUsize, bytes: usize, bytes_max: usize) -> Option<usize> {
    let more = |held: usize| held.checked_add(bytes).filter(|&sum| sum <= bytes_max);
    held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more)
        .ok()
}

/// Reserved bytes of one body. Dropping the value releases them.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    customer: Arc<BodyUse>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves additional bytes for the same body.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OverBudget> {
        self.budget.try_reserve(&self.customer, bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Returns the number of reserved bytes.
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
