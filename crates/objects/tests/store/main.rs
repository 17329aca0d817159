//! What comfreywing keeps in the platform's objects, over a fake that fails on demand.

mod fake;
mod journal;
mod log;
mod race;
