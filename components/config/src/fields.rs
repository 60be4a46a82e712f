//! Reads the fields of one TOML table by name and type, and reports fields that were never read as
//! unknown.

use std::ops::RangeInclusive;
use std::str::FromStr;

use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue};
use types::NameError;

use crate::complaint::Report;
use crate::names::{nearest, parse_name};
use crate::place::LineIndex;
use crate::{ComplaintCause, Place, Rules};

/// A table of a text and the names of the fields read from it so far.
pub(crate) struct FieldReader<'a> {
    table: Option<&'a DeTable<'a>>,
    lines: &'a LineIndex<'a>,
    place: Place,
    known_fields: Vec<&'static str>,
    /// Rules that the text is checked against.
    pub(crate) rules: Rules,
    /// Whether the text's schema minor is higher than the one that the rules know. Unknown fields
    /// then draw warnings instead of errors.
    pub(crate) newer_schema: bool,
}

/// A text value and its position in the source.
pub(crate) type SpannedText = (String, Place);

impl<'a> FieldReader<'a> {
    pub(crate) fn root(table: &'a DeTable<'a>, lines: &'a LineIndex<'a>, rules: Rules) -> Self {
        Self {
            table: Some(table),
            lines,
            place: Place::START,
            known_fields: Vec::new(),
            rules,
            newer_schema: false,
        }
    }

    fn nested(&self, table: Option<&'a DeTable<'a>>, place: Place) -> FieldReader<'a> {
        FieldReader {
            table,
            place,
            known_fields: Vec::new(),
            ..*self
        }
    }

    /// Position of the field's value, or of the table if the field is missing.
    pub(crate) fn place_of(&self, field: &str) -> Place {
        let value = self.table.and_then(|table| table.get(field));
        value.map_or(self.place, |value| self.place_in(value))
    }

    pub(crate) fn has(&self, field: &str) -> bool {
        self.table.is_some_and(|table| table.contains_key(field))
    }

    fn place_in<T>(&self, value: &Spanned<T>) -> Place {
        self.lines.place(value.span().start)
    }

    fn read_value(&mut self, field: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_fields.push(field);
        self.table?.get(field)
    }

    fn report_wrong_type(
        &self,
        field: &str,
        value: &Spanned<DeValue<'_>>,
        wanted: &'static str,
        report: &mut Report,
    ) {
        let cause = ComplaintCause::WrongType {
            field: field.to_owned(),
            found: value.get_ref().type_str(),
            wanted,
        };
        report.add_error(self.place_in(value), cause);
    }

    pub(crate) fn report_missing(
        &self,
        field: &'static str,
        wanted: &'static str,
        report: &mut Report,
    ) {
        report.add_error(self.place, ComplaintCause::MissingField { field, wanted });
    }

    /// Reads an optional text.
    pub(crate) fn text(&mut self, field: &'static str, report: &mut Report) -> Option<SpannedText> {
        let value = self.read_value(field)?;
        match value.get_ref().as_str() {
            Some(text) => Some((text.to_owned(), self.place_in(value))),
            None => {
                self.report_wrong_type(field, value, "a text in quotes", report);
                None
            }
        }
    }

    /// Reads a required name.
    pub(crate) fn name<N>(&mut self, field: &'static str, report: &mut Report) -> Option<N>
    where
        N: FromStr<Err = NameError>,
    {
        if !self.has(field) {
            self.known_fields.push(field);
            self.report_missing(field, "a name in quotes", report);
            return None;
        }
        self.optional_name(field, report)
    }

    /// Reads an optional name.
    pub(crate) fn optional_name<N>(&mut self, field: &'static str, report: &mut Report) -> Option<N>
    where
        N: FromStr<Err = NameError>,
    {
        let (text, place) = self.text(field, report)?;
        parse_name(field, &text, place, report)
    }

    /// Reads an optional text that must be one of `choices` and returns the value that belongs to
    /// the text.
    pub(crate) fn choice<W: Copy>(
        &mut self,
        field: &'static str,
        choices: &[(&'static str, W)],
        report: &mut Report,
    ) -> Option<W> {
        let (found, place) = self.text(field, report)?;
        if let Some((_, value)) = choices.iter().find(|(text, _)| *text == found) {
            return Some(*value);
        }
        let allowed: Vec<&str> = choices.iter().map(|(text, _)| *text).collect();
        let cause = ComplaintCause::UnknownWord {
            field,
            nearest: nearest(&found, allowed.iter().copied()),
            found,
            allowed: allowed.join(", "),
        };
        report.add_error(place, cause);
        None
    }

    /// Reads an integer. Returns the default if the field is missing, has the wrong type or is out
    /// of range; the latter two are reported.
    pub(crate) fn number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        report: &mut Report,
    ) -> u64 {
        let Some(value) = self.read_value(field) else {
            return default;
        };
        let Some(integer) = value.get_ref().as_integer() else {
            self.report_wrong_type(field, value, "a whole number", report);
            return default;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        let cause = ComplaintCause::OutOfRange {
            field,
            found: integer.as_str().to_owned(),
            min: *range.start(),
            max: *range.end(),
        };
        report.add_error(self.place_in(value), cause);
        default
    }

    /// Reads a required integer or text and returns it as written.
    pub(crate) fn integer_or_text(
        &mut self,
        field: &'static str,
        wanted: &'static str,
        report: &mut Report,
    ) -> Option<SpannedText> {
        let Some(value) = self.read_value(field) else {
            self.report_missing(field, wanted, report);
            return None;
        };
        let integer = value.get_ref().as_integer().map(|integer| integer.as_str());
        match integer.or_else(|| value.get_ref().as_str()) {
            Some(text) => Some((text.to_owned(), self.place_in(value))),
            None => {
                self.report_wrong_type(field, value, wanted, report);
                None
            }
        }
    }

    /// Reads an optional list. Returns `None` if the field is missing, is not a list or has more
    /// than `max` entries; the latter two are reported.
    fn list(
        &mut self,
        field: &'static str,
        max: usize,
        wanted: &'static str,
        report: &mut Report,
    ) -> Option<&'a DeArray<'a>> {
        let value = self.read_value(field)?;
        let Some(list) = value.get_ref().as_array() else {
            self.report_wrong_type(field, value, wanted, report);
            return None;
        };
        if list.len() > max {
            let found = list.len();
            let cause = ComplaintCause::TooMany { field, found, max };
            report.add_error(self.place_in(value), cause);
            return None;
        }
        Some(list)
    }

    /// Reads a list of texts; a missing list counts as empty.
    pub(crate) fn texts(
        &mut self,
        field: &'static str,
        max: usize,
        report: &mut Report,
    ) -> Vec<SpannedText> {
        let Some(list) = self.list(field, max, "a list of texts", report) else {
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(list.len());
        for entry in list.iter() {
            match entry.get_ref().as_str() {
                Some(text) => texts.push((text.to_owned(), self.place_in(entry))),
                None => self.report_wrong_type(field, entry, "a text in quotes", report),
            }
        }
        texts
    }

    /// Reads a table; a missing table counts as one without fields.
    pub(crate) fn table(
        &mut self,
        field: &'static str,
        report: &mut Report,
    ) -> Option<FieldReader<'a>> {
        let Some(value) = self.read_value(field) else {
            return Some(self.nested(None, self.place));
        };
        match value.get_ref().as_table() {
            Some(table) => Some(self.nested(Some(table), self.place_in(value))),
            None => {
                self.report_wrong_type(field, value, "a table", report);
                None
            }
        }
    }

    /// Reads a list of tables, written `[[field]]`; a missing list counts as empty.
    pub(crate) fn tables(
        &mut self,
        field: &'static str,
        max: usize,
        report: &mut Report,
    ) -> Vec<FieldReader<'a>> {
        let wanted = "a list of tables, with two brackets";
        let Some(list) = self.list(field, max, wanted, report) else {
            return Vec::new();
        };
        let mut tables = Vec::with_capacity(list.len());
        for entry in list.iter() {
            match entry.get_ref().as_table() {
                Some(table) => tables.push(self.nested(Some(table), self.place_in(entry))),
                None => self.report_wrong_type(field, entry, "a table", report),
            }
        }
        tables
    }

    /// Reports each field of the table that was never read.
    pub(crate) fn report_unknown(&self, report: &mut Report) {
        for key in self.table.into_iter().flat_map(|table| table.keys()) {
            let field: &str = key.get_ref();
            if self.known_fields.contains(&field) {
                continue;
            }
            let place = self.place_in(key);
            let field = field.to_owned();
            if self.newer_schema {
                report.add_warning(place, ComplaintCause::NewerField { field });
                continue;
            }
            let cause = ComplaintCause::UnknownField {
                nearest: nearest(&field, self.known_fields.iter().copied()),
                field,
                allowed: self.known_fields.join(", "),
            };
            report.add_error(place, cause);
        }
    }
}
