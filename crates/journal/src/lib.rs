//! Records of keyed calls, so that a call that may not be repeated runs at most once. No I/O here.
