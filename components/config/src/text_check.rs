//! Checks one customer's configuration on its own. Together with the parser, this decides the
//! verdict on a publish.

use std::collections::HashMap;
use std::hash::Hash;

use types::{Role, ServiceName};

use crate::complaint::Report;
use crate::cycle::{self, CycleEdge, Edges};
use crate::names::nearest;
use crate::{
    ComplaintCause, CustomerConfig, Place, Rules, Service, ServiceKind, ServiceRef, Token,
};

pub(crate) fn check_text(rules: Rules, config: &CustomerConfig, report: &mut Report) {
    check_duplicates(config, report);
    config
        .services
        .iter()
        .for_each(|service| check_service(config, service, report));
    config
        .tokens
        .iter()
        .for_each(|token| check_token(config, token, report));
    check_cycles(config, report);
    if rules.requires_staleness_bound {
        check_staleness(config, report);
    }
}

fn check_duplicates(config: &CustomerConfig, report: &mut Report) {
    let services = config.services.iter();
    let names = services.map(|service| (&service.name, service.place, &service.name));
    report_duplicates("service", names, report);
    let tokens = config.tokens.iter();
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

fn check_service(config: &CustomerConfig, service: &Service, report: &mut Report) {
    for dependency in &service.depends_on {
        find_own_service(config, &dependency.target, dependency.place, report);
    }
    let Some(scorer) = &service.scorer else {
        return;
    };
    let target = ServiceRef {
        owner: config.customer.clone(),
        service: scorer.clone(),
    };
    let found = find_own_service(config, &target, service.place, report);
    if found.is_some_and(|found| found.kind != ServiceKind::Plain) {
        let name = scorer.to_string();
        report.add_error(service.place, ComplaintCause::ScorerNotPlain { name });
    }
}

/// Finds the service in the same text, and reports it if it does not exist. Other customers'
/// services are not checked here.
fn find_own_service<'t>(
    config: &'t CustomerConfig,
    target: &ServiceRef,
    place: Place,
    report: &mut Report,
) -> Option<&'t Service> {
    if target.owner != config.customer || report.is_full() {
        return None;
    }
    if let Some(service) = config.service(&target.service) {
        return Some(service);
    }
    let names = config.services.iter().map(|service| service.name.as_str());
    let nearest = nearest(target.service.as_str(), names);
    let name = target.service.to_string();
    report.add_error(place, ComplaintCause::UnknownService { name, nearest });
    None
}

fn check_token(config: &CustomerConfig, token: &Token, report: &mut Report) {
    for target in token.services.iter().flatten() {
        if target.owner != config.customer && token.role != Role::Caller {
            let name = target.to_string();
            report.add_error(token.place, ComplaintCause::OtherCustomersService { name });
            continue;
        }
        let found = find_own_service(config, target, token.place, report);
        let plain = found.is_some_and(|found| found.kind == ServiceKind::Plain);
        if token.role == Role::Trainer && plain {
            let name = target.service.to_string();
            report.add_error(token.place, ComplaintCause::TrainerOfPlain { name });
        }
    }
}

fn check_cycles(config: &CustomerConfig, report: &mut Report) {
    let services = config.services.iter().enumerate();
    let numbers: HashMap<&ServiceName, usize> = services
        .map(|(number, service)| (&service.name, number))
        .collect();
    let mut edges = Edges::new();
    let mut places: Vec<Vec<Place>> = Vec::new();
    for service in &config.services {
        let own = service
            .depends_on
            .iter()
            .filter(|edge| edge.target.owner == config.customer);
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
            .map(|&number| config.services[number].name.as_str())
            .collect();
        let path = names.join(" -> ");
        report.add_error(*place, ComplaintCause::Cycle { path });
    }
}

fn check_staleness(config: &CustomerConfig, report: &mut Report) {
    let models = config
        .services
        .iter()
        .filter(|service| service.kind == ServiceKind::Model);
    for service in models.filter(|service| !service.has_staleness_bound) {
        let trains = |token: &Token| token.role == Role::Trainer && token.covers(&service.target());
        if config.tokens.iter().any(trains) {
            let model = service.name.to_string();
            report.add_error(service.place, ComplaintCause::StalenessUnstated { model });
        }
    }
}
