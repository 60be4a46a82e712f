//! Frames, settings and ids that several test files use.
// clippy.toml exempts only test functions, not their helpers.
#![allow(dead_code, clippy::unwrap_used)]

use bytes::Bytes;
use protocol::{Frame, Head, Open};
use recovery::TableSettings;
use types::{CallId, Class, CustomerName, Failure, ServiceName};

pub const ID: CallId = CallId {
    boot: 7,
    counter: 3,
};
pub const CALLER_BOOT: u64 = 7;

pub fn open(idempotent: bool) -> Open {
    Open {
        id: ID,
        request_id: "r-1".to_owned(),
        customer: CustomerName::new("office").unwrap(),
        owner: CustomerName::new("office").unwrap(),
        service: ServiceName::new("guichet").unwrap(),
        class: Class::Interactive,
        idempotent,
        deadline_left_ms: 10_000,
        method: "POST".to_owned(),
        path: "/sanctions".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"body"),
    }
}

pub fn open_frame(idempotent: bool) -> Frame {
    Frame::Open(Box::new(open(idempotent)))
}

pub fn head() -> Head {
    Head {
        status: 200,
        headers: Vec::new(),
    }
}

pub fn head_frame() -> Frame {
    Frame::Head {
        id: ID,
        head: head(),
    }
}

pub fn chunk(part: u32, bytes: &'static [u8]) -> Frame {
    Frame::Chunk {
        id: ID,
        part,
        bytes: Bytes::from_static(bytes),
    }
}

pub fn end(parts: u32, body_bytes: u64) -> Frame {
    Frame::End {
        id: ID,
        parts,
        body_bytes,
    }
}

pub fn fail(failure: Failure) -> Frame {
    Frame::Fail { id: ID, failure }
}

pub fn settings() -> TableSettings {
    TableSettings {
        grace_ms: 1_000,
        retention_ms: 5_000,
        calls_max: 4,
        held_bytes_max: 10_000,
    }
}
