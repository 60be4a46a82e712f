//! The fields of one table of a text: each is asked for by name and type, and what was
//! not asked for is an unknown field.

use std::ops::RangeInclusive;
use std::str::FromStr;

use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue};
use types::NameError;

use crate::complaint::Report;
use crate::names::{nearest, parse_name};
use crate::place::LineIndex;
use crate::{ComplaintCause, Place, Rules};

/// A table of a text and the fields that were asked for so far.
pub(crate) struct FieldReader<'a> {
    table: Option<&'a DeTable<'a>>,
    lines: &'a LineIndex<'a>,
    place: Place,
    known_fields: Vec<&'static str>,
    /// The rules by which the text is judged.
    pub(crate) rules: Rules,
    /// The text says a higher schema minor than the rules know.
    pub(crate) newer_schema: bool,
}

/// A text value and its place.
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

    /// Where the field's value stands, or else its table.
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

    /// A text; a missing one is no complaint.
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

    /// A name that has to be there.
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

    /// A name; a missing one is no complaint.
    pub(crate) fn optional_name<N>(&mut self, field: &'static str, report: &mut Report) -> Option<N>
    where
        N: FromStr<Err = NameError>,
    {
        let (text, place) = self.text(field, report)?;
        parse_name(field, &text, place, report)
    }

    /// One of some words; a missing one is no complaint.
    pub(crate) fn choice<W: Copy>(
        &mut self,
        field: &'static str,
        words: &[(&'static str, W)],
        report: &mut Report,
    ) -> Option<W> {
        let (found, place) = self.text(field, report)?;
        if let Some((_, word)) = words.iter().find(|(word, _)| *word == found) {
            return Some(*word);
        }
        let allowed: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let cause = ComplaintCause::UnknownWord {
            field,
            nearest: nearest(&found, allowed.iter().copied()),
            found,
            allowed: allowed.join(", "),
        };
        report.add_error(place, cause);
        None
    }

    /// A whole number within its range, or the default.
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

    /// A whole number or a text that has to be there, as it is written.
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

    /// A list; none where it is missing, and none but a complaint where it is something else
    /// or too long.
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

    /// A list of texts; an empty one where it is missing.
    pub(crate) fn texts(
        &mut self,
        field: &'static str,
        max: usize,
        report: &mut Report,
    ) -> Vec<SpannedText> {
        let Some(list) = self.list(field, max, "a list of texts", report) else {
            return Vec::new();
        };
        let mut words = Vec::with_capacity(list.len());
        for entry in list.iter() {
            match entry.get_ref().as_str() {
                Some(text) => words.push((text.to_owned(), self.place_in(entry))),
                None => self.report_wrong_type(field, entry, "a text in quotes", report),
            }
        }
        words
    }

    /// A table; one without fields where it is missing.
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

    /// A list of tables, written `[[field]]`; an empty one where it is missing.
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

    /// Complains about each field that was not asked for.
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
