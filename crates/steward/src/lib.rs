//! The decisions of the steward of an engine: placement, loads, eviction, admission. No I/O here.
