//! `spread`: how long changes take to the last front, from the fronts' logs.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use clap::ArgMatches;
use loglines::{ChangeRow, PropagationTimes, parse_line};

use super::failure::Failure;
use crate::output::{Form, print_json, print_table};

/// A front that learns of a change later than this was away.
const WITHIN_MS: f64 = 10_000.0;

/// Reads the logs and prints a row a kind of change.
pub fn run(flags: &ArgMatches) -> Result<(), Failure> {
    let form = Form::of(flags)?;
    let mut propagation = PropagationTimes::default();
    for path in flags.get_many::<PathBuf>("logs").into_iter().flatten() {
        read_log(path, &mut propagation).map_err(|reason| Failure::Logs(path.clone(), reason))?;
    }
    let rows = propagation.rows(WITHIN_MS);
    match form {
        Form::Json => print_json(&rows),
        Form::Table => table(&rows),
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

fn table(rows: &[ChangeRow]) {
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
