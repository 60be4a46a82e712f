//! Whose a key is, and what a table says of its keys.

use customers::{Customers, Entry, KeyMarks, PresentedKey, Refusal};
use quickcheck::quickcheck;

fn table(listed: &[(&str, &[&str])]) -> Customers {
    let owned: Vec<(String, Vec<String>)> = listed
        .iter()
        .map(|(name, keys)| {
            let keys = keys.iter().map(|key| (*key).to_owned());
            ((*name).to_owned(), keys.collect())
        })
        .collect();
    Customers::from_entries(owned.iter().map(|(name, keys)| Entry {
        name,
        keys,
        rank: Some(1),
    }))
}

fn holder(customers: &Customers, shown: PresentedKey<'_>) -> Result<Option<String>, Refusal> {
    let held = customers.authenticate(shown)?;
    Ok(held.map(|customer| customer.name.to_string()))
}

#[test]
fn can_tell_whose_a_key_is() {
    struct Case {
        name: &'static str,
        listed: &'static [(&'static str, &'static [&'static str])],
        shown: PresentedKey<'static>,
        holder: Result<Option<&'static str>, Refusal>,
    }
    const TWO: &[(&str, &[&str])] = &[("a", &["key-a1", "key-a2"]), ("b", &["key-b"])];
    let cases = [
        Case {
            name: "a key",
            listed: TWO,
            shown: PresentedKey::One("key-b"),
            holder: Ok(Some("b")),
        },
        Case {
            name: "another key of the customer",
            listed: TWO,
            shown: PresentedKey::One("key-a2"),
            holder: Ok(Some("a")),
        },
        Case {
            name: "nothing",
            listed: TWO,
            shown: PresentedKey::Nothing,
            holder: Err(Refusal::Missing),
        },
        Case {
            name: "several",
            listed: TWO,
            shown: PresentedKey::Malformed,
            holder: Err(Refusal::Malformed),
        },
        Case {
            name: "a key that nobody has",
            listed: TWO,
            shown: PresentedKey::One("key-c"),
            holder: Err(Refusal::Unknown),
        },
        Case {
            name: "a key of another case",
            listed: TWO,
            shown: PresentedKey::One("KEY-B"),
            holder: Err(Refusal::Unknown),
        },
        Case {
            name: "an empty key, though somebody lists one",
            listed: &[("a", &[""])],
            shown: PresentedKey::One(""),
            holder: Err(Refusal::Unknown),
        },
        Case {
            name: "a key that two customers list",
            listed: &[("a", &["key"]), ("b", &["key"])],
            shown: PresentedKey::One("key"),
            holder: Err(Refusal::Unknown),
        },
        Case {
            name: "a key that one customer lists twice",
            listed: &[("a", &["key", "key"])],
            shown: PresentedKey::One("key"),
            holder: Ok(Some("a")),
        },
        Case {
            name: "a key that three customers list",
            listed: &[("a", &["key"]), ("b", &["key"]), ("c", &["key"])],
            shown: PresentedKey::One("key"),
            holder: Err(Refusal::Unknown),
        },
        Case {
            name: "a customer without a name",
            listed: &[("", &["key"])],
            shown: PresentedKey::One("key"),
            holder: Err(Refusal::Unknown),
        },
        Case {
            name: "a name that no header can carry",
            listed: &[("a\r\nb", &["key"])],
            shown: PresentedKey::One("key"),
            holder: Err(Refusal::Unknown),
        },
        Case {
            name: "an empty list",
            listed: &[],
            shown: PresentedKey::Nothing,
            holder: Err(Refusal::Missing),
        },
    ];
    for case in cases {
        let expected = case.holder.map(|name| name.map(str::to_owned));
        let found = holder(&table(case.listed), case.shown);
        assert_eq!(found, expected, "{}", case.name);
    }
}

#[test]
fn can_do_without_customers() {
    let open = Customers::unrestricted();
    assert_eq!(holder(&open, PresentedKey::Nothing), Ok(None));
    assert_eq!(holder(&open, PresentedKey::One("key")), Ok(None));
}

#[test]
fn can_know_a_customer_that_has_no_keys() {
    let customers = table(&[("a", &[])]);
    assert_eq!(customers.key_count(), 0);
    assert!(customers.named("a").is_some());
}

#[test]
fn errors_on_keys_that_are_too_long() {
    let key = "k".repeat(600);
    let customers = table(&[("a", &[&key])]);
    assert_eq!(
        holder(&customers, PresentedKey::One(&key)),
        Err(Refusal::Unknown)
    );
}

quickcheck! {
    fn prints_nothing_of_a_key(key: String) -> bool {
        // Keys of one or two characters stand in any text by chance.
        if key.len() < 6 {
            return true;
        }
        let customers = table(&[("customer", &[&key])]);
        let printed = format!("{customers:?} {:?}", PresentedKey::One(&key));
        let marked = KeyMarks::new([7; 16]).of(&key);
        !printed.contains(&key) && !marked.contains(&key)
    }
}

#[test]
fn marks_tell_keys_apart_within_one_process_only() {
    let (here, there) = (KeyMarks::new([1; 16]), KeyMarks::new([2; 16]));
    assert_eq!(here.of("key"), here.of("key"));
    assert_ne!(here.of("key"), here.of("other"));
    assert_ne!(here.of("key"), there.of("key"));
    assert_eq!(format!("{here:?}"), "KeyMarks");
}
