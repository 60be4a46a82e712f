//! The table of mechanisms matches the sources.

use std::path::Path;

use hornbeamrock_ablate::read_mechanisms;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

#[test]
fn can_find_the_text_of_every_mechanism_once() {
    let table = root().join("dev/ablate/mechanisms.toml");
    let mechanisms = read_mechanisms(&table).expect("a valid table");
    assert!(!mechanisms.is_empty());
    for mechanism in mechanisms {
        assert!(!mechanism.change.is_empty(), "{}", mechanism.name);
        for change in &mechanism.change {
            let text = std::fs::read_to_string(root().join(&change.file)).expect("a readable file");
            let count = text.matches(&change.from).count();
            assert_eq!(count, 1, "{}: {}", mechanism.name, change.from);
            assert_ne!(change.from, change.to, "{}", mechanism.name);
        }
    }
}

#[test]
fn errors_when_the_text_to_replace_is_missing() {
    let mechanisms =
        read_mechanisms(&root().join("dev/ablate/mechanisms.toml")).expect("a valid table");
    let empty = std::env::temp_dir().join(format!("ablate-{}", std::process::id()));
    let file = empty.join(&mechanisms[0].change[0].file);
    std::fs::create_dir_all(file.parent().expect("a parent folder")).expect("folder created");
    std::fs::write(&file, "nothing of it").expect("file written");
    let error = mechanisms[0]
        .switch_off(&empty)
        .expect_err("the text is absent");
    std::fs::remove_dir_all(&empty).expect("folder removed");
    assert!(error.to_string().contains("occurs 0 times"), "{error}");
}
