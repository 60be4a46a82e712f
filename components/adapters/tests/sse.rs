//! Completions streams: what is whole, whatever the bytes' splits.

use adapters::sse::{FinishReason, Parser, Piece, SseError, Transcript};

const LINE_BYTES_MAX: usize = 400;
const TEXT_BYTES_MAX: usize = 40;

/// All that a reader learns from a stream.
#[derive(Clone, Debug, PartialEq)]
struct Learned {
    pieces: Vec<Piece>,
    transcript: Transcript,
    finish: Option<FinishReason>,
    whole: bool,
    error: Option<SseError>,
}

fn read<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Learned {
    let mut parser = Parser::new(LINE_BYTES_MAX);
    let mut pieces = Vec::new();
    let mut transcript = Transcript::default();
    let pushed = parts.into_iter().try_for_each(|part| {
        parser.push(part, |piece| {
            transcript.add(&piece, TEXT_BYTES_MAX)?;
            pieces.push(piece);
            Ok(())
        })
    });
    Learned {
        pieces,
        transcript,
        finish: parser.finish(),
        whole: pushed.is_ok() && parser.is_complete(),
        error: pushed.err(),
    }
}

fn chunk(text: &str, finish: &str, version: &str) -> String {
    let finish = match finish {
        "" => "null".to_owned(),
        word => format!("\"{word}\""),
    };
    let stamp = match version {
        "" => String::new(),
        version => format!(",\"weight_version\":\"{version}\""),
    };
    let choice = format!("{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{finish}}}");
    format!("data: {{\"id\":\"c\",\"choices\":[{choice}]{stamp}}}\n\n")
}

const DONE: &str = "data: [DONE]\n\n";

struct Case {
    name: &'static str,
    stream: String,
    text: &'static str,
    versions: &'static [&'static str],
    has_unstamped: bool,
    whole: bool,
    error: Option<SseError>,
}

fn cases() -> Vec<Case> {
    let clear = |name, stream, whole| Case {
        name,
        stream,
        text: "one two",
        versions: &["1.7"],
        has_unstamped: false,
        whole,
        error: None,
    };
    let one = chunk("one", "", "1.7");
    let two = chunk(" two", "stop", "1.7");
    let too_long = format!("data: {}\n", "x".repeat(LINE_BYTES_MAX));
    vec![
        clear("whole", format!("{one}{two}{DONE}"), true),
        clear("without its terminator", format!("{one}{two}"), false),
        clear(
            "with the terminator's line cut short",
            format!("{one}{two}data: [DONE]"),
            false,
        ),
        clear(
            "without a finish reason",
            format!("{one}{}{DONE}", chunk(" two", "", "1.7")),
            false,
        ),
        clear(
            "cancelled by the engine",
            format!("{one}{}{DONE}", chunk(" two", "abort", "1.7")),
            false,
        ),
        clear(
            "with carriage returns, comments and a chunk of usage alone",
            format!(": hi\r\nevent: x\r\n{one}{two}data:{{\"choices\":[]}}\r\n\r\n{DONE}")
                .replace("}\n\n", "}\r\n\r\n"),
            true,
        ),
        Case {
            versions: &["1.7", "1.8"],
            ..clear(
                "with a switch in its middle",
                format!("{one}{}{DONE}", chunk(" two", "length", "1.8")),
                true,
            )
        },
        Case {
            has_unstamped: true,
            ..clear(
                "with a chunk of unknown origin",
                format!("{one}{}{DONE}", chunk(" two", "stop", "")),
                true,
            )
        },
        Case {
            error: Some(SseError::AfterDone),
            ..clear(
                "with a chunk after the terminator",
                format!("{one}{two}{DONE}{two}"),
                false,
            )
        },
        Case {
            text: "one",
            error: Some(SseError::InvalidChunk),
            ..clear(
                "with something else in a data line",
                format!("{one}data: {{\"error\":\"x\"}}\n\n"),
                false,
            )
        },
        Case {
            text: "one",
            error: Some(SseError::LineTooLong(LINE_BYTES_MAX)),
            ..clear("with a line too long", format!("{one}{too_long}"), false)
        },
        Case {
            text: "one",
            error: Some(SseError::TextTooLong(TEXT_BYTES_MAX)),
            ..clear(
                "with too much text",
                format!("{one}{}", chunk(&"x".repeat(TEXT_BYTES_MAX), "", "1.7")),
                false,
            )
        },
        Case {
            name: "with one of two completions unfinished",
            stream: format!(
                "{one}{}{two}{DONE}",
                one.replace("\"index\":0", "\"index\":1")
            ),
            text: "oneone two",
            versions: &["1.7"],
            has_unstamped: false,
            whole: false,
            error: None,
        },
        Case {
            name: "empty",
            stream: String::new(),
            text: "",
            versions: &[],
            has_unstamped: false,
            whole: false,
            error: None,
        },
    ]
}

#[test]
fn can_read_a_stream_split_at_any_byte() {
    for case in cases() {
        let bytes = case.stream.as_bytes();
        for at in 0..=bytes.len() {
            let learned = read([&bytes[..at], &bytes[at..]]);
            let versions = learned.transcript.versions.iter();
            let versions: Vec<String> = versions.map(ToString::to_string).collect();
            assert_eq!(learned.transcript.text, case.text, "{} at {at}", case.name);
            assert_eq!(versions, case.versions, "{} at {at}", case.name);
            let has_unstamped = learned.transcript.has_unstamped;
            assert_eq!(has_unstamped, case.has_unstamped, "{} at {at}", case.name);
            assert_eq!(learned.whole, case.whole, "{} at {at}", case.name);
            assert_eq!(learned.error, case.error, "{} at {at}", case.name);
        }
    }
}

#[test]
fn is_not_whole_when_cut_anywhere() {
    let whole = format!("{}{DONE}", chunk("one", "stop", "1.7"));
    // The last byte is the blank line's, which adds nothing to the terminator's line.
    for end in 0..whole.len() - 1 {
        assert!(!read([&whole.as_bytes()[..end]]).whole, "cut at {end}");
    }
}

checks::seeded! {
    fn reads_the_same_however_it_is_split(number: usize, cuts: Vec<usize>) -> bool {
        let cases = cases();
        let bytes = cases[number % cases.len()].stream.as_bytes();
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let parts = cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]);
        read(parts) == read([bytes])
    }

    fn takes_any_bytes_without_a_panic(parts: Vec<Vec<u8>>) -> bool {
        read(parts.iter().map(Vec::as_slice));
        true
    }
}
