//! Parsing of completions streams: completeness and independence of how the bytes are split.

use adapters::sse::{FinishReason, Parser, Piece, SseError, Transcript};

const LINE_BYTES_MAX: usize = 400;
const TEXT_BYTES_MAX: usize = 40;

/// Everything that the parser yields for a stream.
#[derive(Clone, Debug, PartialEq)]
struct ParsedStream {
    pieces: Vec<Piece>,
    transcript: Transcript,
    finish: Option<FinishReason>,
    is_complete: bool,
    error: Option<SseError>,
}

fn read<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> ParsedStream {
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
    ParsedStream {
        pieces,
        transcript,
        finish: parser.finish(),
        is_complete: pushed.is_ok() && parser.is_complete(),
        error: pushed.err(),
    }
}

fn chunk(text: &str, finish: &str, version: &str) -> String {
    let finish = match finish {
        "" => "null".to_owned(),
        reason => format!("\"{reason}\""),
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
    is_complete: bool,
    error: Option<SseError>,
}

fn cases() -> Vec<Case> {
    let stamped_case = |name, stream, is_complete| Case {
        name,
        stream,
        text: "one two",
        versions: &["1.7"],
        has_unstamped: false,
        is_complete,
        error: None,
    };
    let one = chunk("one", "", "1.7");
    let two = chunk(" two", "stop", "1.7");
    let too_long = format!("data: {}\n", "x".repeat(LINE_BYTES_MAX));
    vec![
        stamped_case("complete", format!("{one}{two}{DONE}"), true),
        stamped_case("without its terminator", format!("{one}{two}"), false),
        stamped_case(
            "with a truncated terminator line",
            format!("{one}{two}data: [DONE]"),
            false,
        ),
        stamped_case(
            "without a finish reason",
            format!("{one}{}{DONE}", chunk(" two", "", "1.7")),
            false,
        ),
        stamped_case(
            "cancelled by the engine",
            format!("{one}{}{DONE}", chunk(" two", "abort", "1.7")),
            false,
        ),
        stamped_case(
            "with carriage returns, comments and a chunk with usage data only",
            format!(": hi\r\nevent: x\r\n{one}{two}data:{{\"choices\":[]}}\r\n\r\n{DONE}")
                .replace("}\n\n", "}\r\n\r\n"),
            true,
        ),
        Case {
            versions: &["1.7", "1.8"],
            ..stamped_case(
                "with a weight switch in the middle",
                format!("{one}{}{DONE}", chunk(" two", "length", "1.8")),
                true,
            )
        },
        Case {
            has_unstamped: true,
            ..stamped_case(
                "with a chunk without a weight version",
                format!("{one}{}{DONE}", chunk(" two", "stop", "")),
                true,
            )
        },
        Case {
            error: Some(SseError::AfterDone),
            ..stamped_case(
                "with a chunk after the terminator",
                format!("{one}{two}{DONE}{two}"),
                false,
            )
        },
        Case {
            text: "one",
            error: Some(SseError::InvalidChunk),
            ..stamped_case(
                "with a data line that is not a chunk",
                format!("{one}data: {{\"error\":\"x\"}}\n\n"),
                false,
            )
        },
        Case {
            text: "one",
            error: Some(SseError::LineTooLong(LINE_BYTES_MAX)),
            ..stamped_case(
                "with a line above the limit",
                format!("{one}{too_long}"),
                false,
            )
        },
        Case {
            text: "one",
            error: Some(SseError::TextTooLong(TEXT_BYTES_MAX)),
            ..stamped_case(
                "with a text above the limit",
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
            is_complete: false,
            error: None,
        },
        Case {
            name: "empty",
            stream: String::new(),
            text: "",
            versions: &[],
            has_unstamped: false,
            is_complete: false,
            error: None,
        },
    ]
}

#[test]
fn can_read_a_stream_split_at_any_byte() {
    for case in cases() {
        let bytes = case.stream.as_bytes();
        for split_at in 0..=bytes.len() {
            let parsed = read([&bytes[..split_at], &bytes[split_at..]]);
            let versions = parsed.transcript.versions.iter();
            let versions: Vec<String> = versions.map(ToString::to_string).collect();
            assert_eq!(
                parsed.transcript.text, case.text,
                "{} split at {split_at}",
                case.name
            );
            assert_eq!(versions, case.versions, "{} split at {split_at}", case.name);
            let has_unstamped = parsed.transcript.has_unstamped;
            assert_eq!(
                has_unstamped, case.has_unstamped,
                "{} split at {split_at}",
                case.name
            );
            assert_eq!(
                parsed.is_complete, case.is_complete,
                "{} split at {split_at}",
                case.name
            );
            assert_eq!(
                parsed.error, case.error,
                "{} split at {split_at}",
                case.name
            );
        }
    }
}

#[test]
fn is_incomplete_when_truncated_anywhere() {
    let stream = format!("{}{DONE}", chunk("one", "stop", "1.7"));
    // The last byte ends the blank line, and the terminator's line is complete without it.
    for end in 0..stream.len() - 1 {
        assert!(
            !read([&stream.as_bytes()[..end]]).is_complete,
            "truncated at {end}"
        );
    }
}

checks::seeded! {
    fn parses_the_same_however_the_stream_is_split(number: usize, cuts: Vec<usize>) -> bool {
        let cases = cases();
        let bytes = cases[number % cases.len()].stream.as_bytes();
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let parts = cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]);
        read(parts) == read([bytes])
    }

    fn parses_any_bytes_without_a_panic(parts: Vec<Vec<u8>>) -> bool {
        read(parts.iter().map(Vec::as_slice));
        true
    }
}
