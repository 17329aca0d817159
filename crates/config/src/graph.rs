//! Cycle detection in the dependencies between services.

use std::collections::{BTreeMap, BTreeSet};

use kernel::name::Service;

/// Returns one cycle for each dependency that closes one, among the services that are reachable
/// from `starts`. A cycle lists its services in order, with the first one repeated at the end.
/// `dependencies` returns the services that a service depends on. Each service is visited once.
pub(crate) fn find_cycles<'a, F>(
    starts: impl IntoIterator<Item = &'a Service>,
    dependencies: F,
) -> Vec<Vec<Service>>
where
    F: Fn(&Service) -> &'a [Service],
{
    let mut visited = BTreeSet::new();
    let mut cycles = Vec::new();
    for start in starts {
        if !visited.contains(start) {
            visit(start, &dependencies, &mut visited, &mut cycles);
        }
    }
    cycles
}

/// Searches depth-first from `start`, without recursion because a path can be long.
fn visit<'a, F>(
    start: &'a Service,
    dependencies: &F,
    visited: &mut BTreeSet<&'a Service>,
    cycles: &mut Vec<Vec<Service>>,
) where
    F: Fn(&Service) -> &'a [Service],
{
    let mut path = vec![(start, dependencies(start).iter())];
    let mut path_indices = BTreeMap::from([(start, 0)]);
    while let Some((service, remaining)) = path.last_mut() {
        let Some(dependency) = remaining.next() else {
            visited.insert(*service);
            path_indices.remove(*service);
            path.pop();
            continue;
        };
        if visited.contains(dependency) {
            continue;
        }
        if let Some(first) = path_indices.get(dependency).copied() {
            let on_cycle = path[first..].iter().map(|(it, _)| *it);
            cycles.push(on_cycle.chain([dependency]).cloned().collect());
            continue;
        }
        path_indices.insert(dependency, path.len());
        path.push((dependency, dependencies(dependency).iter()));
    }
}

/// The maximum number of services of a cycle in a message.
const MAX_LISTED_SERVICES: usize = 20;

/// Formats a cycle for messages as `a -> b -> a`. The middle of a long cycle is left out.
pub(crate) fn format_cycle(cycle: &[Service]) -> String {
    let mut names: Vec<&str> = cycle.iter().map(Service::as_str).collect();
    if names.len() > MAX_LISTED_SERVICES {
        names.splice(
            MAX_LISTED_SERVICES / 2..names.len() - MAX_LISTED_SERVICES / 2,
            ["..."],
        );
    }
    names.join(" -> ")
}
