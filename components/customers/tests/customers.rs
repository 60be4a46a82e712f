//! Tests of the authentication of customers by key, and of what is printed about keys.

use customers::{Customers, Entry, KeyMarks, PresentedKey, Refusal};
use quickcheck::quickcheck;

fn table(listed: &[(&str, &[&str])]) -> Customers {
    let entries: Vec<(String, Vec<String>)> = listed
        .iter()
        .map(|(name, keys)| {
            let keys = keys.iter().map(|key| (*key).to_owned());
            ((*name).to_owned(), keys.collect())
        })
        .collect();
    Customers::from_entries(entries.iter().map(|(name, keys)| Entry {
        name,
        keys,
        rank: Some(1),
    }))
}

fn authenticate(
    customers: &Customers,
    presented: PresentedKey<'_>,
) -> Result<Option<String>, Refusal> {
    let found = customers.authenticate(presented)?;
    Ok(found.map(|customer| customer.name.to_string()))
}

#[test]
fn can_authenticate_a_customer_by_key() {
    struct Case {
        name: &'static str,
        listed: &'static [(&'static str, &'static [&'static str])],
        presented: PresentedKey<'static>,
        expected: Result<Option<&'static str>, Refusal>,
    }
    const TWO: &[(&str, &[&str])] = &[("a", &["key-a1", "key-a2"]), ("b", &["key-b"])];
    let cases = [
        Case {
            name: "the only key of a customer",
            listed: TWO,
            presented: PresentedKey::One("key-b"),
            expected: Ok(Some("b")),
        },
        Case {
            name: "the second key of a customer",
            listed: TWO,
            presented: PresentedKey::One("key-a2"),
            expected: Ok(Some("a")),
        },
        Case {
            name: "no key",
            listed: TWO,
            presented: PresentedKey::Nothing,
            expected: Err(Refusal::Missing),
        },
        Case {
            name: "several keys",
            listed: TWO,
            presented: PresentedKey::Malformed,
            expected: Err(Refusal::Malformed),
        },
        Case {
            name: "a key of no customer",
            listed: TWO,
            presented: PresentedKey::One("key-c"),
            expected: Err(Refusal::Unknown),
        },
        Case {
            name: "a key in other letter case",
            listed: TWO,
            presented: PresentedKey::One("KEY-B"),
            expected: Err(Refusal::Unknown),
        },
        Case {
            name: "an empty key that a customer lists",
            listed: &[("a", &[""])],
            presented: PresentedKey::One(""),
            expected: Err(Refusal::Unknown),
        },
        Case {
            name: "a key that two customers list",
            listed: &[("a", &["key"]), ("b", &["key"])],
            presented: PresentedKey::One("key"),
            expected: Err(Refusal::Unknown),
        },
        Case {
            name: "a key that one customer lists twice",
            listed: &[("a", &["key", "key"])],
            presented: PresentedKey::One("key"),
            expected: Ok(Some("a")),
        },
        Case {
            name: "a key that three customers list",
            listed: &[("a", &["key"]), ("b", &["key"]), ("c", &["key"])],
            presented: PresentedKey::One("key"),
            expected: Err(Refusal::Unknown),
        },
        Case {
            name: "a customer without a name",
            listed: &[("", &["key"])],
            presented: PresentedKey::One("key"),
            expected: Err(Refusal::Unknown),
        },
        Case {
            name: "a name that no header can carry",
            listed: &[("a\r\nb", &["key"])],
            presented: PresentedKey::One("key"),
            expected: Err(Refusal::Unknown),
        },
        Case {
            name: "no key with an empty list of customers",
            listed: &[],
            presented: PresentedKey::Nothing,
            expected: Err(Refusal::Missing),
        },
    ];
    for case in cases {
        let expected = case.expected.map(|name| name.map(str::to_owned));
        let found = authenticate(&table(case.listed), case.presented);
        assert_eq!(found, expected, "{}", case.name);
    }
}

#[test]
fn can_work_without_a_list_of_customers() {
    let open = Customers::unrestricted();
    assert_eq!(authenticate(&open, PresentedKey::Nothing), Ok(None));
    assert_eq!(authenticate(&open, PresentedKey::One("key")), Ok(None));
}

#[test]
fn can_find_a_customer_without_keys() {
    let customers = table(&[("a", &[])]);
    assert_eq!(customers.key_count(), 0);
    assert!(customers.named("a").is_some());
}

#[test]
fn errors_on_keys_that_are_too_long() {
    let key = "k".repeat(600);
    let customers = table(&[("a", &[&key])]);
    assert_eq!(
        authenticate(&customers, PresentedKey::One(&key)),
        Err(Refusal::Unknown)
    );
}

quickcheck! {
    fn never_prints_a_key(key: String) -> bool {
        // Keys of one or two characters occur in any text by chance.
        if key.len() < 6 {
            return true;
        }
        let customers = table(&[("customer", &[&key])]);
        let printed = format!("{customers:?} {:?}", PresentedKey::One(&key));
        let mark = KeyMarks::new([7; 16]).of(&key);
        !printed.contains(&key) && !mark.contains(&key)
    }
}

#[test]
fn marks_distinguish_keys_within_one_process_only() {
    let (marks, other_process) = (KeyMarks::new([1; 16]), KeyMarks::new([2; 16]));
    assert_eq!(marks.of("key"), marks.of("key"));
    assert_ne!(marks.of("key"), marks.of("other"));
    assert_ne!(marks.of("key"), other_process.of("key"));
    assert_eq!(format!("{marks:?}"), "KeyMarks");
}
