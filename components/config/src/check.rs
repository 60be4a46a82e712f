//! Checks a configuration against the accepted configurations of other customers before it is
//! published.
//!
//! Only the operator's tool runs this check. The verdict of the log's readers does not depend on
//! other customers; the module `dependencies` describes how dependencies between customers are
//! resolved instead.

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

/// Returns all complaints about a text that passed [`crate::parse`], given the accepted versions in
/// `ledger`. The warnings of the parser are included.
pub fn check(config: &CustomerConfig, ledger: &Ledger) -> Complaints {
    let mut report = Report::new(&config.file);
    let mut configs: HashMap<&CustomerName, &CustomerConfig> = HashMap::new();
    for accepted in ledger.all() {
        configs.insert(&accepted.customer, &accepted.config);
    }
    configs.insert(&config.customer, config);
    for unmet in resolve_dependencies(&configs).unmet {
        if unmet.from.owner == config.customer {
            report.add_error(unmet.place, complaint_cause(config, &configs, &unmet));
        }
    }
    check_tokens(config, ledger, &mut report);
    if let Some(current) = ledger.current(&config.customer) {
        check_dependents(config, current, ledger, &mut report);
    }
    let mut complaints = report.finish();
    complaints.0.extend(config.warnings.iter().cloned());
    complaints.0.sort_by_key(sort_key);
    complaints
}

fn sort_key(complaint: &Complaint) -> (Place, Severity) {
    (complaint.place, complaint.severity)
}

fn complaint_cause(
    config: &CustomerConfig,
    configs: &HashMap<&CustomerName, &CustomerConfig>,
    unmet: &UnmetDependency,
) -> ComplaintCause {
    match &unmet.cause {
        UnmetCause::NoCustomer => ComplaintCause::UnknownCustomer {
            name: unmet.to.owner.to_string(),
            nearest: nearest(
                unmet.to.owner.as_str(),
                configs.keys().map(|name| name.as_str()),
            ),
        },
        // Customers must not learn which services others have unless these are shared with them, so
        // a missing service and a private one give the same message.
        UnmetCause::NoService | UnmetCause::Private => ComplaintCause::Private {
            target: unmet.to.to_string(),
            customer: config.customer.to_string(),
        },
        UnmetCause::Cycle { path } => ComplaintCause::Cycle { path: path.clone() },
    }
}

fn check_tokens(config: &CustomerConfig, ledger: &Ledger, report: &mut Report) {
    let others = ledger
        .all()
        .filter(|accepted| accepted.customer != config.customer);
    let used_digests: std::collections::HashSet<_> = others
        .flat_map(|other| &other.config.tokens)
        .map(|token| token.digest)
        .collect();
    for token in config
        .tokens
        .iter()
        .filter(|token| used_digests.contains(&token.digest))
    {
        let name = token.name.to_string();
        report.add_error(token.place, ComplaintCause::TokenTaken { name });
    }
}

/// Reports services that other customers depend on and that this text removes or no longer shares.
fn check_dependents(
    config: &CustomerConfig,
    current: &AcceptedVersion,
    ledger: &Ledger,
    report: &mut Report,
) {
    for old in &current.config.services {
        let new = config.service(&old.name);
        let lost_dependents = old.shared_with.iter().filter_map(|customer| {
            let dependent = find_dependent(old, customer, ledger)?;
            let still_shared = new.is_some_and(|new| new.shared_with.contains(customer));
            (!still_shared).then_some(dependent)
        });
        for by in lost_dependents {
            let service = old.name.to_string();
            match new {
                Some(new) => {
                    report.add_warning(new.place, ComplaintCause::Unshared { service, by })
                }
                None => report.add_error(config.place, ComplaintCause::StillUsed { service, by }),
            }
        }
    }
}

/// The full name of a service of `customer` that depends on `service`.
fn find_dependent(service: &Service, customer: &CustomerName, ledger: &Ledger) -> Option<String> {
    let target = service.target();
    let services = &ledger.current(customer)?.config.services;
    let depends = |dependent: &&std::sync::Arc<Service>| {
        let edges = dependent.depends_on.iter();
        edges.map(|edge| &edge.target).any(|to| *to == target)
    };
    let dependent = services.iter().find(depends)?;
    Some(dependent.target().to_string())
}
