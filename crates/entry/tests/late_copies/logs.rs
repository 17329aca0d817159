//! Attempts in the logs of the hosts.

use serde_json::Value;

use crate::load::Load;

/// Maximum number of attempts in a log line.
const MAX_LOGGED_ATTEMPTS: usize = 6;

/// Returns a description of each request that reached an instance more often than it was sent there, according to the
/// log of its host. Requests with an attempt that was not sent are always logged.
pub fn find_excess_arrivals(load: &Load) -> Vec<String> {
    let mut unsent = 0;
    let mut excess = Vec::new();
    for line in load.log_lines() {
        let Ok(line) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        let tries = line["tries"].as_str().unwrap_or_default();
        let attempts: Vec<&str> = tries.split("; ").collect();
        if !tries.contains("not sent") || attempts.len() >= MAX_LOGGED_ATTEMPTS {
            continue;
        }
        let id = line["request"].as_str().unwrap_or_default();
        for instance in &load.instances {
            let of_instance = |it: &&&str| it.starts_with(&format!("{}@", instance.id));
            let is_unsent = |it: &&&str| it.ends_with(": not sent");
            let sent = attempts.iter().filter(of_instance);
            let sent = sent.filter(|it| !is_unsent(it)).count();
            let arrivals = instance.records().arrivals.get(id).copied().unwrap_or(0);
            if arrivals > sent {
                excess.push(format!(
                    "{arrivals} arrivals at {}: {tries}, request {id}",
                    instance.id
                ));
            }
        }
        unsent += attempts
            .iter()
            .filter(|it| it.ends_with(": not sent"))
            .count();
    }
    println!("seed {}: {unsent} attempts were not sent", load.seed);
    excess
}
