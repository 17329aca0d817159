//! Clients of engines and plain services.
