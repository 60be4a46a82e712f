//! Parses one `[[service]]` table.

use types::{Class, CustomerName, PoolName, ServiceName};

use crate::complaint::Report;
use crate::fields::{FieldReader, SpannedText};
use crate::limit::{
    DEADLINE_MS, DEPENDENCIES_MAX, PATTERNS_MAX, SHARED_MAX, STALENESS_BOUND, default,
};
use crate::names::{excerpt, parse_name};
use crate::{CallPattern, ComplaintCause, Dependency, Place, Service, ServiceKind, ServiceRef};

/// Fields that are valid only for models.
const MODEL_FIELDS: [&str; 2] = ["staleness_bound", "scorer"];
/// Fields that are valid only for plain services.
const PLAIN_FIELDS: [&str; 2] = ["non_idempotent", "idempotent"];

pub(crate) fn read_service(
    fields: &mut FieldReader<'_>,
    owner: &CustomerName,
    report: &mut Report,
) -> Option<Service> {
    let name: Option<ServiceName> = fields.name("name", report);
    let place = fields.place_of("name");
    let kind = read_kind(fields, report);
    let pool: Option<PoolName> = fields.optional_name("pool", report);
    let depends_on = read_dependencies(fields, owner, report);
    let shared_with = read_shared_with(fields, report);
    let class = read_class(fields, report).unwrap_or(Class::Interactive);
    let deadline = fields.number("deadline_ms", DEADLINE_MS, default::DEADLINE_MS, report);
    let staleness_bound = read_staleness_bound(fields, report);
    let scorer = fields.optional_name("scorer", report);
    let non_idempotent = read_patterns("non_idempotent", fields, report);
    let idempotent = read_patterns("idempotent", fields, report);
    fields.report_unknown(report);
    report_other_kinds_fields(fields, kind, report);
    let name = name?;
    let default_pool = PoolName::new(name.as_str()).ok();
    Some(Service {
        owner: owner.clone(),
        kind: kind?,
        pool: pool.or(default_pool)?,
        depends_on,
        shared_with,
        class,
        deadline_ms: u32::try_from(deadline).ok()?,
        staleness_bound,
        has_staleness_bound: fields.has("staleness_bound"),
        scorer,
        non_idempotent,
        idempotent,
        place,
        name,
    })
}

fn read_kind(fields: &mut FieldReader<'_>, report: &mut Report) -> Option<ServiceKind> {
    if !fields.has("kind") {
        fields.report_missing("kind", "\"model\" or \"plain\"", report);
    }
    let choices = ServiceKind::ALL.map(|kind| (kind.as_str(), kind));
    fields.choice("kind", &choices, report)
}

/// Reads the optional class of a service or token.
pub(crate) fn read_class(fields: &mut FieldReader<'_>, report: &mut Report) -> Option<Class> {
    let choices = Class::ALL.map(|class| (class.as_str(), class));
    fields.choice("class", &choices, report)
}

fn read_staleness_bound(fields: &mut FieldReader<'_>, report: &mut Report) -> u64 {
    let default = default::STALENESS_BOUND;
    fields.number("staleness_bound", STALENESS_BOUND, default, report)
}

fn read_dependencies(
    fields: &mut FieldReader<'_>,
    owner: &CustomerName,
    report: &mut Report,
) -> Vec<Dependency> {
    let texts = fields.texts("depends_on", DEPENDENCIES_MAX, report);
    let mut dependencies: Vec<Dependency> = Vec::with_capacity(texts.len());
    for (text, place) in texts {
        let Some(target) = read_target("depends_on", &text, place, owner, report) else {
            continue;
        };
        match dependencies.iter().find(|other| other.target == target) {
            Some(first) => report_duplicate("dependency", &text, place, first.place, report),
            None => dependencies.push(Dependency { target, place }),
        }
    }
    dependencies
}

/// Parses a reference to an own service by its name, or to another customer's service as
/// `customer.service`.
pub(crate) fn read_target(
    field: &str,
    text: &str,
    place: Place,
    owner: &CustomerName,
    report: &mut Report,
) -> Option<ServiceRef> {
    let Some((customer, service)) = text.split_once('.') else {
        let service = parse_name(field, text, place, report)?;
        let owner = owner.clone();
        return Some(ServiceRef { owner, service });
    };
    let owner = parse_name(field, customer, place, report);
    let service = parse_name(field, service, place, report);
    Some(ServiceRef {
        owner: owner?,
        service: service?,
    })
}

fn read_shared_with(fields: &mut FieldReader<'_>, report: &mut Report) -> Vec<CustomerName> {
    let texts = fields.texts("shared_with", SHARED_MAX, report);
    let mut shared: Vec<(CustomerName, Place)> = Vec::with_capacity(texts.len());
    for (text, place) in texts {
        let Some(customer) = parse_name::<CustomerName>("shared_with", &text, place, report) else {
            continue;
        };
        match shared.iter().find(|(other, _)| *other == customer) {
            Some((_, first)) => report_duplicate("customer", &text, place, *first, report),
            None => shared.push((customer, place)),
        }
    }
    shared.into_iter().map(|(customer, _)| customer).collect()
}

fn report_duplicate(
    what: &'static str,
    name: &str,
    place: Place,
    first: Place,
    report: &mut Report,
) {
    let name = name.to_owned();
    report.add_error(place, ComplaintCause::Duplicate { what, name, first });
}

fn read_patterns(
    field: &'static str,
    fields: &mut FieldReader<'_>,
    report: &mut Report,
) -> Vec<CallPattern> {
    let texts = fields.texts(field, PATTERNS_MAX, report).into_iter();
    let patterns = texts.filter_map(|text| read_pattern(&text, report));
    patterns.collect()
}

fn read_pattern((text, place): &SpannedText, report: &mut Report) -> Option<CallPattern> {
    match CallPattern::new(text) {
        Ok(pattern) => Some(pattern),
        Err(error) => {
            let text = excerpt(text);
            report.add_error(*place, ComplaintCause::BadPattern { text, error });
            None
        }
    }
}

fn report_other_kinds_fields(
    fields: &FieldReader<'_>,
    kind: Option<ServiceKind>,
    report: &mut Report,
) {
    let Some(kind) = kind else { return };
    let invalid_fields = match kind {
        ServiceKind::Model => PLAIN_FIELDS,
        ServiceKind::Plain => MODEL_FIELDS,
    };
    for field in invalid_fields.into_iter().filter(|field| fields.has(field)) {
        let cause = ComplaintCause::NotForKind { field, kind };
        report.add_error(fields.place_of(field), cause);
    }
}
