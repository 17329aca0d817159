//! Sends calls to plain services, repeats keyed ones through another entry host, and checks the
//! answers.

use std::time::Instant;

use standin::{
    client::{self, Answer, Request},
    fleet::{Entry, Fleet},
    plain::Counts,
};

use super::outcome::Outcome;

/// Requests a barrier opening through each entry host, and repeats the call with the same idempotency key
/// through the next host.
pub fn send_all(fleet: &Fleet) -> Result<Vec<Outcome>, client::Failure> {
    let entries = fleet.entries();
    let mut outcomes = Vec::new();
    for (entry, next) in entries.iter().zip(entries.iter().cycle().skip(1)) {
        let key = format!("opening-{}", entry.name);
        let (mut first, answer) = send_opening(entry, &key, "first");
        let (mut again, repeated) = send_opening(next, &key, "again");
        let same_body = answer.as_ref().map(|it| &it.body) == repeated.as_ref().map(|it| &it.body);
        again.expect(same_body, "the repeat got another answer");
        let domain = check_runs(fleet, &key, &mut first)?;
        first.domain.clone_from(&domain);
        again.domain = domain;
        outcomes.extend([first, again]);
    }
    for entry in entries {
        outcomes.push(send_lookup(entry));
    }
    Ok(outcomes)
}

fn send_opening(entry: &Entry, key: &str, suffix: &str) -> (Outcome, Option<Answer>) {
    let id = format!("demo-{key}-{suffix}");
    let request = Request::post("/services/barrier/openings", &"lane 2");
    let request = request.with("idempotency-key", key);
    send_call(entry, id, "barrier", request)
}

fn send_lookup(entry: &Entry) -> Outcome {
    let id = format!("demo-lookup-{}", entry.name);
    let request = Request::new("GET", "/services/registry/counts?level=2");
    send_call(entry, id, "registry", request).0
}

fn send_call(
    entry: &Entry,
    id: String,
    service: &str,
    request: Request,
) -> (Outcome, Option<Answer>) {
    let start = Instant::now();
    let answer = request.with("x-request-id", &id).send(entry.address());
    let mut outcome = Outcome::new(id, &entry.name, service);
    let answer = match answer {
        Ok(answer) => answer,
        Err(failure) => {
            outcome.errors.push(failure.to_string());
            return (outcome, None);
        }
    };
    outcome.first_token = Some(start.elapsed());
    outcome.expect(
        answer.status == 200,
        format!("{}: {}", answer.status, answer.text()),
    );
    let served = answer.json()["service"].clone();
    outcome.expect(served == service, format!("answered by service {served}"));
    (outcome, Some(answer))
}

/// Checks in the counters of the instances that the call with a key ran exactly once, and returns the failure
/// domain in which it ran.
fn check_runs(fleet: &Fleet, key: &str, outcome: &mut Outcome) -> Result<String, client::Failure> {
    let mut runs = 0;
    let mut domain = String::new();
    for plain in fleet.plains() {
        let runs_here = plain.counts::<Counts>()?.runs_of_key(key);
        if runs_here > 0 {
            domain.clone_from(&plain.domain);
        }
        runs += runs_here;
    }
    outcome.expect(runs == 1, format!("it ran {runs} times"));
    Ok(domain)
}
