//! Free ports, one after the other, for TCP and UDP.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use crate::error::BenchError;

/// Ports between these bounds are not given to outgoing connections by default.
const FIRST: u16 = 12_000;
const LAST: u16 = 32_000;
const TRIES: u16 = 200;

/// First of `count` free ports; the search begins at a place that `seed` chooses.
pub fn free(count: u16, seed: u64) -> Result<u16, BenchError> {
    let span = u64::from(LAST - FIRST - count);
    let start = FIRST + (seed.wrapping_mul(7_919) % span.max(1)) as u16;
    let mut base = start;
    for _ in 0..TRIES {
        match (base..base + count).find(|&port| !is_free(port)) {
            None => return Ok(base),
            Some(taken) => base = taken + 1,
        }
        if base > LAST - count {
            base = FIRST;
        }
    }
    Err(BenchError::NoPorts(count))
}

fn is_free(port: u16) -> bool {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
