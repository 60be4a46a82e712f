//! Line-based differences between two texts.

use similar::TextDiff;

/// Unchanged lines shown around each difference.
const CONTEXT_LINES: usize = 3;
/// Maximum number of lines per text for a minimal diff: its cost grows with the product of both
/// lengths, and without a clock there is no timeout.
const LINES_MAX: usize = 4_000;

/// Returns a unified diff with the given names in its header, or an empty text if there are no
/// differences. For texts above the line limit, everything from the first to the last difference is
/// shown as replaced.
pub fn line_diff(old: &str, new: &str, old_name: &str, new_name: &str) -> String {
    if old == new {
        return String::new();
    }
    if old.lines().count().max(new.lines().count()) > LINES_MAX {
        return replacement_diff(old, new, old_name, new_name);
    }
    TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(old_name, new_name)
        .to_string()
}

fn replacement_diff(old: &str, new: &str, old_name: &str, new_name: &str) -> String {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let same = |(a, b): &(&&str, &&str)| a == b;
    let head = old.iter().zip(&new).take_while(same).count();
    let (old_rest, new_rest) = (&old[head..], &new[head..]);
    let tail = old_rest.iter().rev().zip(new_rest.iter().rev());
    let tail = tail.take_while(same).count();
    let removed = &old_rest[..old_rest.len() - tail];
    let added = &new_rest[..new_rest.len() - tail];
    let start = head + 1;
    let mut diff = format!(
        "--- {old_name}\n+++ {new_name}\n@@ -{start},{} +{start},{} @@\n",
        removed.len(),
        added.len()
    );
    removed
        .iter()
        .for_each(|line| push_line(&mut diff, '-', line));
    added
        .iter()
        .for_each(|line| push_line(&mut diff, '+', line));
    diff
}

fn push_line(diff: &mut String, sign: char, line: &str) {
    diff.push(sign);
    diff.push_str(line);
    diff.push('\n');
}
