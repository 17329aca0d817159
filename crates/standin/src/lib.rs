//! Stand-ins for the systems outside comfreywing, for tests and the demo.
