//! `spread`: shows how long changes take to reach the last front, computed from the logs of the
//! fronts.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use clap::ArgMatches;
use loglines::{ChangeRow, PropagationTimes, parse_line};

use super::error::CommandError;
use crate::output::{OutputFormat, print_json, print_table};

/// A front that receives a change later than this after the first front is not counted, because it
/// is assumed to have been stopped or disconnected.
const PROPAGATION_MS_MAX: f64 = 10_000.0;

/// Reads the log files and prints one row per kind of change.
pub fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let format = OutputFormat::from_flags(flags)?;
    let mut propagation = PropagationTimes::default();
    for path in flags.get_many::<PathBuf>("logs").into_iter().flatten() {
        read_log(path, &mut propagation)
            .map_err(|reason| CommandError::LogFile(path.clone(), reason))?;
    }
    let rows = propagation.rows(PROPAGATION_MS_MAX);
    match format {
        OutputFormat::Json => print_json(&rows),
        OutputFormat::Table => print_rows(&rows),
    }
    Ok(())
}

fn read_log(path: &PathBuf, propagation: &mut PropagationTimes) -> std::io::Result<()> {
    for line in BufReader::new(File::open(path)?).split(b'\n') {
        let line = line?;
        if let Some(line) = parse_line(&String::from_utf8_lossy(&line)) {
            propagation.record(&line);
        }
    }
    Ok(())
}

fn print_rows(rows: &[ChangeRow]) {
    let row = |row: &ChangeRow| {
        [
            row.kind.as_str().to_owned(),
            row.changes.to_string(),
            row.fronts.to_string(),
            format!("{:.0}", row.half_ms),
            format!("{:.0}", row.last_ms),
            format!("{:.0}", row.slowest_ms),
        ]
    };
    let titles = [
        "change",
        "changes",
        "fronts",
        "half ms",
        "last ms",
        "slowest ms",
    ];
    print_table(titles, &rows.iter().map(row).collect::<Vec<_>>());
}
