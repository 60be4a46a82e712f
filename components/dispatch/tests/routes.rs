//! The route of a request, and the service that is picked for it.

use std::collections::HashMap;

use customers::{Customer, Customers, Entry, PresentedKey, Refusal};
use dispatch::{Limits, Route, RouteKind, Routes, ServiceShare};

fn route(name: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 800,
        attempts_max: 2,
        shares: shares
            .iter()
            .map(|(service, weight)| ServiceShare {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        rank: Some(2),
        public: false,
        single_version: false,
        due_ms: 0,
        retention_ms: 0,
    }
}

fn routes() -> Routes {
    let limits = Limits {
        header_bytes_max: 1,
        body_bytes_max: 1,
        idle_timeout_ms: 1,
    };
    let routes = vec![
        route("short", "/a/", &[("x", 1)]),
        route("long", "/a/b/", &[("x", 90), ("y", 10)]),
    ];
    Routes::new(1, routes, HashMap::new(), limits, Customers::unrestricted())
}

#[test]
fn can_find_the_route_with_the_longest_prefix() {
    struct Case {
        host: &'static str,
        path: &'static str,
        found: Option<&'static str>,
    }
    let cases = [
        Case {
            host: "host",
            path: "/a/b/c",
            found: Some("long"),
        },
        Case {
            host: "host",
            path: "/a/bc",
            found: Some("short"),
        },
        Case {
            host: "host",
            path: "/a",
            found: None,
        },
        Case {
            host: "host",
            path: "/",
            found: None,
        },
        Case {
            host: "other",
            path: "/a/b/c",
            found: None,
        },
    ];
    let routes = routes();
    for case in cases {
        let found = routes
            .find(case.host, case.path)
            .map(|route| route.name.to_string());
        assert_eq!(found.as_deref(), case.found, "{}", case.path);
    }
}

#[test]
fn can_pick_services_by_their_weights() {
    let routes = routes();
    let route = routes.find("host", "/a/b/c").expect("a route");
    let drawn =
        (0..1_000).filter(|random| route.pick_service(*random).is_some_and(|s| &**s == "y"));
    assert_eq!(drawn.count(), 100);
    let none = self::route("none", "/n/", &[("x", 0)]);
    assert_eq!(none.pick_service(5), None);
}

#[test]
fn can_tell_that_a_service_requires_a_single_version() {
    // Guards against loads that change the weights during a text that must not mix versions, which
    // makes the text useless. This lost up to a quarter of the worth on quiet days of three
    // deployments.
    let limits = Limits {
        header_bytes_max: 1,
        body_bytes_max: 1,
        idle_timeout_ms: 1,
    };
    let single = Route {
        single_version: true,
        ..route("single", "/a/", &[("x", 1), ("y", 1)])
    };
    let mixed = route("mixed", "/b/", &[("y", 1), ("z", 1)]);
    let routes = Routes::new(
        1,
        vec![single, mixed],
        HashMap::new(),
        limits,
        Customers::unrestricted(),
    );
    for (service, needs) in [("x", true), ("y", true), ("z", false), ("none", false)] {
        assert_eq!(routes.requires_single_version(service), needs, "{service}");
    }
}

#[test]
fn can_find_the_customer_of_a_request() {
    struct Case {
        name: &'static str,
        public: bool,
        shown: PresentedKey<'static>,
        customer: Result<Option<&'static str>, Refusal>,
    }
    let cases = [
        Case {
            name: "a key",
            public: false,
            shown: PresentedKey::One("key"),
            customer: Ok(Some("a")),
        },
        Case {
            name: "no key",
            public: false,
            shown: PresentedKey::Nothing,
            customer: Err(Refusal::Missing),
        },
        Case {
            name: "no key on a public route",
            public: true,
            shown: PresentedKey::Nothing,
            customer: Ok(None),
        },
        Case {
            name: "an unknown key on a public route",
            public: true,
            shown: PresentedKey::One("other"),
            customer: Ok(None),
        },
        Case {
            name: "a key on a public route",
            public: true,
            shown: PresentedKey::One("key"),
            customer: Ok(Some("a")),
        },
    ];
    let keys = ["key".to_owned()];
    let entry = Entry {
        name: "a",
        keys: &keys,
        rank: None,
    };
    let limits = routes().limits;
    let routes = Routes::new(
        1,
        vec![],
        HashMap::new(),
        limits,
        Customers::from_entries([entry]),
    );
    for case in cases {
        let mut route = route("r", "/a/", &[("x", 1)]);
        route.public = case.public;
        let customer = routes.customer(&route, case.shown);
        let customer = customer.map(|found| found.map(|customer| customer.name.to_string()));
        let expected = case.customer.map(|name| name.map(str::to_owned));
        assert_eq!(customer, expected, "{}", case.name);
    }
}

#[test]
fn a_customers_rank_takes_precedence_over_the_routes() {
    let route = route("r", "/a/", &[("x", 1)]);
    let customer = |rank| Customer {
        name: "a".into(),
        rank,
    };
    assert_eq!(route.rank_for(None), Some(2));
    assert_eq!(route.rank_for(Some(&customer(None))), Some(2));
    assert_eq!(route.rank_for(Some(&customer(Some(0)))), Some(0));
    let waiting = |rank| route.waiting_rank(&customer(rank));
    assert!(waiting(Some(0)) < waiting(Some(1)) && waiting(Some(1)) < waiting(None));
}
