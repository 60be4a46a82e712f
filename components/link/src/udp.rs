//! Authenticated datagrams between the processes of the system.

use std::io;
use std::net::SocketAddr;

use protocol::{DATAGRAM_BYTES_MAX, Datagram, Keys, read_datagram, write_datagram};
use tokio::net::UdpSocket;

use crate::{Counters, LinkError, LinkSettings, Traffic};

/// A bound UDP socket that signs and checks datagrams.
#[derive(Debug)]
pub struct Udp {
    socket: UdpSocket,
    keys: Keys,
    counters: Counters,
}

impl Udp {
    /// Binds to `address`; port 0 lets the system choose the port.
    pub async fn bind(address: SocketAddr, settings: &LinkSettings) -> io::Result<Udp> {
        Ok(Udp {
            socket: UdpSocket::bind(address).await?,
            keys: settings.keys.clone(),
            counters: settings.counters.clone(),
        })
    }

    /// The bound address, with the port that the system chose if 0 was requested.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends `datagram`, split into several packets if its messages do not fit one. A message
    /// that exceeds a packet is omitted and logged.
    pub async fn send(&self, to: SocketAddr, datagram: &Datagram) -> Result<(), LinkError> {
        let (packets, errors) = write_datagram(datagram, self.keys.signing())?;
        for error in errors {
            log::warn!(event = "news-left-out", cause:% = error; "");
        }
        for packet in packets {
            let sent_bytes = self.socket.send_to(&packet, to).await?;
            self.counters.record_sent(false, sent_bytes);
        }
        Ok(())
    }

    /// Waits for the next authentic datagram. Datagrams that fail the check are counted and
    /// dropped.
    pub async fn recv(&self) -> (SocketAddr, Datagram) {
        // One byte above the limit, so that a datagram that exceeds the limit is detected
        // instead of being truncated to an allowed length.
        let mut buffer = [0; DATAGRAM_BYTES_MAX + 1];
        loop {
            // An error of a UDP socket reports that an earlier datagram could not be
            // delivered. The socket can still receive.
            let Ok((received_bytes, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            self.counters.record_received(false, received_bytes);
            match read_datagram(&buffer[..received_bytes], &self.keys) {
                Ok(datagram) => return (from, datagram),
                Err(_) => self.counters.record_dropped_datagram(),
            }
        }
    }

    /// Traffic of all sockets that share this socket's counters.
    pub fn traffic(&self) -> Traffic {
        self.counters.snapshot()
    }
}
