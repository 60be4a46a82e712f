//! Encoding and authentication of datagrams.
#![allow(clippy::unwrap_used)] // clippy.toml exempts only test functions.

use protocol::{
    CodecError, DATAGRAM_BYTES_MAX, Datagram, GossipMessage, Key, Keys, ProcessRole, read_datagram,
    write_datagram,
};
use types::{Incarnation, NodeId};

fn node(number: u64) -> NodeId {
    NodeId {
        address: ([10, 0, 0, 1], 80).into(),
        incarnation: Incarnation(number),
    }
}

fn datagram(messages: Vec<GossipMessage>) -> Datagram {
    Datagram {
        from: node(1),
        role: ProcessRole::Entry,
        messages,
    }
}

fn keys() -> Keys {
    Keys::one(Key::new([1; 32]))
}

checks::seeded! {
    fn can_split_any_number_of_messages(numbers: Vec<u64>, repeat: u8) -> bool {
        let numbers = numbers.repeat(usize::from(repeat));
        let messages: Vec<_> = numbers
            .iter()
            .map(|&number| GossipMessage::Leaving { node: node(number) })
            .collect();
        let keys = keys();
        let (packets, errors) =
            write_datagram(&datagram(messages.clone()), keys.signing()).unwrap();
        let decoded = packets.iter().map(|packet| read_datagram(packet, &keys).unwrap());
        let decoded: Vec<GossipMessage> = decoded.flat_map(|part| part.messages).collect();
        let all_fit = packets.iter().all(|packet| packet.len() <= DATAGRAM_BYTES_MAX);
        errors.is_empty() && all_fit && decoded == messages
    }

    fn can_reject_any_unsigned_bytes(bytes: Vec<u8>) -> bool {
        read_datagram(&bytes, &keys()).is_err()
    }
}

struct Case {
    name: &'static str,
    change: fn(&mut Vec<u8>),
    expected: CodecError,
}

#[test]
fn errors_when_a_datagram_is_not_authentic() {
    let case = |name, change, expected| Case {
        name,
        change,
        expected,
    };
    let cases = [
        case(
            "corrupted",
            |packet| packet[5] ^= 1,
            CodecError::Unauthentic,
        ),
        case(
            "truncated",
            |packet| packet.truncate(packet.len() - 1),
            CodecError::Unauthentic,
        ),
        case(
            "too short",
            |packet| packet.truncate(3),
            CodecError::TooShort(3),
        ),
        case(
            "too large",
            |packet| packet.resize(1_201, 0),
            CodecError::TooLarge(1_201, 1_200),
        ),
        case(
            "unaccepted key",
            |packet| packet[..4].fill(7),
            CodecError::UnknownKey([7; 4]),
        ),
    ];
    for case in cases {
        let written =
            write_datagram(&datagram(vec![GossipMessage::Probe]), keys().signing()).unwrap();
        let mut packet = written.0[0].to_vec();
        (case.change)(&mut packet);
        assert_eq!(
            read_datagram(&packet, &keys()),
            Err(case.expected),
            "{}",
            case.name
        );
    }
}

// A change of the encoding would break communication between releases. The expected bytes were
// computed by another program from the description of the format.
#[test]
fn keeps_the_encoding_of_datagrams() {
    let messages = vec![
        GossipMessage::Probe,
        GossipMessage::Leaving { node: node(300) },
    ];
    let (packets, _) = write_datagram(&datagram(messages), keys().signing()).unwrap();
    let hex: String = packets[0]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let expected = "16feae8d000a000001500100020004000a00000150ac02\
                    a0707fe5cc56cfa4d8b6e7aaf525ea4d";
    assert_eq!(hex, expected);
}
