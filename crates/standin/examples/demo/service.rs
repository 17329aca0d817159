//! Calls of plain services, each repeated through another entry host.

use std::time::Instant;

use standin::{
    client::{self, Answer, Request},
    fleet::{Entry, Fleet},
    plain::Counts,
};

use super::outcome::Outcome;

/// Sends a barrier opening through every entry host and again, with its key, through the next.
pub fn send_all(fleet: &Fleet) -> Result<Vec<Outcome>, client::Failure> {
    let entries = fleet.entries();
    let mut outcomes = Vec::new();
    for (entry, next) in entries.iter().zip(entries.iter().cycle().skip(1)) {
        let key = format!("opening-{}", entry.name);
        let (mut first, answer) = open(entry, &key, "first");
        let (mut again, repeated) = open(next, &key, "again");
        let same = answer.as_ref().map(|it| &it.body) == repeated.as_ref().map(|it| &it.body);
        again.expect(same, "the repeat got another answer");
        let domain = check_runs(fleet, &key, &mut first)?;
        first.domain.clone_from(&domain);
        again.domain = domain;
        outcomes.extend([first, again]);
    }
    for entry in entries {
        outcomes.push(lookup(entry));
    }
    Ok(outcomes)
}

fn open(entry: &Entry, key: &str, turn: &str) -> (Outcome, Option<Answer>) {
    let id = format!("demo-{key}-{turn}");
    let request = Request::post("/services/barrier/openings", &"lane 2");
    let request = request.with("idempotency-key", key);
    call(entry, id, "barrier", request)
}

fn lookup(entry: &Entry) -> Outcome {
    let id = format!("demo-lookup-{}", entry.name);
    let request = Request::new("GET", "/services/registry/counts?level=2");
    call(entry, id, "registry", request).0
}

fn call(entry: &Entry, id: String, service: &str, request: Request) -> (Outcome, Option<Answer>) {
    let start = Instant::now();
    let answer = request.with("x-request-id", &id).send(entry.address());
    let mut outcome = Outcome::new(id, &entry.name, service);
    let answer = match answer {
        Ok(answer) => answer,
        Err(failure) => {
            outcome.wrong.push(failure.to_string());
            return (outcome, None);
        }
    };
    outcome.first = Some(start.elapsed());
    outcome.expect(
        answer.status == 200,
        format!("{}: {}", answer.status, answer.text()),
    );
    let served = answer.json()["service"].clone();
    outcome.expect(served == service, format!("answered by service {served}"));
    (outcome, Some(answer))
}

/// Checks with the instances that a key ran once, and returns the failure domain it ran in.
fn check_runs(fleet: &Fleet, key: &str, outcome: &mut Outcome) -> Result<String, client::Failure> {
    let mut runs = 0;
    let mut domain = String::new();
    for plain in fleet.plains() {
        let ran = plain.counts::<Counts>()?.runs_of_key(key);
        if ran > 0 {
            domain.clone_from(&plain.domain);
        }
        runs += ran;
    }
    outcome.expect(runs == 1, format!("it ran {runs} times"));
    Ok(domain)
}
