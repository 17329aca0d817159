//! Dependencies between services.

use std::collections::{BTreeMap, BTreeSet};

use kernel::name::Service;

/// One cycle for each dependency that closes one, among what can be reached from `starts`: the
/// services on it in order, the first repeated at the end. `next` gives the services that one
/// depends on. Each service is visited once.
pub(crate) fn cycles<'a, F>(
    starts: impl IntoIterator<Item = &'a Service>,
    next: F,
) -> Vec<Vec<Service>>
where
    F: Fn(&Service) -> &'a [Service],
{
    let mut done = BTreeSet::new();
    let mut found = Vec::new();
    for start in starts {
        if !done.contains(start) {
            visit(start, &next, &mut done, &mut found);
        }
    }
    found
}

fn visit<'a, F>(
    start: &'a Service,
    next: &F,
    done: &mut BTreeSet<&'a Service>,
    found: &mut Vec<Vec<Service>>,
) where
    F: Fn(&Service) -> &'a [Service],
{
    let mut path = vec![(start, next(start).iter())];
    let mut places = BTreeMap::from([(start, 0)]);
    while let Some((service, rest)) = path.last_mut() {
        let Some(dependency) = rest.next() else {
            done.insert(*service);
            places.remove(*service);
            path.pop();
            continue;
        };
        if done.contains(dependency) {
            continue;
        }
        if let Some(first) = places.get(dependency).copied() {
            let on_cycle = path[first..].iter().map(|(it, _)| *it);
            found.push(on_cycle.chain([dependency]).cloned().collect());
            continue;
        }
        places.insert(dependency, path.len());
        path.push((dependency, next(dependency).iter()));
    }
}

/// Services of a cycle that are named in a message.
const MAX_SHOWN: usize = 20;

/// The cycle for messages: `a -> b -> a`. The middle of a long one is left out.
pub(crate) fn show(cycle: &[Service]) -> String {
    let mut names: Vec<&str> = cycle.iter().map(Service::as_str).collect();
    if names.len() > MAX_SHOWN {
        names.splice(MAX_SHOWN / 2..names.len() - MAX_SHOWN / 2, ["..."]);
    }
    names.join(" -> ")
}
