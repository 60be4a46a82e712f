//! Parses one `[[token]]` table.

use types::{CustomerName, Role, ServiceName};

use crate::complaint::Report;
use crate::fields::FieldReader;
use crate::limit::SERVICES_MAX;
use crate::parse_service::{read_class, read_target};
use crate::{ComplaintCause, ServiceRef, Token, TokenDigest};

pub(crate) fn read_token(
    fields: &mut FieldReader<'_>,
    owner: &CustomerName,
    report: &mut Report,
) -> Option<Token> {
    let name: Option<ServiceName> = fields.name("name", report);
    let place = fields.place_of("name");
    let role = read_role(fields, report);
    let services = read_services(fields, owner, report);
    let class = read_class(fields, report);
    let digest = read_digest(fields, report);
    fields.report_unknown(report);
    Some(Token {
        name: name?,
        role: role?,
        services,
        class,
        digest: digest?,
        place,
    })
}

fn read_role(fields: &mut FieldReader<'_>, report: &mut Report) -> Option<Role> {
    if !fields.has("role") {
        let wanted = "\"caller\", \"trainer\" or \"operator\"";
        fields.report_missing("role", wanted, report);
    }
    let choices = Role::ALL.map(|role| (role.as_str(), role));
    fields.choice("role", &choices, report)
}

fn read_services(
    fields: &mut FieldReader<'_>,
    owner: &CustomerName,
    report: &mut Report,
) -> Option<Vec<ServiceRef>> {
    let is_present = fields.has("services");
    let texts = fields.texts("services", SERVICES_MAX, report).into_iter();
    let targets =
        texts.filter_map(|(text, place)| read_target("services", &text, place, owner, report));
    let targets: Vec<ServiceRef> = targets.collect();
    is_present.then_some(targets)
}

fn read_digest(fields: &mut FieldReader<'_>, report: &mut Report) -> Option<TokenDigest> {
    if !fields.has("sha256") {
        fields.report_missing("sha256", "the 64 hex digits of the token's SHA-256", report);
    }
    let (hex, place) = fields.text("sha256", report)?;
    let digest = TokenDigest::parse(&hex);
    if digest.is_none() {
        report.add_error(place, ComplaintCause::BadDigest);
    }
    digest
}
