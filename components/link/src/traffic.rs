//! Counters of bytes on the wire, for measurements of capacity.

/// Bytes carried so far, with frame lengths and authentication, without IP and TCP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Requests and answers sent, in bytes.
    pub calls_sent_bytes: u64,
    /// Requests and answers received, in bytes.
    pub calls_received_bytes: u64,
    /// Everything else sent (greetings, pings, acknowledgements, news), in bytes.
    pub control_sent_bytes: u64,
    /// Everything else received, in bytes.
    pub control_received_bytes: u64,
}
