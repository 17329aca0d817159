//! Whether anybody still waits for a call.

use std::{fmt, sync::Arc};

/// Tells a waiting call that its caller has gone, so that it can give up.
#[derive(Clone, Default)]
pub struct Cancellation(Option<Arc<dyn Fn() -> bool + Send + Sync>>);

impl Cancellation {
    /// A caller that is asked, several times a second, whether it has gone.
    pub fn new(is_gone: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(is_gone)))
    }

    /// A caller that never goes.
    pub fn never() -> Self {
        Self(None)
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.0.as_ref().is_some_and(|it| it())
    }

    pub(crate) fn is_none(&self) -> bool {
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
