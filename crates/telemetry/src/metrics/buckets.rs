//! Upper bounds of the histogram buckets. The latency targets are bucket bounds, so that the share
//! of requests within a target can be read exactly: 0.54 s for the first token and 62 ms between
//! tokens.

/// Bounds in seconds for the time that a request waits for its adapter to be loaded.
pub(super) const LOAD_STALL: &[f64] = &[
    0.001, 0.05, 0.1, 0.25, 0.54, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0,
];
/// Bounds in seconds for the time from the arrival of a request to its first token.
pub(super) const FIRST_TOKEN: &[f64] = &[
    0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.54, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
];
/// Bounds in seconds for the time between two consecutive tokens.
pub(super) const TOKEN_GAP: &[f64] = &[
    0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.062, 0.08, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5,
];
/// Bounds in seconds for the time that a request waits for its placement on an engine.
pub(super) const QUEUE_WAIT: &[f64] = &[
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.54, 1.0, 2.5, 5.0, 10.0, 30.0,
];
/// Bounds in seconds for the time from the arrival of a request to the end of its answer.
pub(super) const REQUEST_DURATION: &[f64] = &[
    0.01, 0.05, 0.1, 0.25, 0.54, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0,
];
/// Bounds for the share of an engine's batch that is in use.
pub(super) const BATCH_OCCUPANCY: &[f64] = &[0.0, 0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1.0];
