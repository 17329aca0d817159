//! Membership of entry hosts by gossip, and which host is steward of which engine. No I/O here.
