//! Nesting of a text, measured before it is parsed.
//!
//! The parser bounds keys and values each for itself, and dropping a deep tree takes a
//! stack frame a level: a text of a few kilobytes with long dotted keys in nested inline
//! tables would overflow the stack of a worker thread and end the process. So a text is
//! looked through first. The look only has to be right for texts within the limit;
//! it may call a strange text too deep, never a deep text fine.

use crate::limit::DEPTH_MAX;

/// Most dots outside of quotes in one line: those of a dotted key, or of a few numbers
/// and dates.
const LINE_DOTS_MAX: usize = DEPTH_MAX;

/// Where the text begins to be nested too deep.
pub(crate) fn find_too_deep(text: &str) -> Option<usize> {
    let mut scan = NestingScan::default();
    let mut at = 0;
    while let Some(rest) = text.get(at..).filter(|rest| !rest.is_empty()) {
        let (token, length) = next_token(rest);
        scan.count(token);
        if scan.is_too_deep() {
            return Some(at);
        }
        at += length;
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
    open: usize,
    dots: usize,
}

impl NestingScan {
    fn count(&mut self, token: Token) {
        match token {
            Token::Open => self.open += 1,
            Token::Close => self.open = self.open.saturating_sub(1),
            Token::Dot => self.dots += 1,
            Token::LineEnd => self.dots = 0,
            Token::Other => {}
        }
    }

    fn is_too_deep(&self) -> bool {
        self.open > DEPTH_MAX || self.dots > LINE_DOTS_MAX
    }
}

/// The first token and its length in bytes.
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

/// Length of the quoted text at the start; to the end of the line or text where it is
/// not closed, which the parser complains about.
fn quoted_bytes(rest: &str, quote: &str) -> usize {
    let escapes = quote.starts_with('"');
    let lines = quote.len() > 1;
    let mut at = quote.len();
    while let Some(left) = rest.get(at..).filter(|left| !left.is_empty()) {
        if left.starts_with(quote) {
            return at + quote.len() + extra_quotes(left, quote);
        }
        if !lines && left.starts_with(['\n', '\r']) {
            return at;
        }
        let mut chars = left.chars();
        let first = chars.next().map_or(0, char::len_utf8);
        let escaped = escapes && left.starts_with('\\') && !left.starts_with("\\\n");
        let second = chars.next().filter(|_| escaped).map_or(0, char::len_utf8);
        at += first + second;
    }
    rest.len()
}

/// Quotes behind a closing triple quote that still belong to its text.
fn extra_quotes(closing: &str, quote: &str) -> usize {
    if quote.len() == 1 {
        return 0;
    }
    let one = &quote[..1];
    let behind = &closing[quote.len()..];
    let first = usize::from(behind.starts_with(one));
    let second = usize::from(behind.starts_with(&quote[..2]));
    first + second
}
