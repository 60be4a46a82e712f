//! The check of a text against the other customers' accepted texts, before it is
//! published. It is made by the operator's tool only; the verdict of the log's readers
//! leaves other customers out (see the module `links` for what holds instead).

use std::collections::HashMap;

use types::CustomerName;

use crate::complaint::Report;
use crate::dependencies::resolve_dependencies;
use crate::names::nearest;
use crate::{
    AcceptedVersion, Complaint, ComplaintCause, Complaints, CustomerConfig, Ledger, Service,
    UnmetDependency,
};
use crate::{Place, Severity, UnmetCause};

/// All complaints about a text that passed [`crate::parse`], in the state of this ledger;
/// with its warnings from the reading.
pub fn check(text: &CustomerConfig, ledger: &Ledger) -> Complaints {
    let mut report = Report::new(&text.file);
    let mut texts: HashMap<&CustomerName, &CustomerConfig> = HashMap::new();
    for accepted in ledger.all() {
        texts.insert(&accepted.customer, &accepted.config);
    }
    texts.insert(&text.customer, text);
    for unmet in resolve_dependencies(&texts).unmet {
        if unmet.from.owner == text.customer {
            report.add_error(unmet.place, complaint_cause(text, &texts, &unmet));
        }
    }
    check_tokens(text, ledger, &mut report);
    if let Some(current) = ledger.current(&text.customer) {
        check_dependents(text, current, ledger, &mut report);
    }
    let mut complaints = report.finish();
    complaints.0.extend(text.warnings.iter().cloned());
    complaints.0.sort_by_key(sort_key);
    complaints
}

fn sort_key(complaint: &Complaint) -> (Place, Severity) {
    (complaint.place, complaint.severity)
}

fn complaint_cause(
    text: &CustomerConfig,
    texts: &HashMap<&CustomerName, &CustomerConfig>,
    unmet: &UnmetDependency,
) -> ComplaintCause {
    match &unmet.cause {
        UnmetCause::NoCustomer => ComplaintCause::UnknownCustomer {
            name: unmet.to.owner.to_string(),
            nearest: nearest(
                unmet.to.owner.as_str(),
                texts.keys().map(|name| name.as_str()),
            ),
        },
        // Which services another customer has is nobody's business unless it shares
        // them, so one that is missing and one that is private read the same.
        UnmetCause::NoService | UnmetCause::Private => ComplaintCause::Private {
            target: unmet.to.to_string(),
            customer: text.customer.to_string(),
        },
        UnmetCause::Cycle { path } => ComplaintCause::Cycle { path: path.clone() },
    }
}

fn check_tokens(text: &CustomerConfig, ledger: &Ledger, report: &mut Report) {
    let others = ledger
        .all()
        .filter(|accepted| accepted.customer != text.customer);
    let taken: std::collections::HashSet<_> = others
        .flat_map(|other| &other.config.tokens)
        .map(|token| token.digest)
        .collect();
    for token in text
        .tokens
        .iter()
        .filter(|token| taken.contains(&token.digest))
    {
        let name = token.name.to_string();
        report.add_error(token.place, ComplaintCause::TokenTaken { name });
    }
}

/// What the text takes from other customers that use it now.
fn check_dependents(
    text: &CustomerConfig,
    current: &AcceptedVersion,
    ledger: &Ledger,
    report: &mut Report,
) {
    for before in &current.config.services {
        let now = text.service(&before.name);
        let used = before.shared_with.iter().filter_map(|customer| {
            let user = find_dependent(before, customer, ledger)?;
            let still = now.is_some_and(|now| now.shared_with.contains(customer));
            (!still).then_some(user)
        });
        for by in used {
            let service = before.name.to_string();
            match now {
                Some(now) => {
                    report.add_warning(now.place, ComplaintCause::Unshared { service, by })
                }
                None => report.add_error(text.place, ComplaintCause::StillUsed { service, by }),
            }
        }
    }
}

/// A service of the customer that depends on this one.
fn find_dependent(service: &Service, customer: &CustomerName, ledger: &Ledger) -> Option<String> {
    let target = service.target();
    let services = &ledger.current(customer)?.config.services;
    let depends = |user: &&std::sync::Arc<Service>| {
        let edges = user.depends_on.iter();
        edges.map(|edge| &edge.target).any(|to| *to == target)
    };
    let user = services.iter().find(depends)?;
    Some(user.target().to_string())
}
