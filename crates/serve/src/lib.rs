//! The HTTP server: limits against hostile senders, streamed answers, graceful shutdown.
