//! The command line as operators run it: the binary on files, against a stand-in of the platform.

mod check;
mod deploy;
mod edit;
mod hosts;
mod run;
