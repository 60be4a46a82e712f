//! Free ports, found by binding port 0. Another process may bind a port before it is used, so
//! callers must retry with another one. A port is never returned twice: otherwise two sites that
//! start at the same time could each mistake the other's process for their own.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use crate::ProofError;

const ATTEMPTS_MAX: u32 = 64;
static RESERVED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address whose port was free for TCP and UDP when it was checked.
pub fn free_port() -> Result<SocketAddr, ProofError> {
    for _ in 0..ATTEMPTS_MAX {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
        if UdpSocket::bind(address).is_ok() && reserved.insert(address.port()) {
            return Ok(address);
        }
    }
    Err(ProofError::NotFound(
        "a port free for TCP and UDP".to_owned(),
    ))
}
