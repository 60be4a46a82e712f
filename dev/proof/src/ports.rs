//! Free ports, found by binding port 0. Another process may take one before its user
//! binds it, so whoever uses them tries again. None is given twice: two sites that start
//! together would each take the other's process for its own.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use crate::ProofError;

const ATTEMPTS_MAX: u32 = 64;
static RESERVED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address on loopback whose port was free for TCP and UDP a moment ago.
pub fn free_port() -> Result<SocketAddr, ProofError> {
    for _ in 0..ATTEMPTS_MAX {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
        if UdpSocket::bind(address).is_ok() && reserved.insert(address.port()) {
            return Ok(address);
        }
    }
    Err(ProofError::TimedOut(
        "a port free for TCP and UDP".to_owned(),
    ))
}
