//! Checks the base models and the services that services use.

use std::collections::BTreeMap;

use kernel::name;

use crate::{
    document::Document,
    graph,
    problem::{Position, Sink},
    service::Kind,
};

/// The positions in the file at which a service names its base model and its dependencies.
#[derive(Clone, Debug, Default)]
pub(super) struct Uses {
    pub(super) model: Option<Position>,
    pub(super) depends_on: BTreeMap<name::Service, Position>,
}

/// Reports base models and services that are not declared, and dependency cycles.
pub(super) fn check(sink: &mut Sink, document: &Document, uses: &[(name::Service, Uses)]) {
    let uses_by_name: BTreeMap<_, _> = uses.iter().map(|(name, it)| (name, it)).collect();
    for (name, uses) in uses {
        check_model(sink, document, name, uses);
        for (dependency, position) in &uses.depends_on {
            if !uses_by_name.contains_key(dependency) {
                let message = format!(
                    "service {:?} depends on {:?}, which is not declared",
                    name.as_str(),
                    dependency.as_str()
                );
                sink.report(*position, message);
            }
        }
    }
    check_cycles(sink, document, &uses_by_name);
}

fn check_model(sink: &mut Sink, document: &Document, name: &name::Service, uses: &Uses) {
    let Some(Kind::Model(model)) = document.service(name).map(|it| &it.kind) else {
        return;
    };
    let (Some(position), None) = (uses.model, document.model(model)) else {
        return;
    };
    let message = format!(
        "service {:?} uses base model {:?}, which is not declared",
        name.as_str(),
        model.as_str()
    );
    sink.report(position, message);
}

fn check_cycles(
    sink: &mut Sink,
    document: &Document,
    uses_by_name: &BTreeMap<&name::Service, &Uses>,
) {
    let dependencies =
        |it: &name::Service| document.service(it).map_or(&[][..], |it| &it.depends_on);
    for cycle in graph::find_cycles(uses_by_name.keys().copied(), dependencies) {
        // The position of the first dependency on the cycle.
        let first_uses = uses_by_name.get(&cycle[0]);
        let position = first_uses.and_then(|it| it.depends_on.get(&cycle[1]));
        let message = format!("dependency cycle: {}", graph::format_cycle(&cycle));
        sink.report(position.copied().unwrap_or(Position::START), message);
    }
}
