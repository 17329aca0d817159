//! Size of a run: the numbers of its hosts, engines and series of failures.

use super::{ENGINES, LOYAL_CALLERS_PER_HOST, MAX_LOYAL_CALLERS, PLAIN_INSTANCES, STREAM_CALLERS};

/// Maximum number of loyal callers of a run with series, which is about streams.
const MAX_LOYAL_CALLERS_IN_SERIES: usize = 16;

/// Numbers of hosts, model engines, instances of the plain service and series of failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    pub hosts: usize,
    /// At least [`ENGINES`]. The numbers of those beyond follow those of the plain instances that all steps choose, and only
    /// releases and series choose them, so that the other steps of a seed stay the same.
    pub model_engines: usize,
    /// At least [`PLAIN_INSTANCES`]. Those beyond have the last numbers, and no step chooses them.
    pub plain_instances: usize,
    /// A run without series checks time limits at its end, one with them only what was observed.
    pub series: usize,
}

impl Size {
    /// Returns the number of engines of both services.
    pub(super) fn engines(self) -> usize {
        self.model_engines + self.plain_instances
    }

    /// Returns the numbers of the model engines.
    pub(super) fn model_engines(self) -> impl Iterator<Item = usize> {
        let first_spare = ENGINES + PLAIN_INSTANCES;
        (0..ENGINES).chain(first_spare..self.model_engines + PLAIN_INSTANCES)
    }

    /// Returns whether an engine is a model engine.
    pub(super) fn is_model(self, engine: usize) -> bool {
        self.model_engines().any(|it| it == engine)
    }

    /// Returns the number of callers that keep their connections.
    pub(super) fn loyal_callers(self) -> usize {
        let limit = if self.series == 0 {
            MAX_LOYAL_CALLERS
        } else {
            MAX_LOYAL_CALLERS_IN_SERIES
        };
        (LOYAL_CALLERS_PER_HOST * self.hosts).min(limit)
    }

    /// Returns the number of callers that send only requests for streams.
    pub(super) fn stream_callers(self) -> u64 {
        let hosts = u64::try_from(self.hosts).expect("the number fits");
        if self.series == 0 {
            STREAM_CALLERS
        } else {
            STREAM_CALLERS.max(hosts)
        }
    }
}
