//! Parses a TOML text into a [`CustomerConfig`] and reports as many problems as possible at once.

use std::sync::Arc;

use toml::de::DeTable;
use types::CustomerName;

use crate::complaint::Report;
use crate::fields::FieldReader;
use crate::limit::{
    DEPTH_MAX, IN_PROGRESS, REQUESTS_PER_S, SERVICES_MAX, TEXT_BYTES_MAX, TOKENS_MAX, TOKENS_PER_S,
    WEIGHT, default,
};
use crate::place::LineIndex;
use crate::{ComplaintCause, Complaints, CustomerConfig, Limits, Place, Rules, Schema};
use crate::{parse_service, parse_token, text_check};

/// The only schema major that this crate reads.
const SCHEMA_MAJOR: u32 = 1;

/// Parses and checks a text under the newest rules. `file` appears only in the complaints.
pub fn parse(text: &str, file: &str) -> Result<CustomerConfig, Complaints> {
    parse_with_rules(Rules::newest(), text, file)
}

/// Parses and checks a text under the given rules.
pub fn parse_with_rules(
    rules: Rules,
    text: &str,
    file: &str,
) -> Result<CustomerConfig, Complaints> {
    let mut report = Report::new(file);
    let parsed = read_source(rules, text, &mut report);
    finish(parsed, report)
}

/// Parses and checks a text that is published for this customer.
pub(crate) fn parse_published(
    rules: Rules,
    customer: &CustomerName,
    text: &str,
    file: &str,
) -> Result<CustomerConfig, Complaints> {
    let mut report = Report::new(file);
    let parsed = read_source(rules, text, &mut report);
    if let Some(other) = parsed.as_ref().filter(|text| text.customer != *customer) {
        let wanted = customer.to_string();
        report.add_error(other.place, ComplaintCause::OtherCustomer { wanted });
    }
    finish(parsed, report)
}

fn finish(parsed: Option<CustomerConfig>, report: Report) -> Result<CustomerConfig, Complaints> {
    let stopped = report.has_errors();
    let complaints = report.finish();
    match parsed {
        Some(text) if !stopped => Ok(CustomerConfig {
            warnings: complaints.0,
            ..text
        }),
        _ => Err(complaints),
    }
}

fn read_source(rules: Rules, source: &str, report: &mut Report) -> Option<CustomerConfig> {
    if source.len() > TEXT_BYTES_MAX {
        let (bytes, max) = (source.len(), TEXT_BYTES_MAX);
        report.add_error(Place::START, ComplaintCause::TooLarge { bytes, max });
        return None;
    }
    let lines = LineIndex::new(source);
    if let Some(byte) = crate::depth::find_too_deep(source) {
        let max = DEPTH_MAX;
        report.add_error(lines.place(byte), ComplaintCause::TooDeep { max });
        return None;
    }
    let (table, errors) = DeTable::parse_recoverable(source);
    for error in &errors {
        let byte = error.span().map_or(0, |span| span.start);
        let message = error.message().to_owned();
        report.add_error(lines.place(byte), ComplaintCause::Syntax(message));
    }
    if !errors.is_empty() {
        return None;
    }
    let mut fields = FieldReader::root(table.get_ref(), &lines, rules);
    let text = read_config(&mut fields, report)?;
    text_check::check_text(rules, &text, report);
    Some(text)
}

fn read_config(fields: &mut FieldReader<'_>, report: &mut Report) -> Option<CustomerConfig> {
    let schema = read_schema(fields, report);
    // The schema is read first because it determines whether unknown fields are errors.
    fields.newer_schema = schema.is_some_and(|schema| schema.minor > fields.rules.schema_minor);
    let customer = fields.name("customer", report);
    let place = fields.place_of("customer");
    let limits = read_limits(fields, report);
    let token_tables = fields.tables("token", TOKENS_MAX, report);
    let service_tables = fields.tables("service", SERVICES_MAX, report);
    fields.report_unknown(report);
    let customer: Option<CustomerName> = customer;
    // Without a customer name, own services cannot be told apart from other customers' services.
    // Parsing continues under a placeholder name, to report further problems.
    let owner = customer
        .clone()
        .or_else(|| CustomerName::new("unnamed").ok())?;
    let tokens = token_tables.into_iter();
    let tokens = tokens.filter_map(|mut table| parse_token::read_token(&mut table, &owner, report));
    let tokens = tokens.collect();
    let services = service_tables.into_iter();
    let services =
        services.filter_map(|mut table| parse_service::read_service(&mut table, &owner, report));
    let services = services.map(Arc::new).collect();
    Some(CustomerConfig {
        file: report.file(),
        schema: schema?,
        customer: customer?,
        place,
        limits: limits?,
        tokens,
        services,
        warnings: Vec::new(),
    })
}

fn read_schema(fields: &mut FieldReader<'_>, report: &mut Report) -> Option<Schema> {
    let (schema_text, place) = fields.integer_or_text("schema", "schema = 1", report)?;
    let (major, minor) = schema_text.split_once('.').unwrap_or((&schema_text, "0"));
    let is_number = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
    let are_numbers = is_number(major) && is_number(minor);
    match (are_numbers, major.parse(), minor.parse()) {
        (true, Ok(major), Ok(minor)) if major == SCHEMA_MAJOR => Some(Schema { major, minor }),
        _ => {
            report.add_error(place, ComplaintCause::UnknownSchema { found: schema_text });
            None
        }
    }
}

fn read_limits(fields: &mut FieldReader<'_>, report: &mut Report) -> Option<Limits> {
    let mut table = fields.table("limits", report)?;
    let weight = table.number("weight", WEIGHT, default::WEIGHT, report);
    let requests = table.number(
        "requests_per_s",
        REQUESTS_PER_S,
        default::REQUESTS_PER_S,
        report,
    );
    let in_progress = table.number("in_progress", IN_PROGRESS, default::IN_PROGRESS, report);
    let tokens = table.number("tokens_per_s", TOKENS_PER_S, default::TOKENS_PER_S, report);
    table.report_unknown(report);
    Some(Limits {
        weight: u32::try_from(weight).ok()?,
        requests_per_s: u32::try_from(requests).ok()?,
        in_progress: u32::try_from(in_progress).ok()?,
        tokens_per_s: u32::try_from(tokens).ok()?,
    })
}
