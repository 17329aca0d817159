//! The metrics as a scrape shows them.

use std::time::Duration;

use kernel::{fault::Kind, request::Class};
use member::Condition;
use objects::object::Reason;
use telemetry::metrics::{Direction, Labels, MAX_TENANTS, Metrics, Outcome, Transport};

fn labels(tenant: &str) -> Labels {
    Labels {
        tenant: tenant.parse().unwrap(),
        class: Class::Interactive,
        service: "signs".parse().unwrap(),
    }
}

fn check(record: impl Fn(&Metrics), lines: &[&str]) {
    let metrics = Metrics::new();
    record(&metrics);
    let text = metrics.render();
    for line in lines {
        assert!(text.lines().any(|it| it == *line), "{line}\n{text}");
    }
}

/// Covers the histograms of time: labels, and the targets among the bounds.
#[test]
fn times_have_labels_and_targets() {
    let shown = r#"class="interactive",tenant="mall""#;
    let millis = Duration::from_millis;
    check(
        |it| it.record_first_token(&labels("mall"), millis(540)),
        &[
            &format!(r#"comfreywing_first_token_seconds_bucket{{{shown},le="0.54"}} 1"#),
            &format!(r#"comfreywing_first_token_seconds_bucket{{{shown},le="0.4"}} 0"#),
            &format!("comfreywing_first_token_seconds_sum{{{shown}}} 0.54"),
        ],
    );
    check(
        |it| it.record_token_gap(&labels("mall"), millis(62)),
        &[
            &format!(r#"comfreywing_token_gap_seconds_bucket{{{shown},le="0.062"}} 1"#),
            &format!(r#"comfreywing_token_gap_seconds_bucket{{{shown},le="0.05"}} 0"#),
        ],
    );
    check(
        |it| {
            it.record_load_stall(&labels("mall"), Duration::ZERO);
            it.record_queue_wait(&labels("mall"), millis(3));
        },
        &[
            &format!(r#"comfreywing_load_stall_seconds_bucket{{{shown},le="0.001"}} 1"#),
            &format!("comfreywing_queue_wait_seconds_count{{{shown}}} 1"),
        ],
    );
}

fn record_all(it: &Metrics) {
    it.record_first_token(&labels("mall"), Duration::ZERO);
    it.record_token_gap(&labels("mall"), Duration::ZERO);
    it.record_load_stall(&labels("mall"), Duration::ZERO);
    it.record_queue_wait(&labels("mall"), Duration::ZERO);
    record_others(it);
}

fn record_others(it: &Metrics) {
    it.record_request(&labels("mall"), Outcome::Completed, Duration::from_secs(1));
    it.record_batch_occupancy(&"base".parse().unwrap(), 3, 8);
    it.record_batch_occupancy(&"base".parse().unwrap(), 3, 0);
    it.count_refusal(Kind::Overloaded);
    it.count_retry(&"signs".parse().unwrap());
    it.count_load();
    it.count_load_failure();
    it.count_eviction();
    it.set_members(Condition::Up, 4);
    it.set_revision(7);
    it.set_in_flight(2);
    it.set_platform_calls(Reason::Config, 5);
    it.set_platform_calls(Reason::Config, 6);
    it.set_control_bytes(Direction::Out, Transport::Datagram, 100);
}

/// Covers the other kinds of metrics.
#[test]
fn counters_and_gauges_are_shown() {
    check(
        record_others,
        &[
            r#"comfreywing_requests_total{class="interactive",outcome="whole",service="signs"} 1"#,
            r#"comfreywing_batch_occupancy_ratio_bucket{model="base",le="0.375"} 1"#,
            r#"comfreywing_batch_occupancy_ratio_count{model="base"} 1"#,
            r#"comfreywing_refusals_total{kind="overloaded"} 1"#,
            r#"comfreywing_retries_total{service="signs"} 1"#,
            "comfreywing_loads_total 1",
            "comfreywing_load_failures_total 1",
            "comfreywing_evictions_total 1",
            r#"comfreywing_members{state="up"} 4"#,
            "comfreywing_config_revision 7",
            "comfreywing_requests_in_flight 2",
            r#"comfreywing_platform_calls_total{reason="config"} 6"#,
            r#"comfreywing_control_bytes_total{direction="out",medium="datagram"} 100"#,
        ],
    );
}

/// Covers more tenants than have a label: the rest is counted together, and nothing is lost.
#[test]
fn tenants_are_bounded() {
    let metrics = Metrics::new();
    for index in 0..MAX_TENANTS * 3 {
        metrics.record_token_gap(&labels(&format!("tenant-{index}")), Duration::ZERO);
    }
    let text = metrics.render();
    let counts = text
        .lines()
        .filter(|it| it.starts_with("comfreywing_token_gap_seconds_count"));
    assert_eq!(counts.count(), MAX_TENANTS + 1);
    let other = r#"comfreywing_token_gap_seconds_count{class="interactive",tenant="other"}"#;
    let expected = format!("{other} {}", MAX_TENANTS * 2);
    assert!(text.lines().any(|it| it == expected), "{text}");
}

/// Covers that the operators' page names each metric, and no other.
#[test]
fn page_names_every_metric() {
    const PAGE: &str = include_str!("../../../docs/operating/metrics.md");
    let metrics = Metrics::new();
    record_all(&metrics);
    let text = metrics.render();
    let types = text.lines().filter_map(|it| it.strip_prefix("# TYPE "));
    let mut shown: Vec<&str> = types.filter_map(|it| it.split(' ').next()).collect();
    let rows = PAGE.lines().filter_map(|it| it.strip_prefix("| `"));
    let mut named: Vec<&str> = rows.filter_map(|it| it.split('`').next()).collect();
    shown.sort_unstable();
    named.sort_unstable();
    assert_eq!(shown, named);
}
