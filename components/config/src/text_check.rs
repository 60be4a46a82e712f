//! The check of one text by itself: all that goes into the verdict on a publish.

use std::collections::HashMap;
use std::hash::Hash;

use types::{Role, ServiceName};

use crate::complaint::Report;
use crate::cycle::{self, CycleEdge, Edges};
use crate::names::nearest;
use crate::{
    ComplaintCause, CustomerConfig, Place, Rules, Service, ServiceKind, ServiceRef, Token,
};

pub(crate) fn check_text(rules: Rules, text: &CustomerConfig, report: &mut Report) {
    check_duplicates(text, report);
    text.services
        .iter()
        .for_each(|service| check_service(text, service, report));
    text.tokens
        .iter()
        .for_each(|token| check_token(text, token, report));
    check_cycles(text, report);
    if rules.requires_staleness_bound {
        check_staleness(text, report);
    }
}

fn check_duplicates(text: &CustomerConfig, report: &mut Report) {
    let services = text.services.iter();
    let names = services.map(|service| (&service.name, service.place, &service.name));
    report_duplicates("service", names, report);
    let tokens = text.tokens.iter();
    let names = tokens
        .clone()
        .map(|token| (&token.name, token.place, &token.name));
    report_duplicates("token", names, report);
    let digests = tokens.map(|token| (&token.digest, token.place, &token.name));
    report_duplicates("the digest of token", digests, report);
}

fn report_duplicates<'t, K: Eq + Hash + 't>(
    what: &'static str,
    entries: impl Iterator<Item = (&'t K, Place, &'t ServiceName)>,
    report: &mut Report,
) {
    let mut seen: HashMap<&K, Place> = HashMap::new();
    for (key, place, name) in entries {
        let Some(&first) = seen.get(key) else {
            seen.insert(key, place);
            continue;
        };
        let name = name.to_string();
        report.add_error(place, ComplaintCause::Duplicate { what, name, first });
    }
}

fn check_service(text: &CustomerConfig, service: &Service, report: &mut Report) {
    for dependency in &service.depends_on {
        find_own_service(text, &dependency.target, dependency.place, report);
    }
    let Some(scorer) = &service.scorer else {
        return;
    };
    let target = ServiceRef {
        owner: text.customer.clone(),
        service: scorer.clone(),
    };
    let found = find_own_service(text, &target, service.place, report);
    if found.is_some_and(|found| found.kind != ServiceKind::Plain) {
        let name = scorer.to_string();
        report.add_error(service.place, ComplaintCause::ScorerNotPlain { name });
    }
}

/// The own service that is meant; complains if there is none. Others' services are not
/// looked at here.
fn find_own_service<'t>(
    text: &'t CustomerConfig,
    target: &ServiceRef,
    place: Place,
    report: &mut Report,
) -> Option<&'t Service> {
    if target.owner != text.customer || report.is_full() {
        return None;
    }
    if let Some(service) = text.service(&target.service) {
        return Some(service);
    }
    let names = text.services.iter().map(|service| service.name.as_str());
    let nearest = nearest(target.service.as_str(), names);
    let name = target.service.to_string();
    report.add_error(place, ComplaintCause::UnknownService { name, nearest });
    None
}

fn check_token(text: &CustomerConfig, token: &Token, report: &mut Report) {
    for target in token.services.iter().flatten() {
        if target.owner != text.customer && token.role != Role::Caller {
            let name = target.to_string();
            report.add_error(token.place, ComplaintCause::OtherCustomersService { name });
            continue;
        }
        let found = find_own_service(text, target, token.place, report);
        let plain = found.is_some_and(|found| found.kind == ServiceKind::Plain);
        if token.role == Role::Trainer && plain {
            let name = target.service.to_string();
            report.add_error(token.place, ComplaintCause::TrainerOfPlain { name });
        }
    }
}

fn check_cycles(text: &CustomerConfig, report: &mut Report) {
    let services = text.services.iter().enumerate();
    let numbers: HashMap<&ServiceName, usize> = services
        .map(|(number, service)| (&service.name, number))
        .collect();
    let mut edges = Edges::new();
    let mut places: Vec<Vec<Place>> = Vec::new();
    for service in &text.services {
        let own = service
            .depends_on
            .iter()
            .filter(|edge| edge.target.owner == text.customer);
        let known = own.filter_map(|edge| {
            let number = numbers.get(&edge.target.service)?;
            Some((*number, edge.place))
        });
        let (to, at) = known.unzip();
        edges.push(to);
        places.push(at);
    }
    for CycleEdge { path, edge } in cycle::cycle_edges(&edges) {
        let Some(place) = path.last().and_then(|last| places[*last].get(edge)) else {
            continue;
        };
        let names = path.iter().chain(path.first());
        let names: Vec<&str> = names
            .map(|&number| text.services[number].name.as_str())
            .collect();
        let path = names.join(" -> ");
        report.add_error(*place, ComplaintCause::Cycle { path });
    }
}

fn check_staleness(text: &CustomerConfig, report: &mut Report) {
    let models = text
        .services
        .iter()
        .filter(|service| service.kind == ServiceKind::Model);
    for service in models.filter(|service| !service.has_staleness_bound) {
        let trains = |token: &Token| token.role == Role::Trainer && token.covers(&service.target());
        if text.tokens.iter().any(trains) {
            let model = service.name.to_string();
            report.add_error(service.place, ComplaintCause::StalenessUnstated { model });
        }
    }
}
