//! Printing: tables for people, JSON for programs.

use clap::ArgMatches;
use serde::Serialize;
use settings::{SettingsError, choice};

const FORMS: &str = "table or json";
const GAP: &str = "  ";

/// How a command prints.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Columns.
    Table,
    /// One JSON text.
    Json,
}

impl Form {
    /// The form that the flags ask for. Errors when it is none.
    pub fn of(matches: &ArgMatches) -> Result<Form, SettingsError> {
        choice(matches, "output", FORMS, |text| match text {
            "table" => Some(Form::Table),
            "json" => Some(Form::Json),
            _ => None,
        })
    }
}

/// Prints rows below their titles, each column as wide as its widest cell.
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
    println!("{}", padded.join(GAP).trim_end());
}

/// Prints a value as JSON.
pub fn print_json(value: &impl Serialize) {
    // Plain rows of strings and numbers always serialise.
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
