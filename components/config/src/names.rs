//! Parsing of names, excerpts of wrong values and suggestions for misspelt ones.

use std::str::FromStr;

use types::NameError;

use crate::complaint::Report;
use crate::{ComplaintCause, Place};

/// Parses a name and reports an invalid one.
pub(crate) fn parse_name<N>(field: &str, text: &str, place: Place, report: &mut Report) -> Option<N>
where
    N: FromStr<Err = NameError>,
{
    match text.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            let cause = ComplaintCause::BadName {
                field: field.to_owned(),
                text: excerpt(text),
                error,
            };
            report.add_error(place, cause);
            None
        }
    }
}

/// Maximum length of the excerpt of a wrong value in a complaint, in characters.
const EXCERPT_CHARS_MAX: usize = 80;

/// The text, truncated to the maximum length of an excerpt.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(EXCERPT_CHARS_MAX).collect()
}

/// Returns the known name with the smallest edit distance, if it is close enough to be a likely
/// misspelling.
pub(crate) fn nearest<'n>(found: &str, known: impl IntoIterator<Item = &'n str>) -> Option<String> {
    let found = excerpt(found);
    let distance_max = (found.len() / 3).max(1);
    let found_bytes = found.len();
    let known = known
        .into_iter()
        .filter(|name| name.len().abs_diff(found_bytes) <= distance_max);
    let distances = known.map(|name| (strsim::damerau_levenshtein(&found, name), name));
    let candidates = distances.filter(|(distance, _)| *distance <= distance_max);
    candidates.min().map(|(_, name)| name.to_owned())
}
