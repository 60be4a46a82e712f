//! Output of the commands: tables for operators, JSON for programs.

use clap::ArgMatches;
use serde::Serialize;
use settings::{SettingsError, choice};

const OUTPUT_EXPECTED: &str = "table or json";
/// Text between two columns.
const COLUMN_GAP: &str = "  ";

/// Format in which a command prints its result.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns below their titles.
    Table,
    /// One JSON document.
    Json,
}

impl OutputFormat {
    /// Reads the flag `--output`. Returns an error if its value is not a known format.
    pub fn from_flags(matches: &ArgMatches) -> Result<OutputFormat, SettingsError> {
        choice(matches, "output", OUTPUT_EXPECTED, |text| match text {
            "table" => Some(OutputFormat::Table),
            "json" => Some(OutputFormat::Json),
            _ => None,
        })
    }
}

/// Prints rows below the titles of the columns; each column is as wide as its widest cell.
pub fn print_table<const N: usize>(titles: [&str; N], rows: &[[String; N]]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([titles[column].len()]).max().unwrap_or(0)
    };
    let widths: [usize; N] = std::array::from_fn(width);
    print_row(titles, &widths);
    for row in rows {
        print_row(std::array::from_fn(|column| row[column].as_str()), &widths);
    }
}

fn print_row<const N: usize>(cells: [&str; N], widths: &[usize; N]) {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    println!("{}", padded.join(COLUMN_GAP).trim_end());
}

/// Prints a value as JSON.
pub fn print_json(value: &impl Serialize) {
    // The values consist of strings, numbers and lists of them, which always serialize.
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
