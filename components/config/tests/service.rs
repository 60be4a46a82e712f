//! Tests which calls of a service may run more than once.

use config::{CustomerConfig, Service, parse};
use std::sync::Arc;

const SERVICES: &str = r#"
schema = 1
customer = "office"
[[service]]
name = "desk"
kind = "plain"
non_idempotent = ["POST /sanctions", "GET /draw", "* /fire/now"]
idempotent = ["POST /search", "POST /sanctions/preview"]
[[service]]
name = "model"
kind = "model"
"#;

fn service(text: &CustomerConfig, name: &str) -> Arc<Service> {
    let service = text
        .services
        .iter()
        .find(|service| service.name.as_str() == name);
    Arc::clone(service.expect("the service is there"))
}

struct Case {
    name: &'static str,
    call: (&'static str, &'static str),
    may_run_again: bool,
}

fn case(name: &'static str, method: &'static str, path: &'static str, may_run_again: bool) -> Case {
    let call = (method, path);
    Case {
        name,
        call,
        may_run_again,
    }
}

#[test]
fn can_tell_which_calls_of_a_plain_service_may_run_again() {
    let text = parse(SERVICES, "f").unwrap();
    let desk = service(&text, "desk");
    let cases = [
        case("a consultation", "GET", "/applicants/7", true),
        case(
            "a consultation with a query",
            "GET",
            "/applicants?name=a",
            true,
        ),
        case("a put", "PUT", "/applicants/7", true),
        case("a post", "POST", "/applicants", false),
        case("an unknown method", "FROB", "/applicants", false),
        case("a method in lower case", "get", "/applicants", false),
        case("a sanction check", "POST", "/sanctions", false),
        case("a search", "POST", "/search", true),
        case("a search with a query", "POST", "/search?q=1", true),
        case("a call below the search", "POST", "/search/all", false),
        case(
            "a call that both lists match",
            "POST",
            "/sanctions/preview",
            false,
        ),
        case("a get that may run once", "GET", "/draw", false),
        case("a call below it", "GET", "/draw/7", false),
        case("a path that only begins alike", "GET", "/drawing", true),
        case("any method", "DELETE", "/fire/now", false),
        case("an escaped letter", "GET", "/%64raw", false),
        case("double slashes", "GET", "//draw//", false),
        case("dots", "GET", "/applicants/../draw", false),
        case("capitals", "GET", "/DRAW", false),
        case("a query after the path", "GET", "/draw?x", false),
        case("an escaped slash", "GET", "/applicants%2f7", false),
        case("a backslash", "GET", "/a\\..\\draw", false),
        case("a path parameter", "GET", "/draw;x=1", false),
        case("a truncated escape", "GET", "/applicants/%4", false),
        case("an escape that is not UTF-8", "GET", "/%ff", false),
        case(
            "an escaped letter of a name",
            "GET",
            "/applicants/%C3%A9",
            true,
        ),
    ];
    for case in cases {
        let (method, path) = case.call;
        assert_eq!(
            desk.is_idempotent(method, path),
            case.may_run_again,
            "{}",
            case.name
        );
    }
}

#[test]
fn can_run_a_completion_again() {
    let text = parse(SERVICES, "f").unwrap();
    let model = service(&text, "model");
    assert!(model.is_idempotent("POST", "/v1/completions"));
    assert!(!model.is_idempotent("POST", "/v1/files"));
}
