//! Parsing of texts: the examples, the defaults and every kind of complaint with its position.

use config::{
    ComplaintCause, CustomerConfig, DEPTH_MAX, Rules, Schema, ServiceKind, Severity,
    TEXT_BYTES_MAX, parse, parse_with_rules,
};
use types::{Class, Role, ServiceName};

const HEAD: &str = "schema = 1\ncustomer = \"office\"\n";
const DIGEST: &str = "3b0cb12839848d6564fff1547e19c514fb11cc43efaa7f7e9f735a20a0143482";

fn office(rest: &str) -> String {
    format!("{HEAD}{rest}")
}

fn service(name: &str, rest: &str) -> String {
    format!("[[service]]\nname = \"{name}\"\n{rest}")
}

/// All complaints, one per line, without the file name.
fn complaints(text: &str) -> String {
    let complaints = parse(text, "f").expect_err("the text is invalid");
    complaints.to_string().replace("f:", "")
}

fn example(name: &str) -> CustomerConfig {
    let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the example file exists");
    parse(&text, name).expect("the example is valid")
}

#[test]
fn can_read_the_examples_without_a_warning() {
    for (name, models, plain, callers) in [("office", 1, 2, 3), ("collective", 1, 2, 5)] {
        let text = example(name);
        assert_eq!(text.customer.as_str(), name);
        assert!(text.warnings.is_empty(), "{name}");
        let of_kind = |kind| {
            text.services
                .iter()
                .filter(|item| item.kind == kind)
                .count()
        };
        assert_eq!(
            (of_kind(ServiceKind::Model), of_kind(ServiceKind::Plain)),
            (models, plain),
            "{name}"
        );
        let of_role = |role| text.tokens.iter().filter(|item| item.role == role).count();
        assert_eq!(of_role(Role::Caller), callers, "{name}");
        assert_eq!(
            (of_role(Role::Trainer), of_role(Role::Operator)),
            (1, 1),
            "{name}"
        );
    }
}

#[test]
fn can_find_the_token_texts_in_the_comments_of_the_examples() {
    for name in ["office", "collective"] {
        let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        let source = std::fs::read_to_string(path).unwrap();
        let stated = source
            .lines()
            .filter_map(|line| line.split_once("Example token: "));
        let stated: Vec<_> = stated
            .map(|(_, token)| config::TokenDigest::of(token))
            .collect();
        let digests: Vec<_> = example(name)
            .tokens
            .iter()
            .map(|token| token.digest)
            .collect();
        assert_eq!(stated, digests, "{name}");
    }
}

#[test]
fn can_fill_in_defaults() {
    let text = parse(&office(&service("draft", "kind = \"model\"\n")), "f").unwrap();
    assert_eq!(text.schema, Schema { major: 1, minor: 0 });
    assert_eq!(text.limits.weight, 1);
    assert_eq!(text.limits.requests_per_s, 500);
    let service = text.service(&ServiceName::new("draft").unwrap()).unwrap();
    assert_eq!(service.pool.as_str(), "draft");
    assert_eq!(service.class, Class::Interactive);
    assert_eq!(service.deadline_ms, 30_000);
    assert_eq!(service.staleness_bound, 2);
    assert!(service.scorer.is_none() && service.shared_with.is_empty());
}

struct Case {
    name: &'static str,
    text: String,
    /// Line, column and start of the message of each complaint, in order.
    expected: &'static [&'static str],
}

fn invalid_fields() -> Vec<Case> {
    let case = |name, text, expected| Case {
        name,
        text,
        expected,
    };
    vec![
        case(
            "an empty text",
            String::new(),
            &[
                "1:1: error: field 'schema' is missing: schema = 1",
                "1:1: error: field 'customer' is missing: a name in quotes",
            ],
        ),
        case("invalid TOML", office("[[service]\n"), &["3:11: error: "]),
        case(
            "a key twice",
            office("customer = \"office\"\n"),
            &["3:1: error: duplicate key"],
        ),
        case(
            "another schema",
            "schema = 2\ncustomer = \"office\"\n".to_owned(),
            &["1:10: error: schema 2 is not supported: write schema = 1"],
        ),
        case(
            "a schema that is not a number",
            "schema = \"x\"\ncustomer = \"office\"\n".to_owned(),
            &["1:10: error: schema x is not supported"],
        ),
        case(
            "a field that is misspelt",
            office("[limits]\nwieght = 2\n"),
            &[
                "4:1: error: unknown field 'wieght', did you mean 'weight'?; allowed: weight, \
             requests_per_s, in_progress, tokens_per_s",
            ],
        ),
        case(
            "a field without a similar name",
            office("colour = 2\n"),
            &[
                "3:1: error: unknown field 'colour'; allowed: schema, customer, limits, token, service",
            ],
        ),
        case(
            "a number as text",
            office("[limits]\nweight = \"2\"\n"),
            &["4:10: error: field 'weight' is a string, expected: a whole number"],
        ),
        case(
            "a number out of range",
            office("[limits]\nweight = 0\nin_progress = 999999\n"),
            &[
                "4:10: error: field 'weight' is 0, allowed: 1 to 16",
                "5:15: error: field 'in_progress' is 999999, allowed: 1 to 100000",
            ],
        ),
        case(
            "a number below 0",
            office("[limits]\nweight = -1\n"),
            &["4:10: error: field 'weight' is -1, allowed: 1 to 16"],
        ),
        case(
            "a number over 64 bits",
            office("[limits]\nweight = 99999999999999999999\n"),
            &["4:10: error: field 'weight' is 99999999999999999999, allowed: 1 to 16"],
        ),
        case(
            "a fraction",
            office("[limits]\nweight = 1.5\n"),
            &["4:10: error: field 'weight' is a float, expected: a whole number"],
        ),
        case(
            "a table where a list is wanted",
            office("[service]\nname = \"a\"\n"),
            &[
                "3:1: error: field 'service' is a table, expected: a list of tables, with two brackets",
            ],
        ),
        case(
            "a list with a number in it",
            office(&service("a", "kind = \"plain\"\ndepends_on = [\"a\", 7]\n")),
            &[
                "6:15: error: the dependencies form a cycle: a -> a",
                "6:20: error: field 'depends_on' is a integer, expected: a text in quotes",
            ],
        ),
        case(
            "a name with a capital",
            office(&service("Guichet", "kind = \"plain\"\n")),
            &[
                "4:8: error: invalid name 'Guichet' in field 'name': character 1 of the name is not \
             allowed",
            ],
        ),
        case(
            "a column after a multi-byte character",
            office("limits = { \"é\" = 1, weight = 0 }\n"),
            &[
                "3:12: error: unknown field 'é'",
                "3:30: error: field 'weight' is 0",
            ],
        ),
        case(
            "a service without a kind",
            office(&service("a", "")),
            &["3:1: error: field 'kind' is missing: \"model\" or \"plain\""],
        ),
        case(
            "a kind that is misspelt",
            office(&service("a", "kind = \"modell\"\n")),
            &[
                "5:8: error: unknown value 'modell' in field 'kind', did you mean 'model'?; allowed: \
             model, plain",
            ],
        ),
        case(
            "an unknown class",
            office(&service("a", "kind = \"plain\"\nclass = \"urgent\"\n")),
            &[
                "6:9: error: unknown value 'urgent' in field 'class'; allowed: interactive, \
             background, sampling",
            ],
        ),
        case(
            "a plain service with fields of a model",
            office(&service("a", "kind = \"plain\"\nstaleness_bound = 1\n")),
            &["6:19: error: field 'staleness_bound' has no meaning for a plain service"],
        ),
        case(
            "a model with fields of a plain service",
            office(&service(
                "a",
                "kind = \"model\"\nidempotent = [\"POST /a\"]\n",
            )),
            &["6:14: error: field 'idempotent' has no meaning for a model service"],
        ),
        case(
            "malformed call patterns",
            office(&service(
                "a",
                "kind = \"plain\"\nidempotent = [\"/a\", \"post /a\", \"POST a\", \
             \"POST /a?b\", \"POST /a/../b\", \"POST /%61\", \"* /a/\"]\n",
            )),
            &[
                "6:15: error: invalid call pattern '/a': write METHOD and path",
                "6:21: error: invalid call pattern 'post /a': the method is",
                "6:32: error: invalid call pattern 'POST a': the path begins",
                "6:42: error: invalid call pattern 'POST /a?b':",
                "6:55: error: invalid call pattern 'POST /a/../b':",
                "6:71: error: invalid call pattern 'POST /%61':",
            ],
        ),
        case(
            "a token with several errors",
            office("[[token]]\nrole = \"boss\"\nsha256 = \"ab\"\n"),
            &[
                "3:1: error: field 'name' is missing: a name in quotes",
                "4:8: error: unknown value 'boss' in field 'role'; allowed: caller, trainer, operator",
                "5:10: error: field 'sha256' is not the SHA-256 of a token: write its 64 hex digits",
            ],
        ),
    ]
}

fn invalid_references() -> Vec<Case> {
    let case = |name, text, expected| Case {
        name,
        text,
        expected,
    };
    let token = |name: &str, rest: &str| {
        format!("[[token]]\nname = \"{name}\"\nsha256 = \"{DIGEST}\"\n{rest}")
    };
    let plain =
        |name, edges: &str| service(name, &format!("kind = \"plain\"\ndepends_on = [{edges}]\n"));
    vec![
        case(
            "a service that depends on itself",
            office(&plain("a", "\"a\"")),
            &["6:15: error: the dependencies form a cycle: a -> a"],
        ),
        case(
            "a cycle of three",
            office(
                &[
                    plain("a", "\"b\""),
                    plain("b", "\"c\""),
                    plain("c", "\"a\""),
                ]
                .concat(),
            ),
            &["14:15: error: the dependencies form a cycle: a -> b -> c -> a"],
        ),
        case(
            "two cycles that share a service",
            office(
                &[
                    plain("a", "\"b\", \"c\""),
                    plain("b", "\"a\""),
                    plain("c", "\"a\""),
                ]
                .concat(),
            ),
            &[
                "10:15: error: the dependencies form a cycle: a -> b -> a",
                "14:15: error: the dependencies form a cycle: a -> c -> a",
            ],
        ),
        case(
            "an own service by its full name in a cycle",
            office(&[plain("a", "\"office.b\""), plain("b", "\"a\"")].concat()),
            &["10:15: error: the dependencies form a cycle: a -> b -> a"],
        ),
        case(
            "an unknown service",
            office(&[plain("guichet", ""), plain("b", "\"guichte\"")].concat()),
            &["10:15: error: unknown service 'guichte', did you mean 'guichet'?"],
        ),
        case(
            "a dependency twice",
            office(&[plain("a", ""), plain("b", "\"a\", \"office.a\"")].concat()),
            &["10:20: error: dependency 'office.a' is listed twice, first at 10:15"],
        ),
        case(
            "a service twice",
            office(&[plain("a", ""), plain("a", "")].concat()),
            &["8:8: error: service 'a' is listed twice, first at 4:8"],
        ),
        case(
            "a token twice, by name and digest",
            office(
                &[
                    token("t", "role = \"caller\"\n"),
                    token("t", "role = \"caller\"\n"),
                ]
                .concat(),
            ),
            &[
                "8:8: error: token 't' is listed twice, first at 4:8",
                "8:8: error: the digest of token 't' is listed twice, first at 4:8",
            ],
        ),
        case(
            "an unknown scorer",
            office(&service("m", "kind = \"model\"\nscorer = \"notation\"\n")),
            &["4:8: error: unknown service 'notation'"],
        ),
        case(
            "a scorer that is a model",
            office(&service("m", "kind = \"model\"\nscorer = \"m\"\n")),
            &["4:8: error: 'm' is a model; a scorer is a plain service"],
        ),
        case(
            "a trainer of a plain service",
            office(
                &[
                    plain("a", ""),
                    token("t", "role = \"trainer\"\nservices = [\"a\"]\n"),
                ]
                .concat(),
            ),
            &["8:8: error: 'a' is a plain service; a trainer token names models"],
        ),
        case(
            "a trainer of another customer's model",
            office(&token(
                "t",
                "role = \"trainer\"\nservices = [\"collective.m\"]\n",
            )),
            &["4:8: error: 'collective.m' is another customer's; only a caller token may name it"],
        ),
        case(
            "a trained model without a staleness bound",
            office(
                &[
                    service("m", "kind = \"model\"\n"),
                    token("t", "role = \"trainer\"\n"),
                ]
                .concat(),
            ),
            &["4:8: error: model 'm' has a trainer token but no 'staleness_bound'"],
        ),
    ]
}

#[test]
fn errors_with_line_column_and_the_allowed_values() {
    for case in invalid_fields().into_iter().chain(invalid_references()) {
        let found = complaints(&case.text);
        let lines: Vec<&str> = found
            .lines()
            .filter(|line| line.contains(": error: "))
            .collect();
        assert_eq!(lines.len(), case.expected.len(), "{}:\n{found}", case.name);
        for (line, expected) in lines.iter().zip(case.expected) {
            assert!(
                line.starts_with(expected),
                "{}: expected {expected}\n{found}",
                case.name
            );
        }
    }
}

#[test]
fn errors_when_a_text_is_over_a_limit() {
    let many = |count: usize| (0..count).map(|n| service(&format!("s{n}"), "kind = \"plain\"\n"));
    let services: String = many(201).collect();
    assert!(complaints(&office(&services)).contains("has 201 entries, at most 200 are allowed"));
    let large = office(&format!("# {}\n", "x".repeat(TEXT_BYTES_MAX)));
    assert!(complaints(&large).contains("at most 262144 are allowed"));
}

#[test]
fn errors_when_a_text_is_nested_too_deep() {
    // Without the check, the process aborts with a stack overflow: the parser allows 80 levels of
    // values and 80 parts of a key, and the product of both is dropped recursively. The text must
    // be refused before it is parsed.
    let keys = vec!["a"; 79].join(".");
    let inline = |levels: usize, key: &str| {
        format!(
            "x = {}1{}\n",
            format!("{{{key}=").repeat(levels),
            "}".repeat(levels)
        )
    };
    let texts = [
        inline(79, &keys),
        inline(DEPTH_MAX + 1, "a"),
        format!("x = {}{}\n", "[".repeat(100_000), "]".repeat(100_000)),
        format!("{} = 1\n", vec!["a"; 100_000].join(".")),
        format!("[{}]\n", vec!["a"; 100_000].join(".")),
        // Quoted text must not hide the nesting that follows.
        format!("x = [\"\"\"q\"\"\"\"\", {}\n", "[".repeat(5_000)),
        format!("x = \"open\\\ny = {}\n", "[".repeat(5_000)),
        format!("x = ['it', {}\n", "[".repeat(5_000)),
    ];
    for text in texts {
        let found = parse(&office(&text), "f").expect_err("too deep");
        let deep =
            |cause: &ComplaintCause| matches!(cause, ComplaintCause::TooDeep { max: DEPTH_MAX });
        assert!(found.0.iter().any(|item| deep(&item.cause)), "{found:.200}");
    }
    let inside = inline(DEPTH_MAX - 1, "a");
    assert!(complaints(&office(&inside)).starts_with("3:1: error: unknown field 'x'"));
    let quoted = service(
        "a",
        "kind = \"plain\"\nidempotent = [\"POST /a.b.c.d.e.f.g.h.i.j.k\"]\n",
    );
    assert!(parse(&office(&quoted), "f").is_ok());
}

#[test]
fn errors_with_a_bounded_number_of_complaints() {
    let edges: Vec<String> = (0..10_000).map(|n| format!("\"x{n}\"")).collect();
    let services = edges.chunks(60).enumerate();
    let services = services.map(|(n, edges)| {
        let edges = edges.join(", ");
        service(
            &format!("s{n}"),
            &format!("kind = \"plain\"\ndepends_on = [{edges}]\n"),
        )
    });
    let found = parse(&office(&services.collect::<String>()), "f").unwrap_err();
    assert_eq!(found.0.len(), 100);
}

#[test]
fn can_read_fields_of_a_newer_schema_with_a_warning() {
    let newer = "schema = \"1.3\"\ncustomer = \"office\"\ncolour = 1\n[limits]\nburst = 3\n";
    let text = parse(newer, "f").unwrap();
    assert_eq!(text.schema, Schema { major: 1, minor: 3 });
    let found: Vec<String> = text.warnings.iter().map(|item| item.to_string()).collect();
    assert!(
        text.warnings
            .iter()
            .all(|item| item.severity == Severity::Warning)
    );
    assert_eq!(
        found,
        [
            "f:3:1: warning: unknown field 'colour': it may belong to a newer schema and has no effect",
            "f:5:1: warning: unknown field 'burst': it may belong to a newer schema and has no effect",
        ]
    );
    assert!(parse(&newer.replace("1.3", "1.0"), "f").is_err());
}

#[test]
fn can_judge_one_text_differently_under_two_rules_versions() {
    let trained = office(&format!(
        "{}[[token]]\nname = \"t\"\nrole = \"trainer\"\nsha256 = \"{DIGEST}\"\n",
        service("m", "kind = \"model\"\n")
    ));
    assert!(parse_with_rules(Rules::of(1).unwrap(), &trained, "f").is_ok());
    assert!(parse_with_rules(Rules::of(2).unwrap(), &trained, "f").is_err());
    assert_eq!(Rules::of(config::RULES_NEWEST), Some(Rules::newest()));
    assert_eq!(Rules::of(config::RULES_NEWEST + 1), None);
}

#[test]
fn can_read_any_bytes_without_a_panic() {
    fn reads(words: Vec<u8>, text: String) -> bool {
        // Fragments of valid texts get further into the parser than random characters.
        const PIECES: [&str; 16] = [
            "schema = 1\n",
            "customer = \"a\"\n",
            "[[service]]\n",
            "[[token]]\n",
            "[limits]\n",
            "name = ",
            "\"a\"\n",
            "kind = \"plain\"\n",
            "depends_on = [",
            "]",
            "{",
            "}",
            "'''",
            "\"\"\"",
            ".",
            "\\",
        ];
        let pieces: String = words
            .iter()
            .map(|&n| PIECES[usize::from(n) % PIECES.len()])
            .collect();
        let _ = parse(&pieces, "f");
        let _ = parse(&format!("{pieces}{text}"), "f");
        let _ = parse(&text, "f");
        true
    }
    let seeded = quickcheck::Gen::from_size_and_seed(100, 7);
    let mut quickcheck = quickcheck::QuickCheck::new().rng(seeded).tests(2_000);
    quickcheck.quickcheck(reads as fn(Vec<u8>, String) -> bool);
}
