//! Frames, records of the address book, order of the peers, limits of a relaying front, and the
//! watch of an owner's process.

use std::net::SocketAddr;

use bytes::Bytes;
use checks::seeded;
use relay::{
    BYTES_PER_S_MAX, CONTENT_BYTES_MAX, ConnectOutcome, FRAME_BYTES_MAX, FrameError, FrontRecord,
    IN_FLIGHT_MAX, LENGTH_BYTES, OwnerWatch, RELAY_VERSION, RelayAnswer, RelayCall, RelayFrame,
    RelayHello, RelayMethod, RelayOutcome, RelayQuota, WatchAction, WatchEvent, decode_frame,
    decode_record, encode_frame, encode_record, fits_frame, frame_length, rank_peers,
    watches_owner,
};

fn call(body: usize) -> RelayFrame {
    RelayFrame::Call(RelayCall {
        id: u64::MAX,
        left_ms: u32::MAX,
        method: RelayMethod::Post,
        path: String::new(),
        body: vec![7; body].into(),
    })
}

fn hello(version: u16) -> RelayFrame {
    RelayFrame::Hello(RelayHello {
        version,
        node: "front-1".to_owned(),
        started_unix_ms: 1_700_000_000_000,
    })
}

fn round_trip(frame: &RelayFrame) -> Result<RelayFrame, FrameError> {
    let encoded = encode_frame(frame)?;
    let (field, content) = encoded.split_at(LENGTH_BYTES);
    let bytes = frame_length(field.try_into().expect("four bytes"))?;
    assert_eq!(bytes, content.len());
    decode_frame(content)
}

#[test]
fn every_message_can_be_read_back() {
    // Guards against calls or answers that change on their way.
    let answer = |outcome| RelayFrame::Answer(RelayAnswer { id: 3, outcome });
    let answered = RelayOutcome::Answered {
        status: 200,
        body: Bytes::from_static(b"{}"),
    };
    let frames = [
        hello(RELAY_VERSION),
        call(100),
        answer(answered),
        answer(RelayOutcome::NotReached { not_done: true }),
        answer(RelayOutcome::NotReached { not_done: false }),
        answer(RelayOutcome::Busy),
    ];
    for frame in frames {
        assert_eq!(round_trip(&frame), Ok(frame));
    }
}

#[test]
fn frames_out_of_range_are_errors() {
    // Guards against a peer that makes a small front reserve a lot of memory.
    let too_large = encode_frame(&call(FRAME_BYTES_MAX));
    assert!(matches!(too_large, Err(FrameError::Length(_))));
    for bytes in [0, FRAME_BYTES_MAX + 1, u32::MAX as usize] {
        let field = (bytes as u32).to_be_bytes();
        assert_eq!(frame_length(field), Err(FrameError::Length(bytes)));
    }
    assert_eq!(
        frame_length((FRAME_BYTES_MAX as u32).to_be_bytes()),
        Ok(FRAME_BYTES_MAX)
    );
}

#[test]
fn the_largest_content_fits_a_frame() {
    // Guards against a call that passes the check of its size and then ends the connection.
    assert!(fits_frame(CONTENT_BYTES_MAX) && !fits_frame(CONTENT_BYTES_MAX + 1));
    assert!(encode_frame(&call(CONTENT_BYTES_MAX)).is_ok());
}

#[test]
fn another_version_of_the_protocol_is_an_error() {
    // Guards against a build that misreads the messages of another one.
    assert_eq!(round_trip(&hello(2)), Err(FrameError::Version(2)));
}

fn address(domain: u8, port: u16) -> SocketAddr {
    ([10, 0, domain, 1], port).into()
}

fn record(domain: u8, port: u16) -> FrontRecord {
    FrontRecord::new(address(domain, port), &format!("zone-{domain}"), 5)
}

#[test]
fn records_of_the_address_book_can_be_read_back() {
    // Guards against peers that nobody can reach.
    let record = record(1, 9_000);
    let encoded = encode_record(&record).expect("encoded");
    assert_eq!(decode_record(&encoded), Ok(record.clone()));
    let newer = FrontRecord {
        version: 2,
        ..record
    };
    let encoded = encode_record(&newer).expect("encoded");
    assert_eq!(decode_record(&encoded), Err(FrameError::Version(2)));
}

#[test]
fn peers_of_the_own_domain_and_of_others_alternate_and_the_front_itself_is_left_out() {
    // Guards against calls between failure domains without need, against a front that takes the
    // store for down because it refuses one domain, and against a front that relays to itself.
    let records: Vec<_> = (1..=4)
        .flat_map(|port| [record(1, port), record(2, port)])
        .collect();
    let order = rank_peers("front-1", "zone-1", address(1, 2), records.iter());
    assert!(!order.contains(&address(1, 2)));
    let near: Vec<bool> = order
        .iter()
        .map(|peer| peer.ip() == address(1, 1).ip())
        .collect();
    assert_eq!(near, [true, false, true, false, true, false, false]);
}

#[test]
fn two_other_members_watch_the_owner_of_a_shard() {
    // Guards against an owner whose death nobody notices, and against one that all fronts watch.
    let members: Vec<_> = (1..=9).map(|port| address(1, port)).collect();
    let watchers = |shard: &str, owner| {
        let watches =
            |own: &&SocketAddr| watches_owner(shard, **own, owner, members.iter().copied());
        members.iter().filter(watches).copied().collect::<Vec<_>>()
    };
    for owner in &members {
        let watching = watchers("pool/0", *owner);
        assert_eq!(watching.len(), 2);
        assert!(!watching.contains(owner));
    }
    let all = (0..20).flat_map(|shard| watchers(&format!("pool/{shard}"), members[0]));
    let distinct: std::collections::BTreeSet<_> = all.collect();
    assert!(distinct.len() >= 6, "the work spreads over the members");
    let alone = watches_owner(
        "pool/0",
        members[0],
        members[0],
        members[..1].iter().copied(),
    );
    assert!(!alone);
}

#[test]
fn the_order_depends_on_the_front_and_not_on_the_order_of_records() {
    // Guards against a front that all others choose as their first peer.
    let mut records: Vec<_> = (1..=20).map(|port| record(1, port)).collect();
    let own = address(9, 9);
    let first =
        |node: &str, records: &[FrontRecord]| rank_peers(node, "zone-1", own, records.iter())[0];
    let mut firsts: Vec<_> = (0..20)
        .map(|node| first(&format!("front-{node}"), &records))
        .collect();
    let before = first("front-1", &records);
    records.reverse();
    assert_eq!(first("front-1", &records), before);
    firsts.sort_unstable();
    firsts.dedup();
    assert!(
        firsts.len() >= 8,
        "{} first peers of 20 fronts",
        firsts.len()
    );
}

#[test]
fn a_relaying_front_makes_sixteen_calls_at_the_same_time() {
    // Guards against a front that others fill with their calls.
    let mut quota = RelayQuota::new(0);
    assert!((0..IN_FLIGHT_MAX).all(|_| quota.admit(10, 0)));
    assert!(!quota.admit(10, 0));
    quota.finish(0);
    assert!(quota.admit(10, 0));
}

#[test]
fn a_relaying_front_passes_two_mebibytes_a_second() {
    // Guards against a front whose network and processor time go to others' calls.
    let mut quota = RelayQuota::new(0);
    let second = BYTES_PER_S_MAX as usize;
    assert!(quota.admit(second / 2, 0));
    // The size of an answer is known only afterwards; later calls pay for it.
    quota.finish(second);
    assert!(!quota.admit(1, 400), "a fifth of a second short");
    assert!(quota.admit(second / 4, 800));
    quota.finish(0);
    assert!(
        !quota.admit(second + 1, 100_000),
        "idle time is not saved up"
    );
    assert!(quota.admit(second, 100_000));
}

#[test]
fn only_proof_of_death_ends_a_membership() {
    // Guards against an owner that is frozen or cut off and loses its shards at once, although it
    // may still act, and against a dead one that keeps them.
    use ConnectOutcome::{Hello, NoAnswer, Refused};
    use WatchEvent::{Closed, Connected};
    struct Case {
        name: &'static str,
        started_unix_ms: Option<u64>,
        events: &'static [WatchEvent],
        action: WatchAction,
    }
    const KNOWN: ConnectOutcome = Hello { started_unix_ms: 5 };
    const OTHER: ConnectOutcome = Hello { started_unix_ms: 6 };
    let cases = [
        Case {
            name: "a closed connection is opened again",
            started_unix_ms: Some(5),
            events: &[Connected(KNOWN), Closed],
            action: WatchAction::Connect,
        },
        Case {
            name: "the same process is watched on",
            started_unix_ms: Some(5),
            events: &[Connected(KNOWN), Closed, Connected(KNOWN)],
            action: WatchAction::Watch,
        },
        Case {
            name: "a refused connection proves the death",
            started_unix_ms: Some(5),
            events: &[Connected(KNOWN), Closed, Connected(Refused)],
            action: WatchAction::Dead,
        },
        Case {
            name: "another start proves the death",
            started_unix_ms: Some(5),
            events: &[Connected(KNOWN), Closed, Connected(OTHER)],
            action: WatchAction::Dead,
        },
        Case {
            name: "silence proves nothing",
            started_unix_ms: Some(5),
            events: &[Connected(KNOWN), Closed, Connected(NoAnswer)],
            action: WatchAction::ConnectAfter(500),
        },
        Case {
            name: "an address at which nothing was seen yet proves nothing",
            started_unix_ms: None,
            events: &[Connected(Refused)],
            action: WatchAction::ConnectAfter(500),
        },
        Case {
            name: "the first process that answers is the watched one",
            started_unix_ms: None,
            events: &[Connected(KNOWN), Closed, Connected(Refused)],
            action: WatchAction::Dead,
        },
    ];
    for case in cases {
        let mut watch = OwnerWatch::new(case.started_unix_ms);
        let actions = case.events.iter().map(|event| watch.observe(*event));
        assert_eq!(actions.last(), Some(case.action), "{}", case.name);
    }
}

seeded! {
    /// Guards against a peer whose bytes crash this process or are taken for a valid hello.
    fn odd_bytes_are_a_typed_error_or_a_message(bytes: Vec<u8>) -> bool {
        match decode_frame(&bytes) {
            Ok(RelayFrame::Hello(hello)) => hello.version == RELAY_VERSION,
            Ok(_) | Err(_) => true,
        }
    }

    /// Guards against a record of another program that stops the front.
    fn odd_records_are_a_typed_error_or_a_record(bytes: Vec<u8>) -> bool {
        decode_record(&bytes).is_ok_and(|record| record.version == 1) || decode_record(&bytes).is_err()
    }
}
