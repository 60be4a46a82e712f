//! Plain-text tables: text is aligned to the left, numbers to the right.

const COLUMN_GAP: &str = "  ";

/// A table; columns are as wide as their longest cell.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column titles and no rows.
    pub fn new<'a>(titles: impl IntoIterator<Item = &'a str>) -> Table {
        let titles = titles.into_iter().map(str::to_owned).collect();
        Table { rows: vec![titles] }
    }

    /// Adds a row below the others.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders titles, a rule and the rows; every line ends with a line feed.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for (number, row) in self.rows.iter().enumerate() {
            text.push_str(render_row(row, &widths).trim_end());
            text.push('\n');
            if number == 0 {
                let rules: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
                text.push_str(&rules.join(COLUMN_GAP));
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

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, &width)| {
        if is_number(cell) {
            format!("{cell:>width$}")
        } else {
            format!("{cell:<width$}")
        }
    });
    cells.collect::<Vec<_>>().join(COLUMN_GAP)
}

fn is_number(cell: &str) -> bool {
    cell.starts_with(|c: char| c.is_ascii_digit())
        && cell.chars().all(|c| c.is_ascii_digit() || c == '.')
}
