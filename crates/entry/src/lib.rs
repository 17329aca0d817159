//! The entry host process: connects the kernel's plug-ins with sockets, threads and clients.

pub mod adoption;
pub mod chat;
pub mod claim;
pub mod directory;
pub mod duty;
pub mod envelope;
pub mod flow;
pub mod host;
pub mod host_list;
pub mod inbox;
pub mod lending;
pub mod liveness;
pub mod peers;
pub mod plugin;
pub mod process;
pub mod readiness;
pub mod retries;
pub mod revision_log;
pub mod route;
pub mod running;
pub mod settings;
pub mod trace;
pub mod verdict;
