//! Metrics.
use kernel::{
    fault::Kind,
    name::{Service, Tenant},
    request::Class,
};
use std::time::Duration;
/// Labels.
#[derive(Clone)]
pub struct Labels {
    /// t
    pub tenant: Tenant,
    /// c
    pub class: Class,
    /// s
    pub service: Service,
}
/// Metrics.
pub struct Metrics;
impl Metrics {
    /// n
    pub fn new() -> Self {
        Self
    }
    /// n
    pub fn render(&self) -> String {
        String::new()
    }
    /// n
    pub fn refusal(&self, _: Kind) {}
    /// n
    pub fn load_stall(&self, _: &Labels, _: Duration) {}
    /// n
    pub fn queue_wait(&self, _: &Labels, _: Duration) {}
    /// n
    pub fn first_token(&self, _: &Labels, _: Duration) {}
    /// n
    pub fn token_gap(&self, _: &Labels, _: Duration) {}
    /// n
    pub fn load(&self) {}
    /// n
    pub fn eviction(&self) {}
    /// n
    pub fn revision(&self, _: u64) {}
}
