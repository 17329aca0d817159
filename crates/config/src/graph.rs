//! Dependencies between services.

use std::collections::BTreeSet;

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
    while let Some((service, rest)) = path.last_mut() {
        let Some(dependency) = rest.next() else {
            done.insert(*service);
            path.pop();
            continue;
        };
        if done.contains(dependency) {
            continue;
        }
        if let Some(first) = path.iter().position(|(it, _)| *it == dependency) {
            let on_cycle = path[first..].iter().map(|(it, _)| *it);
            found.push(on_cycle.chain([dependency]).cloned().collect());
            continue;
        }
        path.push((dependency, next(dependency).iter()));
    }
}

/// The cycle for messages: `a -> b -> a`.
pub(crate) fn show(cycle: &[Service]) -> String {
    let names: Vec<&str> = cycle.iter().map(Service::as_str).collect();
    names.join(" -> ")
}
