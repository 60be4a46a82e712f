//! Parsing of the log lines that a collector gathers from the fronts.

/// A log line with its time, its front, its event and its fields.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// Time in milliseconds of the collector's clock.
    pub at_ms: f64,
    /// Name that the collector gives to the front.
    pub front: &'a str,
    /// Value of the line's field `event`.
    pub event: &'a str,
    fields: &'a str,
}

impl<'a> LogLine<'a> {
    /// Returns the value of a field, or `None` if the line does not have the field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        field_value(self.fields, name)
    }
}

/// Parses a line as the collector writes it: the time in seconds, the name of the front, and the
/// logfmt line of the front. Returns `None` for any other text.
pub fn parse_line(text: &str) -> Option<LogLine<'_>> {
    let (seconds, rest) = text.trim_start().split_once(' ')?;
    let seconds: f64 = seconds.parse().ok()?;
    let (front, fields) = rest.split_once(' ')?;
    Some(LogLine {
        at_ms: seconds * 1e3,
        front,
        event: field_value(fields, "event")?,
        fields,
    })
}

fn field_value<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let fields = fields.split_ascii_whitespace();
    let mut pairs = fields.filter_map(|field| field.split_once('='));
    let pair = pairs.find(|(key, _)| *key == name);
    pair.map(|(_, value)| value)
}
