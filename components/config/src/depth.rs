//! Limits the nesting depth of a text before it is parsed.
//!
//! The parser limits the depth of keys and the depth of values separately, and dropping a parsed
//! tree takes a stack frame per level. A text of a few kilobytes with long dotted keys in nested
//! inline tables would therefore overflow the stack of a worker thread and abort the process. This
//! scan has to be exact only for texts within the limit: it may reject a malformed text as too
//! deep, but must never pass a text that is too deep.

use crate::limit::DEPTH_MAX;

/// Maximum number of dots outside of quotes in one line: the dots of a dotted key, or of a few
/// numbers and dates.
const LINE_DOTS_MAX: usize = DEPTH_MAX;

/// Byte offset at which the nesting first exceeds the limit.
pub(crate) fn find_too_deep(text: &str) -> Option<usize> {
    let mut scan = NestingScan::default();
    let mut offset = 0;
    while let Some(rest) = text.get(offset..).filter(|rest| !rest.is_empty()) {
        let (token, length) = next_token(rest);
        scan.count(token);
        if scan.is_too_deep() {
            return Some(offset);
        }
        offset += length;
    }
    None
}

#[derive(Clone, Copy)]
enum Token {
    Open,
    Close,
    Dot,
    LineEnd,
    Other,
}

#[derive(Default)]
struct NestingScan {
    open_brackets: usize,
    line_dots: usize,
}

impl NestingScan {
    fn count(&mut self, token: Token) {
        match token {
            Token::Open => self.open_brackets += 1,
            Token::Close => self.open_brackets = self.open_brackets.saturating_sub(1),
            Token::Dot => self.line_dots += 1,
            Token::LineEnd => self.line_dots = 0,
            Token::Other => {}
        }
    }

    fn is_too_deep(&self) -> bool {
        self.open_brackets > DEPTH_MAX || self.line_dots > LINE_DOTS_MAX
    }
}

/// Returns the first token and its length in bytes.
fn next_token(rest: &str) -> (Token, usize) {
    const QUOTES: [&str; 4] = ["\"\"\"", "'''", "\"", "'"];
    if let Some(quote) = QUOTES.into_iter().find(|quote| rest.starts_with(quote)) {
        return (Token::Other, quoted_bytes(rest, quote));
    }
    let first = rest.chars().next().unwrap_or('\n');
    match first {
        '#' => (Token::Other, rest.find('\n').unwrap_or(rest.len())),
        '[' | '{' => (Token::Open, 1),
        ']' | '}' => (Token::Close, 1),
        '.' => (Token::Dot, 1),
        '\n' => (Token::LineEnd, 1),
        other => (Token::Other, other.len_utf8()),
    }
}

/// Length in bytes of the quoted text at the start of `rest`. An unterminated text ends with its
/// line, or with the whole text for triple quotes; the parser reports it.
fn quoted_bytes(rest: &str, quote: &str) -> usize {
    let has_escapes = quote.starts_with('"');
    let is_multiline = quote.len() > 1;
    let mut offset = quote.len();
    while let Some(remaining) = rest.get(offset..).filter(|remaining| !remaining.is_empty()) {
        if remaining.starts_with(quote) {
            return offset + quote.len() + extra_quotes(remaining, quote);
        }
        if !is_multiline && remaining.starts_with(['\n', '\r']) {
            return offset;
        }
        let mut chars = remaining.chars();
        let first = chars.next().map_or(0, char::len_utf8);
        let is_escape =
            has_escapes && remaining.starts_with('\\') && !remaining.starts_with("\\\n");
        let second = chars.next().filter(|_| is_escape).map_or(0, char::len_utf8);
        offset += first + second;
    }
    rest.len()
}

/// Number of quotes, at most two, after a closing triple quote that still belong to the quoted
/// text.
fn extra_quotes(closing: &str, quote: &str) -> usize {
    if quote.len() == 1 {
        return 0;
    }
    let quote_char = &quote[..1];
    let after = &closing[quote.len()..];
    let first = usize::from(after.starts_with(quote_char));
    let second = usize::from(after.starts_with(&quote[..2]));
    first + second
}
