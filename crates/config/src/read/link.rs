//! Checks of what services refer to: base models and each other.

use std::collections::BTreeMap;

use kernel::name;

use crate::{
    document::Document,
    graph,
    problem::{Position, Sink},
    service::Kind,
};

/// The places of a service's dependencies and of its base model, for the checks across services.
#[derive(Clone, Debug, Default)]
pub(super) struct Links {
    pub(super) model: Option<Position>,
    pub(super) depends_on: BTreeMap<name::Service, Position>,
}

/// Reports base models and services that are not declared, and dependency cycles.
pub(super) fn check(sink: &mut Sink, text: &Document, links: &[(name::Service, Links)]) {
    let declared: BTreeMap<_, _> = links.iter().map(|(name, it)| (name, it)).collect();
    for (name, links) in links {
        check_model(sink, text, name, links);
        for (dependency, place) in &links.depends_on {
            if !declared.contains_key(dependency) {
                let message = format!(
                    "service {:?} depends on {:?}, which is not declared",
                    name.as_str(),
                    dependency.as_str()
                );
                sink.report(*place, message);
            }
        }
    }
    check_cycles(sink, text, &declared);
}

fn check_model(sink: &mut Sink, text: &Document, name: &name::Service, links: &Links) {
    let Some(Kind::Model(model)) = text.service(name).map(|it| &it.kind) else {
        return;
    };
    let (Some(place), None) = (links.model, text.model(model)) else {
        return;
    };
    let message = format!(
        "service {:?} uses base model {:?}, which is not declared",
        name.as_str(),
        model.as_str()
    );
    sink.report(place, message);
}

fn check_cycles(sink: &mut Sink, text: &Document, links: &BTreeMap<&name::Service, &Links>) {
    let next = |it: &name::Service| text.service(it).map_or(&[][..], |it| &it.depends_on);
    for cycle in graph::cycles(links.keys().copied(), next) {
        // The place of the dependency that the cycle begins with.
        let first = links.get(&cycle[0]);
        let place = first.and_then(|it| it.depends_on.get(&cycle[1]));
        let message = format!("dependency cycle: {}", graph::show(&cycle));
        sink.report(place.copied().unwrap_or(Position::START), message);
    }
}
