//! Cancellation of calls whose caller no longer waits.

use std::{fmt, sync::Arc};

/// Tells a waiting call that its caller has disconnected, so that the call is abandoned.
#[derive(Clone, Default)]
pub struct Cancellation(Option<Arc<dyn Fn() -> bool + Send + Sync>>);

impl Cancellation {
    /// Creates a cancellation from a function that a waiting call polls several times per second.
    pub fn new(is_cancelled: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(is_cancelled)))
    }

    /// Creates a cancellation that never happens.
    pub fn never() -> Self {
        Self(None)
    }

    /// Returns whether the caller has disconnected.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.0.as_ref().is_some_and(|it| it())
    }

    /// Returns whether the call cannot be cancelled.
    pub(crate) fn is_never(&self) -> bool {
        self.0.is_none()
    }
}

impl fmt::Debug for Cancellation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Cancellation")
            .field(&self.0.is_some())
            .finish()
    }
}
