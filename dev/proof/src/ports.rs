//! Free ports, found by binding port 0. Another process may take one before its user
//! binds it, so whoever uses them tries again.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use crate::ProofError;

const TRIES: u32 = 64;

/// An address on loopback whose port was free for TCP and UDP a moment ago.
pub fn free_port() -> Result<SocketAddr, ProofError> {
    for _ in 0..TRIES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(ProofError::NotSeen(
        "a port free for TCP and UDP".to_owned(),
    ))
}
