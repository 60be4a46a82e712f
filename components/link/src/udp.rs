//! Authenticated datagrams between the system's own processes.

use std::io;
use std::net::SocketAddr;

use protocol::{DATAGRAM_BYTES_MAX, Datagram, Keys, read_datagram, write_datagram};
use tokio::net::UdpSocket;

use crate::{Counters, LinkError, LinkSettings, Traffic};

/// A bound UDP socket.
#[derive(Debug)]
pub struct Udp {
    socket: UdpSocket,
    keys: Keys,
    counters: Counters,
}

impl Udp {
    /// Binds to `address`.
    pub async fn bind(address: SocketAddr, settings: &LinkSettings) -> io::Result<Udp> {
        Ok(Udp {
            socket: UdpSocket::bind(address).await?,
            keys: settings.keys.clone(),
            counters: settings.counters.clone(),
        })
    }

    /// The bound address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends `datagram`, as several ones if its news do not fit one. News that fit none
    /// are left out and logged.
    pub async fn send(&self, to: SocketAddr, datagram: &Datagram) -> Result<(), LinkError> {
        let (packets, errors) = write_datagram(datagram, self.keys.signing())?;
        for error in errors {
            log::warn!(event = "news-left-out", cause:% = error; "");
        }
        for packet in packets {
            let sent_bytes = self.socket.send_to(&packet, to).await?;
            self.counters.sent(false, sent_bytes);
        }
        Ok(())
    }

    /// Waits for the next authentic datagram; others are counted and dropped.
    pub async fn recv(&self) -> (SocketAddr, Datagram) {
        // One byte more than is allowed, so that a longer datagram is told from one that
        // just fits.
        let mut buffer = [0; DATAGRAM_BYTES_MAX + 1];
        loop {
            // Errors of a UDP socket tell that an earlier datagram was not taken; the next
            // receive is as good as before.
            let Ok((received_bytes, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            self.counters.received(false, received_bytes);
            match read_datagram(&buffer[..received_bytes], &self.keys) {
                Ok(datagram) => return (from, datagram),
                Err(_) => self.counters.datagram_dropped(),
            }
        }
    }

    /// Bytes that were counted into this socket's settings so far.
    pub fn traffic(&self) -> Traffic {
        self.counters.snapshot()
    }
}
