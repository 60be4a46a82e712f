//! Finds ranges of consecutive ports that are free for both TCP and UDP.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use crate::error::BenchError;

/// Bounds of the search, below the range from which Linux assigns ports to outgoing connections
/// by default (32768 and above).
const PORT_MIN: u16 = 12_000;
const PORT_MAX: u16 = 32_000;
const ATTEMPTS_MAX: u16 = 200;

/// First of `count` consecutive free ports. `seed` selects where the search starts, so that
/// concurrent runs with different seeds rarely probe the same ports.
pub fn find_free(count: u16, seed: u64) -> Result<u16, BenchError> {
    let span = u64::from(PORT_MAX - PORT_MIN - count);
    let start = PORT_MIN + (seed.wrapping_mul(7_919) % span.max(1)) as u16;
    let mut base = start;
    for _ in 0..ATTEMPTS_MAX {
        match (base..base + count).find(|&port| !is_free(port)) {
            None => return Ok(base),
            Some(used) => base = used + 1,
        }
        if base > PORT_MAX - count {
            base = PORT_MIN;
        }
    }
    Err(BenchError::NoPorts(count))
}

fn is_free(port: u16) -> bool {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
