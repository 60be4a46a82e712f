//! Permissions of tokens, dependencies between customers, and the check of a text before it is
//! published.

use config::{
    Ledger, Publish, Record, TokenDigest, TokenHolder, UnmetCause, Verdict, View, check, parse,
};
use types::{Class, CustomerName, ServiceName};

fn customer(name: &str) -> CustomerName {
    CustomerName::new(name).expect("a name")
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a name")
}

fn head(name: &str) -> String {
    format!("schema = 1\ncustomer = \"{name}\"\n")
}

fn plain(name: &str, rest: &str) -> String {
    format!("[[service]]\nname = \"{name}\"\nkind = \"plain\"\n{rest}\n")
}

fn token(token: &str, role: &str, rest: &str) -> String {
    let digest = TokenDigest::of(token);
    let name = token.replace('.', "-");
    format!("[[token]]\nname = \"{name}\"\nrole = \"{role}\"\nsha256 = \"{digest}\"\n{rest}\n")
}

/// Publishes the texts in order, each based on its customer's current version.
fn publish(ledger: &mut Ledger, texts: &[String]) {
    for text in texts {
        let name = parse(text, "f").expect("a good text").customer;
        let current = ledger.current(&name).cloned();
        let offset = ledger.next_offset();
        let id = format!("id-{offset}");
        let record = Publish::based_on(name, current.as_deref(), &id, text);
        let verdict = ledger.apply(offset, &Record::Publish(record));
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    }
}

fn ledger(texts: &[String]) -> Ledger {
    let mut ledger = Ledger::starting_at(0);
    publish(&mut ledger, texts);
    ledger
}

fn sites() -> Vec<String> {
    vec![
        [
            head("office"),
            plain("register", "shared_with = [\"collective\"]"),
            plain("desk", ""),
            "[[service]]\nname = \"draft\"\nkind = \"model\"\nstaleness_bound = 1\n".to_owned(),
            token("clerk", "caller", ""),
            token("portal", "caller", "services = [\"desk\"]"),
            token("sweeper", "caller", "class = \"background\""),
            token("trainer", "trainer", "services = [\"draft\"]"),
            token("operator", "operator", ""),
        ]
        .concat(),
        [
            head("collective"),
            plain("auction", "depends_on = [\"office.register\"]"),
            token("dealer", "caller", ""),
            token("bidder", "caller", "services = [\"auction\"]"),
            token("other-trainer", "trainer", ""),
        ]
        .concat(),
        [head("stranger"), token("visitor", "caller", "")].concat(),
    ]
}

#[test]
fn can_tell_who_may_call_what() {
    let view = View::of(&ledger(&sites()));
    struct Case {
        token: &'static str,
        owner: &'static str,
        service: &'static str,
        may: bool,
    }
    let case = |token, owner, service, may| Case {
        token,
        owner,
        service,
        may,
    };
    let cases = [
        case("clerk", "office", "desk", true),
        case("clerk", "office", "draft", true),
        case("clerk", "office", "nothing", false),
        case("clerk", "nobody", "desk", false),
        case("clerk", "collective", "auction", false),
        case("portal", "office", "desk", true),
        case("portal", "office", "register", false),
        case("trainer", "office", "draft", false),
        case("operator", "office", "desk", false),
        case("dealer", "office", "register", true),
        case("dealer", "office", "desk", false),
        case("bidder", "office", "register", false),
        case("bidder", "collective", "auction", true),
        case("visitor", "office", "register", false),
    ];
    for case in cases {
        let holder = view.authenticate(case.token).expect("the token is known");
        let may = view.may_call(holder, &customer(case.owner), &service(case.service));
        assert_eq!(
            may, case.may,
            "{} to {}.{}",
            case.token, case.owner, case.service
        );
    }
    assert!(view.authenticate("clerk ").is_none() && view.authenticate("").is_none());
}

#[test]
fn can_tell_who_may_train_and_operate() {
    let view = View::of(&ledger(&sites()));
    let holder = |token| view.authenticate(token).expect("the token is known");
    assert!(view.may_train(holder("trainer"), &service("draft")));
    assert!(!view.may_train(holder("trainer"), &service("desk")));
    assert!(!view.may_train(holder("other-trainer"), &service("draft")));
    assert!(!view.may_train(holder("clerk"), &service("draft")));
    assert!(view.may_operate(holder("operator"), &service("draft")));
    assert!(!view.may_operate(holder("trainer"), &service("draft")));
}

#[test]
fn can_limit_a_caller_to_the_class_of_its_token() {
    let view = View::of(&ledger(&sites()));
    let desk = view.service(&customer("office"), &service("desk")).unwrap();
    let class_of = |token, requested| {
        let holder: &TokenHolder = view.authenticate(token).expect("the token is known");
        holder.class_of(requested, desk)
    };
    assert_eq!(class_of("clerk", None), Class::Interactive);
    assert_eq!(class_of("clerk", Some(Class::Sampling)), Class::Sampling);
    assert_eq!(class_of("sweeper", None), Class::Background);
    assert_eq!(
        class_of("sweeper", Some(Class::Interactive)),
        Class::Background
    );
    assert_eq!(class_of("sweeper", Some(Class::Sampling)), Class::Sampling);
}

#[test]
fn can_list_the_services_of_a_pool() {
    let shared = |name: &str| [head(name), plain("a", "pool = \"engines\"")].concat();
    let view = View::of(&ledger(&[shared("office"), shared("collective")]));
    let pool = types::PoolName::new("engines").unwrap();
    let mut owners: Vec<&str> = view
        .pool(&pool)
        .iter()
        .map(|item| item.owner.as_str())
        .collect();
    owners.sort_unstable();
    assert_eq!(owners, ["collective", "office"]);
    assert!(view.pool(&types::PoolName::new("a").unwrap()).is_empty());
}

#[test]
fn can_protect_a_token_whose_digest_another_customer_copied() {
    // A customer reads the digest of another's token from the log and puts it into its own text.
    // The other customer's calls must not be attributed to it: calls with a plain token are
    // refused, and calls with a token that names its customer still succeed.
    let copies = |name: &str| {
        let plain = token("plain", "caller", "");
        [head(name), plain, token("office.secret", "caller", "")].concat()
    };
    let mut ledger = ledger(&[copies("office")]);
    assert!(View::of(&ledger).authenticate("plain").is_some());
    publish(&mut ledger, &[copies("thief")]);
    let view = View::of(&ledger);
    assert_eq!(
        view.authenticate("office.secret").unwrap().customer,
        customer("office")
    );
    assert!(view.authenticate("plain").is_none());
    assert_eq!(view.shared_tokens().count(), 4);
}

#[test]
fn can_activate_and_deactivate_a_dependency_as_its_owner_changes() {
    // The collective's text depends on the office's service `register` and stays accepted
    // throughout. Whether it may call the service follows from the office's text at each time.
    let depends = &sites()[1];
    let office = |register: &str| format!("{}{register}", head("office"));
    let shared = plain("register", "shared_with = [\"collective\"]");
    let private = plain("register", "");
    let steps = [
        ("no such customer", None, Some(UnmetCause::NoCustomer)),
        ("shared", Some(office(&shared)), None),
        ("private", Some(office(&private)), Some(UnmetCause::Private)),
        ("removed", Some(office("")), Some(UnmetCause::NoService)),
        ("shared again", Some(office(&shared)), None),
    ];
    let mut ledger = ledger(std::slice::from_ref(depends));
    for (name, text, expected) in steps {
        publish(&mut ledger, text.as_slice());
        let view = View::of(&ledger);
        let unmet = view
            .unmet_dependencies()
            .first()
            .map(|unmet| unmet.cause.clone());
        assert_eq!(unmet, expected, "{name}");
        let dealer = view.authenticate("dealer").unwrap();
        let may = view.may_call(dealer, &customer("office"), &service("register"));
        assert_eq!(may, expected.is_none(), "{name}");
    }
}

/// Three customers whose services depend on each other in a cycle.
fn cyclic_texts() -> Vec<String> {
    let item = |name: &str, next: &str, before: &str| {
        let rest = format!("depends_on = [\"{next}.s\"]\nshared_with = [\"{before}\", \"d\"]");
        [head(name), plain("s", &rest)].concat()
    };
    vec![
        item("a", "b", "c"),
        item("b", "c", "a"),
        item("c", "a", "b"),
    ]
}

#[test]
fn can_deactivate_the_dependencies_of_a_cycle_between_customers() {
    let outside = [
        head("d"),
        plain("s", "depends_on = [\"a.s\"]"),
        token("t", "caller", ""),
    ];
    let mut ledger = ledger(&cyclic_texts()[..2]);
    assert!(
        View::of(&ledger)
            .unmet_dependencies()
            .iter()
            .all(|item| item.cause == UnmetCause::NoCustomer)
    );
    publish(&mut ledger, &[cyclic_texts()[2].clone(), outside.concat()]);
    let view = View::of(&ledger);
    let found: Vec<String> = view
        .unmet_dependencies()
        .iter()
        .map(|item| item.cause.to_string())
        .collect();
    assert_eq!(
        found,
        [
            "the dependencies form a cycle: a.s -> b.s -> c.s -> a.s",
            "the dependencies form a cycle: b.s -> c.s -> a.s -> b.s",
            "the dependencies form a cycle: c.s -> a.s -> b.s -> c.s",
        ]
    );
    // A dependency that only leads to the cycle is active.
    let holder = view.authenticate("t").unwrap();
    assert!(view.may_call(holder, &customer("a"), &service("s")));
}

#[test]
fn errors_when_a_text_does_not_fit_the_other_customers() {
    struct Case {
        name: &'static str,
        accepted: Vec<String>,
        text: String,
        expected: &'static [&'static str],
    }
    let case = |name, accepted, text, expected| Case {
        name,
        accepted,
        text,
        expected,
    };
    let depends = |on: &str| {
        [
            head("stranger"),
            plain("s", &format!("depends_on = [\"{on}\"]")),
        ]
        .concat()
    };
    let cases = [
        case("a service that is shared", sites(), sites()[1].clone(), &[]),
        case(
            "a customer without an accepted text",
            sites(),
            depends("offise.register"),
            &["6:15: error: customer 'offise' has no accepted text, did you mean 'office'?"],
        ),
        case(
            "another customer's private service",
            sites(),
            depends("office.desk"),
            &["6:15: error: 'office.desk' is not shared with 'stranger'"],
        ),
        case(
            "a missing service, with the same message",
            sites(),
            depends("office.none"),
            &["6:15: error: 'office.none' is not shared with 'stranger'"],
        ),
        case(
            "the edge that closes a cycle between customers",
            cyclic_texts()[..2].to_vec(),
            cyclic_texts()[2].clone(),
            &["6:15: error: the dependencies form a cycle: c.s -> a.s -> b.s -> c.s"],
        ),
        case(
            "another customer's token",
            sites(),
            [head("stranger"), token("clerk", "caller", "")].concat(),
            &["4:8: error: token 'clerk' is also used by another customer"],
        ),
        case(
            "a service that another customer uses is removed",
            sites(),
            head("office"),
            &[
                "2:12: error: service 'register' cannot be removed while it is shared with and used by collective.auction",
            ],
        ),
        case(
            "a service that another customer uses is no longer shared",
            sites(),
            [head("office"), plain("register", "")].concat(),
            &[
                "4:8: warning: service 'register' is no longer shared, and the dependency of collective.auction",
            ],
        ),
        case(
            "a new minor's field",
            Vec::new(),
            head("a").replace('1', "\"1.9\"") + "colour = 1\n",
            &["3:1: warning: unknown field 'colour': it may belong to a newer schema"],
        ),
    ];
    for case in cases {
        let text = parse(&case.text, "f").expect("good by itself");
        let found = check(&text, &ledger(&case.accepted));
        let lines = found.to_string().replace("f:", "");
        assert_eq!(found.0.len(), case.expected.len(), "{}: {lines}", case.name);
        for (line, expected) in lines.lines().zip(case.expected) {
            assert!(line.starts_with(expected), "{}: {line}", case.name);
        }
    }
}

#[test]
fn can_build_a_view_of_many_customers() {
    let text = |n: usize| {
        let name = format!("c{n}");
        let before = format!("depends_on = [\"c{}.s0\"]", n.saturating_sub(1));
        let shared = format!("shared_with = [\"c{}\"]", n + 1);
        let services = (1..10).map(|k| plain(&format!("s{k}"), if n > 0 { &before } else { "" }));
        let services: String = services.collect();
        [
            head(&name),
            plain("s0", &shared),
            services,
            token(&format!("t{n}"), "caller", ""),
        ]
        .concat()
    };
    let texts: Vec<String> = (0..500).map(text).collect();
    let view = View::of(&ledger(&texts));
    assert_eq!(
        (view.customers().count(), view.services().count()),
        (500, 5_000)
    );
    assert!(view.unmet_dependencies().is_empty());
    let holder = view.authenticate("t499").unwrap();
    assert!(view.may_call(holder, &customer("c498"), &service("s0")));
}
