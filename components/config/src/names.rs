//! Names and other words of a text.

use std::str::FromStr;

use types::NameError;

use crate::complaint::Report;
use crate::{ComplaintCause, Place};

/// Reads a name; complains if it is none.
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

/// Longest excerpt of a wrong value in a complaint, in characters.
const EXCERPT_CHARS_MAX: usize = 80;

/// The text, cut to the length of an excerpt.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(EXCERPT_CHARS_MAX).collect()
}

/// The known name that is close enough to be meant.
pub(crate) fn nearest<'n>(found: &str, known: impl IntoIterator<Item = &'n str>) -> Option<String> {
    let found = excerpt(found);
    let far = (found.len() / 3).max(1);
    let found_bytes = found.len();
    let known = known
        .into_iter()
        .filter(|name| name.len().abs_diff(found_bytes) <= far);
    let distances = known.map(|name| (strsim::damerau_levenshtein(&found, name), name));
    let near = distances.filter(|(distance, _)| *distance <= far);
    near.min().map(|(_, name)| name.to_owned())
}
