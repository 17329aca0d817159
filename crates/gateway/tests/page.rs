//! Checks that the operators' page lists exactly the existing events, metrics, faults and settings.

use std::{collections::BTreeSet, fs, path::Path, time::Duration};

use gateway::{
    attribution::Attribution,
    connection::Origin,
    memory::{self, Budget},
    metrics::Metrics,
    reply::Fault,
};

const PAGE: &str = include_str!("../../../docs/operating/gateway.md");
const TEMPLATE: &str = include_str!("../../../deploy/settings.yaml");

/// Names in backticks in the first column of the table rows between two headings.
fn names_in_table(from: &str, to: &str) -> BTreeSet<String> {
    let part = PAGE.split(from).nth(1).expect("the page has this heading");
    let part = part
        .split(to)
        .next()
        .expect("split yields at least one part");
    let rows = part.lines().filter(|it| it.starts_with("| `"));
    let firsts = rows.filter_map(|it| it.split(" | ").next());
    firsts
        .flat_map(|it| it.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect()
}

fn logged_events() -> BTreeSet<String> {
    let request_ends = ["served", "failed", "refused", "cut", "left"];
    let mut events: BTreeSet<String> = request_ends.map(str::to_owned).into();
    // Events logged by the crate `telemetry`.
    events.extend(["lines-dropped", "metrics-failed"].map(str::to_owned));
    let mut folders = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join("src")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the source folder is readable") {
            let path = entry.expect("the folder entry is readable").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = fs::read_to_string(path).expect("the source file is UTF-8");
            let names = text.split("event = \"").skip(1);
            events.extend(
                names
                    .filter_map(|it| it.split('"').next())
                    .map(str::to_owned),
            );
        }
    }
    events
}

#[test]
fn every_event_is_listed() {
    assert_eq!(names_in_table("## Events", "## Metrics"), logged_events());
}

#[test]
fn every_metric_is_listed() {
    let metrics = Metrics::new();
    let second = Duration::from_secs(1);
    metrics.record_request("s", "r", "served", "");
    metrics.record_limited_engines(1);
    metrics.count_limited_request("sent");
    metrics.count_limit_answer("old");
    metrics.count_handover("sent");
    metrics.record_isolated(false);
    metrics.record_waits("s", "r", second, second);
    metrics.queue.record_wait("s", "r", second);
    metrics.queue.record_length("s", 1);
    metrics.queue.count_refusal("s", "r", "no-room");
    metrics.record_latency("s", "r", second, second);
    metrics.record_retries_left("s", 1.0);
    metrics.record_list_age("engines", second);
    metrics.record_load_time("store", second);
    metrics.record_loop_delay(second);
    metrics.count_retry("s", "sent");
    metrics.count_connection(Origin::New);
    metrics.count_response(Attribution::Own, Origin::New);
    metrics.count_order("load", "accepted");
    metrics.count_load("early");
    metrics.count_store_call("watch", "ok");
    metrics.record_state(1, 1, 1, 1);
    metrics.count_crash("s");
    metrics.count_trial();
    metrics.capacity.record_speed("s", "median", 1.0);
    metrics.accounts.count_units("a", "admitted", 1.0);
    metrics.accounts.record_level("a", 1.0);
    metrics.accounts.record_quota("a", None);
    metrics.record_quarantined_parts(1);
    let budget = Budget::new(memory::Kind::Store, 1);
    budget.record_too_large();
    metrics.record_body_memory(&budget);
    let text = String::from_utf8(metrics.to_text()).expect("the metrics are UTF-8");
    let types = text.lines().filter_map(|it| it.strip_prefix("# TYPE "));
    let names = types.filter_map(|it| it.split(' ').next());
    let names: BTreeSet<String> = names.map(str::to_owned).collect();
    assert_eq!(names_in_table("## Metrics", "## End"), names);
}

#[test]
fn fault_names_are_unique_and_faults_that_may_have_run_have_no_not_run_status() {
    let names: BTreeSet<&str> = Fault::ALL.map(Fault::name).into();
    assert_eq!(names.len(), Fault::ALL.len());
    for fault in [Fault::UpstreamLost, Fault::Timeout] {
        // These statuses state that the request was not run.
        assert!(![408, 421, 429, 503].contains(&fault.status().as_u16()));
    }
}

#[test]
fn every_setting_of_the_template_is_listed() {
    let fields = names_in_table("## Settings", "## From").into_iter();
    let listed: BTreeSet<String> = fields
        .filter_map(|it| it.split('.').next().map(str::to_owned))
        .filter(|it| !it.is_empty())
        .collect();
    let lines = TEMPLATE.lines().filter(|it| !it.starts_with(' '));
    let fields = lines.filter_map(|it| it.split(':').next());
    let fields: BTreeSet<String> = fields.map(str::to_owned).collect();
    assert_eq!(listed, fields);
}
