//! Encoding and authentication of frames and the handshake.
#![allow(clippy::unwrap_used)] // clippy.toml exempts only test functions.

use bytes::{Bytes, BytesMut};
use protocol::{
    CodecError, Direction, Frame, FrameReader, FrameWriter, Head, Hello, Key, Keys, LENGTH_BYTES,
    Nonce, Open, ProcessRole, Session, check_end, negotiate_version, read_callee_hello,
    read_caller_hello, write_callee_hello, write_caller_hello,
};
use types::{
    CallId, Cause, Class, CustomerName, Failure, FailureDomain, Incarnation, NodeId, ServiceName,
};

const MAX_BYTES: usize = 1_000;
const CALLER: Nonce = [1; 16];
const CALLEE: Nonce = [2; 16];
const ID: CallId = CallId {
    boot: 300,
    counter: 5,
};

fn key(byte: u8) -> Key {
    Key::new([byte; 32])
}

fn session<'a>(key: &'a Key, callee_nonce: &'a Nonce) -> Session<'a> {
    Session {
        key,
        caller_nonce: &CALLER,
        callee_nonce,
        frame_bytes_max: MAX_BYTES,
    }
}

fn writer() -> FrameWriter {
    FrameWriter::new(&session(&key(1), &CALLEE), Direction::FromCallee)
}

fn reader() -> FrameReader {
    FrameReader::new(&session(&key(1), &CALLEE), Direction::FromCallee)
}

fn hello() -> Hello {
    Hello {
        version_min: 1,
        version_max: 1,
        node: NodeId {
            address: ([10, 0, 0, 1], 80).into(),
            incarnation: Incarnation(9),
        },
        role: ProcessRole::Agent,
        failure_domain: FailureDomain::new("rennes-a").unwrap(),
        nonce: CALLER,
        boot: 3,
    }
}

fn open() -> Open {
    Open {
        id: ID,
        request_id: "r".to_owned(),
        customer: CustomerName::new("office").unwrap(),
        owner: CustomerName::new("office").unwrap(),
        service: ServiceName::new("guichet").unwrap(),
        class: Class::Background,
        idempotent: true,
        deadline_left_ms: 200,
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: vec![("a".to_owned(), "b".to_owned())],
        body: Bytes::from_static(b"xy"),
    }
}

fn chunk(bytes: &'static [u8]) -> Frame {
    Frame::Chunk {
        id: ID,
        part: 1,
        bytes: Bytes::from_static(bytes),
    }
}

/// Encoding of `ID`: two numbers in groups of seven bits.
const ID_HEX: &str = "ac0205";

struct Sample {
    name: &'static str,
    frame: Frame,
    payload: String,
}

fn samples() -> Vec<Sample> {
    let id = ID;
    let head = Head {
        status: 200,
        headers: Vec::new(),
    };
    let failure = Failure::not_run(Cause::Leaving).retry_after(7);
    let sample = |name, frame, before: &str, after: &str| Sample {
        name,
        frame,
        payload: format!("{before}{ID_HEX}{after}"),
    };
    let rest = "0172066f6666696365066f66666963650767756963686574\
                0101c8010347455401\
                2f010161016202"
        .to_owned()
        + "7879";
    vec![
        sample("open", Frame::Open(Box::new(open())), "01", &rest),
        sample("attach", Frame::Attach { id, next_part: 2 }, "02", "02"),
        sample("accepted", Frame::Accepted { id }, "03", ""),
        sample("started", Frame::Started { id }, "04", ""),
        sample("head", Frame::Head { id, head }, "05", "c80100"),
        sample("chunk", chunk(b"ab"), "06", "01026162"),
        sample(
            "end",
            Frame::End {
                id,
                parts: 2,
                body_bytes: 2,
            },
            "07",
            "0202",
        ),
        sample("fail", Frame::Fail { id, failure }, "08", "00080107"),
        sample("received", Frame::Received { id, next_part: 2 }, "09", "02"),
        sample("forget", Frame::Forget { id }, "0a", ""),
        sample("cancel", Frame::Cancel { id }, "0b", ""),
        sample("unattached", Frame::Unattached { id }, "0c", ""),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// A change of a field, of the order of variants or of the hand-written encodings would break
// communication between releases; it needs a new protocol version. The expected bytes are those
// of version 1.
#[test]
fn keeps_the_encoding_of_every_frame() {
    for sample in samples() {
        let mut out = BytesMut::new();
        writer().write(&sample.frame, &mut out).unwrap();
        let payload = &out[LENGTH_BYTES..out.len() - protocol::TAG_BYTES];
        assert_eq!(hex(payload), sample.payload, "{}", sample.name);
        let derived = postcard::to_stdvec(&sample.frame).unwrap();
        assert_eq!(
            hex(&derived),
            sample.payload,
            "{}: derived encoding",
            sample.name
        );
        assert_eq!(
            reader().read(&mut out),
            Ok(Some(sample.frame)),
            "{}",
            sample.name
        );
        assert_eq!(check_end(&out), Ok(()), "{}", sample.name);
    }
}

// A change of the authentication would break communication between releases. The expected codes
// were computed by another program from the description of the format.
#[test]
fn keeps_the_encoding_of_authentication_codes() {
    let mut out = BytesMut::new();
    writer()
        .write(&Frame::Ping { number: 1 }, &mut out)
        .unwrap();
    assert_eq!(hex(&out), "120000000d01dc83df61bbef13cedd2fda23675008f9");
    let mut out = BytesMut::new();
    write_caller_hello(&hello(), &key(1), &mut out).unwrap();
    let expected = "3800000016feae8d0101000a0000015009010872656e6e65732d61\
                    0101010101010101010101010101010103\
                    b7b60f882b414caeb27a84f542f77e85";
    assert_eq!(hex(&out), expected);
}

checks::seeded! {
    fn can_encode_a_call_id_like_the_derived_form(boot: u64, counter: u64) -> bool {
        #[derive(serde::Serialize)]
        struct Derived {
            boot: u64,
            counter: u64,
        }
        let encoded = postcard::to_stdvec(&CallId { boot, counter }).unwrap();
        let read = postcard::from_bytes(&encoded);
        encoded == postcard::to_stdvec(&Derived { boot, counter }).unwrap()
            && read == Ok(CallId { boot, counter })
    }
}

#[test]
fn can_decode_a_chunk_without_copying() {
    let mut out = BytesMut::new();
    writer().write(&chunk(b"abcd"), &mut out).unwrap();
    let buffer_range = out.as_ptr() as usize..out.as_ptr() as usize + out.len();
    let Ok(Some(Frame::Chunk { bytes, .. })) = reader().read(&mut out) else {
        panic!("the frame is not decoded as a chunk");
    };
    assert!(buffer_range.contains(&(bytes.as_ptr() as usize)));
}

struct ModifiedStream {
    name: &'static str,
    change: fn(&mut BytesMut),
    expected: CodecError,
}

// A stream that was modified, reordered or taken from another connection must yield a typed error
// and none of the wrong frames, so that the connection is closed.
#[test]
fn errors_when_a_stream_is_modified() {
    fn duplicate(out: &mut BytesMut) {
        let first = out.clone();
        out.extend_from_slice(&first);
    }
    fn swap(out: &mut BytesMut) {
        let first = out.split();
        let mut writer = writer();
        writer.write(&chunk(b"one"), &mut BytesMut::new()).unwrap();
        writer.write(&chunk(b"two"), out).unwrap();
        out.unsplit(first);
    }
    fn other_connection(out: &mut BytesMut) {
        out.clear();
        let mut other = FrameWriter::new(&session(&key(1), &[9; 16]), Direction::FromCallee);
        other.write(&chunk(b"one"), out).unwrap();
    }
    fn other_direction(out: &mut BytesMut) {
        out.clear();
        let mut other = FrameWriter::new(&session(&key(1), &CALLEE), Direction::FromCaller);
        other.write(&chunk(b"one"), out).unwrap();
    }
    fn other_key(out: &mut BytesMut) {
        out.clear();
        let mut other = FrameWriter::new(&session(&key(2), &CALLEE), Direction::FromCallee);
        other.write(&chunk(b"one"), out).unwrap();
    }
    use CodecError::{TooLarge, TooShort, Truncated, Unauthentic};
    let case = |name, change, expected| ModifiedStream {
        name,
        change,
        expected,
    };
    let cases = [
        case("corrupted", |out| out[9] ^= 1, Unauthentic),
        case(
            "corrupted code",
            |out| *out.last_mut().unwrap() ^= 1,
            Unauthentic,
        ),
        case("shortened", |out| out[0] -= 1, Unauthentic),
        case("replayed", duplicate, Unauthentic),
        case("out of order", swap, Unauthentic),
        case("from another connection", other_connection, Unauthentic),
        case("from the other direction", other_direction, Unauthentic),
        case("signed with another key", other_key, Unauthentic),
        case(
            "too large",
            |out| out[3] = 0x40,
            TooLarge(0x4000_0019, MAX_BYTES),
        ),
        case("too short for a code", |out| out[0] = 15, TooShort(15)),
        case("truncated", |out| out.truncate(out.len() - 1), Truncated),
        case("truncated in the length", |out| out.truncate(3), Truncated),
    ];
    for case in cases {
        let mut out = BytesMut::new();
        writer().write(&chunk(b"one"), &mut out).unwrap();
        (case.change)(&mut out);
        let mut reader = reader();
        let error = loop {
            match reader.read(&mut out) {
                Ok(Some(_)) => {}
                Ok(None) => break check_end(&out).unwrap_err(),
                Err(error) => break error,
            }
        };
        assert_eq!(error, case.expected, "{}", case.name);
    }
}

#[test]
fn errors_when_a_frame_to_write_is_too_large() {
    let mut out = BytesMut::new();
    let mut writer = writer();
    let error = writer.write(&chunk(&[0; MAX_BYTES]), &mut out).unwrap_err();
    assert!(matches!(error, CodecError::TooLarge(_, MAX_BYTES)));
    writer.write(&chunk(b"next"), &mut out).unwrap();
    assert_eq!(reader().read(&mut out), Ok(Some(chunk(b"next"))));
}

checks::seeded! {
    fn can_reject_any_unsigned_bytes(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&bytes[..]);
        let frame = reader().read(&mut buffer);
        let keys = Keys::one(key(1));
        let hello = read_caller_hello(&mut BytesMut::from(&bytes[..]), &keys);
        !matches!(frame, Ok(Some(_))) && !matches!(hello, Ok(Some(_)))
    }

    fn can_read_frames_in_any_pieces(sizes: Vec<u8>, count: u8) -> bool {
        let (mut writer, mut reader) = (writer(), reader());
        let mut stream = BytesMut::new();
        (0..count).for_each(|_| writer.write(&chunk(b"abc"), &mut stream).unwrap());
        let (mut buffer, mut read) = (BytesMut::new(), 0);
        for size in sizes.iter().map(|&size| usize::from(size)).chain([usize::MAX]) {
            buffer.extend_from_slice(&stream.split_to(size.min(stream.len())));
            while reader.read(&mut buffer).unwrap().is_some() {
                read += 1;
            }
        }
        read == count
    }
}

// While keys are rotated, the callee must accept a hello signed with either key and learn which
// key it was, since it signs its own hello with the same one.
#[test]
fn can_accept_a_hello_with_either_key() {
    for (signing, is_accepted) in [(key(1), true), (key(2), true), (key(3), false)] {
        let mut out = BytesMut::new();
        write_caller_hello(&hello(), &signing, &mut out).unwrap();
        let keys = Keys::two(key(1), key(2));
        match read_caller_hello(&mut out, &keys) {
            Ok(Some((read, used))) => assert_eq!((read, used), (hello(), &signing)),
            other => {
                assert_eq!(other, Err(CodecError::UnknownKey(signing.id())));
                assert!(!is_accepted);
            }
        }
    }
}

// A recorded hello of the callee must not be accepted on a new connection. Its code covers the
// nonce of the caller's hello that it answered.
#[test]
fn errors_when_a_hello_is_replayed() {
    let keys = Keys::one(key(1));
    let mut out = BytesMut::new();
    write_callee_hello(&hello(), &key(1), &CALLER, &mut out).unwrap();
    let replayed = read_callee_hello(&mut out.clone(), &keys, &[9; 16]);
    assert_eq!(replayed, Err(CodecError::Unauthentic));
    let as_caller = read_caller_hello(&mut out.clone(), &keys);
    assert_eq!(as_caller, Err(CodecError::Unauthentic));
    assert!(
        read_callee_hello(&mut out, &keys, &CALLER)
            .unwrap()
            .is_some()
    );
}

#[test]
fn can_negotiate_a_version() {
    let cases = [
        ((1, 1), Ok(1)),
        ((0, 9), Ok(1)),
        ((2, 3), Err(())),
        ((0, 0), Err(())),
    ];
    for ((version_min, version_max), expected) in cases {
        let peer = Hello {
            version_min,
            version_max,
            ..hello()
        };
        let mismatch = CodecError::NoCommonVersion(version_min, version_max);
        assert_eq!(negotiate_version(&peer), expected.map_err(|()| mismatch));
    }
}

#[test]
fn can_print_keys_without_their_secrets() {
    let keys = Keys::two(key(1), key(2));
    assert_eq!(
        format!("{keys:?}").matches("0101").count(),
        0,
        "the Debug form contains the secret"
    );
}
