//! Command line of a stand-in that runs as its own process: `standin KIND [SETTINGS]`.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    path::Path,
};

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

use crate::{engine, fleet::guard, hosts, http::ANY_PORT, object, plain, platform, weights};

/// Prefix of the output line `ready ADDRESS`, which a stand-in prints once it listens.
pub const READY_PREFIX: &str = "ready";

/// Usage text of the command.
pub const USAGE: &str = "standin object|hosts|platform\n\
    standin weights|engine [SETTINGS-JSON]\n\
    standin plain SETTINGS-JSON\n\
    standin guard PROGRAM\n\
    The stand-in prints `ready ADDRESS` and exits when its standard input closes.";

/// Error that makes the command fail.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The command line is invalid.
    #[display("{_0}\n{USAGE}")]
    Usage(#[error(not(source))] String),
    /// An operation on the socket or on a standard stream failed.
    #[display("{_0}")]
    Io(io::Error),
}

/// A stand-in that is listening.
#[derive(Debug)]
enum Server {
    Object(object::Server),
    Hosts(hosts::Server),
    Platform(platform::Server),
    Weights(weights::Server),
    Engine(engine::Server),
    Plain(plain::Server),
}

impl Server {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Object(it) => it.address(),
            Self::Hosts(it) => it.address(),
            Self::Platform(it) => it.address(),
            Self::Weights(it) => it.address(),
            Self::Engine(it) => it.address(),
            Self::Plain(it) => it.address(),
        }
    }
}

/// Runs a stand-in until standard input closes, so that it does not outlive its parent process.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    if let [kind, program] = arguments
        && kind == guard::KIND
    {
        return guard::run(Path::new(program)).map_err(Failure::Io);
    }
    let server = start_server(arguments)?;
    let mut output = io::stdout();
    writeln!(output, "{READY_PREFIX} {}", server.address()).map_err(Failure::Io)?;
    output.flush().map_err(Failure::Io)?;
    io::stdin()
        .read_to_end(&mut Vec::new())
        .map_err(Failure::Io)?;
    Ok(())
}

fn start_server(arguments: &[String]) -> Result<Server, Failure> {
    let (kind, settings) = match arguments {
        [kind] => (kind.as_str(), "{}"),
        [kind, settings] => (kind.as_str(), settings.as_str()),
        _ => return Err(Failure::Usage("expected one or two arguments".to_owned())),
    };
    let server = match kind {
        "object" => object::Server::listen(ANY_PORT).map(Server::Object),
        "hosts" => hosts::Server::listen(ANY_PORT).map(Server::Hosts),
        "platform" => platform::Server::listen(ANY_PORT).map(Server::Platform),
        "weights" => {
            weights::Server::listen(ANY_PORT, parse_settings(settings)?).map(Server::Weights)
        }
        "engine" => engine::Server::listen(ANY_PORT, parse_settings(settings)?).map(Server::Engine),
        "plain" => plain::Server::listen(ANY_PORT, parse_settings(settings)?).map(Server::Plain),
        _ => return Err(Failure::Usage(format!("unknown stand-in {kind:?}"))),
    };
    server.map_err(Failure::Io)
}

fn parse_settings<T: DeserializeOwned>(settings: &str) -> Result<T, Failure> {
    serde_json::from_str(settings).map_err(|it| Failure::Usage(format!("invalid settings: {it}")))
}
