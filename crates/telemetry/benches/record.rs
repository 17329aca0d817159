//! Measures the time to record one token, and the time to render all metrics while the label values
//! of all tenants are in use.
//!
//! `cargo bench -p telemetry --bench record`

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use kernel::{name::Tenant, request::Class};
use telemetry::metrics::{Labels, MAX_TENANTS, Metrics, Outcome};

/// Number of tokens that are recorded.
const TOKENS: u32 = 500_000;

fn main() {
    let metrics = Metrics::new();
    let all = build_labels();
    let start = Instant::now();
    for labels in all.iter().cycle().take(TOKENS as usize) {
        metrics.record_token_gap(labels, Duration::from_millis(40));
    }
    println!("{:?} per token", start.elapsed() / TOKENS);
    for labels in &all {
        metrics.record_first_token(labels, Duration::from_millis(300));
        metrics.record_load_stall(labels, Duration::ZERO);
        metrics.record_queue_wait(labels, Duration::ZERO);
        metrics.record_request(labels, Outcome::Completed, Duration::from_secs(2));
    }
    let start = Instant::now();
    let text = black_box(metrics.render());
    println!("{:?} per scrape of {} bytes", start.elapsed(), text.len());
}

/// Returns labels for each combination of tenant and class.
fn build_labels() -> Vec<Labels> {
    let mut all = Vec::new();
    for tenant in 0..MAX_TENANTS {
        let tenant: Tenant = format!("tenant-{tenant}")
            .parse()
            .expect("the name is valid");
        for class in Class::ALL {
            all.push(Labels {
                tenant: tenant.clone(),
                class,
                service: "signs".parse().expect("the name is valid"),
            });
        }
    }
    all
}
