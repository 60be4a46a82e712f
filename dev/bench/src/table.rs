//! Tables in plain text: words to the left, numbers to the right.

const GAP: &str = "  ";

/// A table under construction.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these titles.
    pub fn new<'a>(titles: impl IntoIterator<Item = &'a str>) -> Table {
        let titles = titles.into_iter().map(str::to_owned).collect();
        Table { rows: vec![titles] }
    }

    /// Adds a row.
    pub fn add(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The table as text, each line with its end.
    pub fn text(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for (number, row) in self.rows.iter().enumerate() {
            text.push_str(line(row, &widths).trim_end());
            text.push('\n');
            if number == 0 {
                let rules: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
                text.push_str(&rules.join(GAP));
                text.push('\n');
            }
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, &width)| {
        if is_number(cell) {
            format!("{cell:>width$}")
        } else {
            format!("{cell:<width$}")
        }
    });
    cells.collect::<Vec<_>>().join(GAP)
}

fn is_number(cell: &str) -> bool {
    cell.starts_with(|c: char| c.is_ascii_digit())
        && cell.chars().all(|c| c.is_ascii_digit() || c == '.')
}
