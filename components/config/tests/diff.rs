//! Diffs and summaries that operators see, for example after losing a race.

use config::{Change, line_diff, parse, summarize};
use types::ServiceName;

const OLD: &str = r#"schema = 1
customer = "office"
[limits]
weight = 1
[[service]]
name = "desk"
kind = "plain"
[[service]]
name = "old"
kind = "plain"
"#;

#[test]
fn can_show_the_lines_that_differ() {
    let new = OLD.replace("weight = 1", "weight = 2");
    let diff = line_diff(OLD, &new, "yours", "version 7");
    assert!(diff.starts_with("--- yours\n+++ version 7\n@@ "), "{diff}");
    assert!(diff.contains("\n-weight = 1\n+weight = 2\n"), "{diff}");
    assert!(!diff.contains("\"old\""), "{diff}");
    assert_eq!(line_diff(OLD, OLD, "a", "b"), "");
}

#[test]
fn can_show_texts_of_very_many_lines() {
    let lines = |changed: usize| -> String {
        let line = |n| {
            if n == changed {
                "x\n".to_owned()
            } else {
                format!("{n}\n")
            }
        };
        (0..60_000).map(line).collect()
    };
    let diff = line_diff(&lines(100), &lines(200), "a", "b");
    assert!(
        diff.starts_with("--- a\n+++ b\n@@ -101,101 +101,101 @@\n-x\n-101\n"),
        "{diff:.99}"
    );
    assert!(diff.ends_with("+199\n+x\n"));
    assert_eq!(line_diff("", &lines(0), "a", "b").lines().count(), 60_003);
}

#[test]
fn can_summarize_changes() {
    let digest = "0".repeat(64);
    let new = OLD
        .replace("weight = 1", "weight = 2")
        .replace(
            "name = \"desk\"",
            "name = \"desk\"\nclass = \"background\"\ndeadline_ms = 50",
        )
        .replace("\"old\"", "\"new\"")
        + &format!("[[token]]\nname = \"t\"\nrole = \"caller\"\nsha256 = \"{digest}\"\n");
    let (old, new) = (parse(OLD, "f").unwrap(), parse(&new, "f").unwrap());
    let name = |text| ServiceName::new(text).unwrap();
    let found = summarize(Some(&old), &new);
    assert_eq!(found.limits, ["weight"]);
    let changed = Change::Changed {
        name: name("desk"),
        fields: vec!["class", "deadline_ms"],
    };
    let services = [
        changed,
        Change::Added(name("new")),
        Change::Removed(name("old")),
    ];
    assert_eq!(found.services, services);
    assert_eq!(found.tokens, [Change::Added(name("t"))]);
    assert_eq!(found.to_string().lines().count(), 5);
    let moved = parse(&OLD.replace("[limits]", "# moved\n[limits]"), "f").unwrap();
    assert!(summarize(Some(&old), &moved).is_empty());
    assert_eq!(summarize(None, &old).services.len(), 2);
}
