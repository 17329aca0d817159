//! Bounds of histogram buckets. Those of time have the targets for the first token, 0.54 s, and
//! for the time between tokens, 62 ms, among them.

/// Seconds that a request waits for its adapter.
pub(super) const LOAD_STALL: &[f64] = &[
    0.001, 0.05, 0.1, 0.25, 0.54, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0,
];
/// Seconds to the first token.
pub(super) const FIRST_TOKEN: &[f64] = &[
    0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.54, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
];
/// Seconds between tokens.
pub(super) const TOKEN_GAP: &[f64] = &[
    0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.062, 0.08, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5,
];
/// Seconds that a request waits for its place.
pub(super) const QUEUE_WAIT: &[f64] = &[
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.54, 1.0, 2.5, 5.0, 10.0, 30.0,
];
/// Seconds to the end of an answer.
pub(super) const DURATION: &[f64] = &[
    0.01, 0.05, 0.1, 0.25, 0.54, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0,
];
/// Share of a batch.
pub(super) const OCCUPANCY: &[f64] = &[0.0, 0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1.0];
