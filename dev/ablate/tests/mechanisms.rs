//! The table fits the sources.

use std::path::Path;

use hornbeamrock_ablate::read_mechanisms;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

#[test]
fn can_switch_every_mechanism_off_at_one_place() {
    let table = root().join("dev/ablate/mechanisms.toml");
    let mechanisms = read_mechanisms(&table).expect("a table");
    assert!(!mechanisms.is_empty());
    for mechanism in mechanisms {
        assert!(!mechanism.change.is_empty(), "{}", mechanism.name);
        for change in &mechanism.change {
            let text = std::fs::read_to_string(root().join(&change.file)).expect("a file");
            let count = text.matches(&change.from).count();
            assert_eq!(count, 1, "{}: {}", mechanism.name, change.from);
            assert_ne!(change.from, change.to, "{}", mechanism.name);
        }
    }
}

#[test]
fn errors_when_a_text_is_not_there_once() {
    let mechanisms = read_mechanisms(&root().join("dev/ablate/mechanisms.toml")).expect("a table");
    let empty = std::env::temp_dir().join(format!("ablate-{}", std::process::id()));
    let file = empty.join(&mechanisms[0].change[0].file);
    std::fs::create_dir_all(file.parent().expect("a folder")).expect("a folder");
    std::fs::write(&file, "nothing of it").expect("a file");
    let error = mechanisms[0].switch_off(&empty).expect_err("no such text");
    std::fs::remove_dir_all(&empty).expect("removed");
    assert!(error.to_string().contains("stands 0 times"), "{error}");
}
