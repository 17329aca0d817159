//! Tests of the metrics in the text format that a scrape returns.

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

/// Checks that the rendered metrics contain the lines after `record` has run.
fn check(record: impl Fn(&Metrics), lines: &[&str]) {
    let metrics = Metrics::new();
    record(&metrics);
    let text = metrics.render();
    for line in lines {
        assert!(text.lines().any(|it| it == *line), "{line}\n{text}");
    }
}

// Histograms of durations have the labels of the request, and the latency targets are bucket
// bounds.
#[test]
fn histograms_have_labels_and_targets_as_bounds() {
    let labels_text = r#"class="interactive",tenant="mall""#;
    let millis = Duration::from_millis;
    check(
        |it| it.record_first_token(&labels("mall"), millis(540)),
        &[
            &format!(r#"comfreywing_first_token_seconds_bucket{{{labels_text},le="0.54"}} 1"#),
            &format!(r#"comfreywing_first_token_seconds_bucket{{{labels_text},le="0.4"}} 0"#),
            &format!("comfreywing_first_token_seconds_sum{{{labels_text}}} 0.54"),
        ],
    );
    check(
        |it| it.record_token_gap(&labels("mall"), millis(62)),
        &[
            &format!(r#"comfreywing_token_gap_seconds_bucket{{{labels_text},le="0.062"}} 1"#),
            &format!(r#"comfreywing_token_gap_seconds_bucket{{{labels_text},le="0.05"}} 0"#),
        ],
    );
    check(
        |it| {
            it.record_load_stall(&labels("mall"), Duration::ZERO);
            it.record_queue_wait(&labels("mall"), millis(3));
        },
        &[
            &format!(r#"comfreywing_load_stall_seconds_bucket{{{labels_text},le="0.001"}} 1"#),
            &format!("comfreywing_queue_wait_seconds_count{{{labels_text}}} 1"),
        ],
    );
}

/// Records at least one value of every metric.
fn record_all(metrics: &Metrics) {
    metrics.record_first_token(&labels("mall"), Duration::ZERO);
    metrics.record_token_gap(&labels("mall"), Duration::ZERO);
    metrics.record_load_stall(&labels("mall"), Duration::ZERO);
    metrics.record_queue_wait(&labels("mall"), Duration::ZERO);
    record_others(metrics);
}

/// Records every metric but the histograms that `record_all` records itself.
fn record_others(metrics: &Metrics) {
    metrics.record_request(&labels("mall"), Outcome::Completed, Duration::from_secs(1));
    metrics.record_batch_occupancy(&"base".parse().unwrap(), 3, 8);
    metrics.record_batch_occupancy(&"base".parse().unwrap(), 3, 0);
    metrics.count_refusal(Kind::Overloaded);
    metrics.count_retry(&"signs".parse().unwrap());
    metrics.count_load();
    metrics.count_load_failure();
    metrics.count_eviction();
    metrics.set_members(Condition::Up, 4);
    metrics.set_revision(7);
    metrics.set_in_flight(2);
    metrics.set_platform_calls(Reason::Config, 5);
    metrics.set_platform_calls(Reason::Config, 6);
    metrics.set_control_bytes(Direction::Out, Transport::Datagram, 100);
}

// Every counter, every gauge and the batch occupancy are rendered with their labels. An engine with
// a capacity of 0 isn't counted, and a total replaces the one before.
#[test]
fn counters_and_gauges_are_rendered() {
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

// With more tenants than the limit, the others are counted together as `other`, and no count is
// lost.
#[test]
fn tenant_labels_are_bounded() {
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

// The operators' documentation lists exactly the metrics that are rendered.
#[test]
fn documentation_lists_every_metric() {
    const PAGE: &str = include_str!("../../../docs/operating/metrics.md");
    let metrics = Metrics::new();
    record_all(&metrics);
    let text = metrics.render();
    let types = text.lines().filter_map(|it| it.strip_prefix("# TYPE "));
    let mut rendered: Vec<&str> = types.filter_map(|it| it.split(' ').next()).collect();
    let rows = PAGE.lines().filter_map(|it| it.strip_prefix("| `"));
    let mut documented: Vec<&str> = rows.filter_map(|it| it.split('`').next()).collect();
    rendered.sort_unstable();
    documented.sort_unstable();
    assert_eq!(rendered, documented);
}
