//! One line of a front's log.

/// A line: when, of which front, which event, and its fields.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// When, in milliseconds of the collector's clock.
    pub at_ms: f64,
    /// The front, as the collector names it.
    pub front: &'a str,
    /// The event.
    pub event: &'a str,
    fields: &'a str,
}

impl<'a> LogLine<'a> {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        value_of(self.fields, name)
    }
}

/// Reads a line as a collector writes it: seconds, the front, then the front's own line.
pub fn parse_line(text: &str) -> Option<LogLine<'_>> {
    let (seconds, rest) = text.trim_start().split_once(' ')?;
    let seconds: f64 = seconds.parse().ok()?;
    let (front, fields) = rest.split_once(' ')?;
    Some(LogLine {
        at_ms: seconds * 1e3,
        front,
        event: value_of(fields, "event")?,
        fields,
    })
}

fn value_of<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let fields = fields.split_ascii_whitespace();
    let mut pairs = fields.filter_map(|field| field.split_once('='));
    let found = pairs.find(|(known, _)| *known == name);
    found.map(|(_, value)| value)
}
