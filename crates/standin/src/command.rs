//! The command line of a stand-in that is a process of its own: `standin KIND [SETTINGS]`.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    path::Path,
};

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;

use crate::{engine, fleet::guard, hosts, http::ANY_PORT, object, plain, platform, weights};

/// The word before the address in the line that tells that a stand-in is ready.
pub const READY: &str = "ready";

/// How the command is used.
pub const USAGE: &str = "standin object|hosts|platform\n\
    standin weights|engine [SETTINGS-JSON]\n\
    standin plain SETTINGS-JSON\n\
    standin guard PROGRAM\n\
    The stand-in prints `ready ADDRESS` and ends when its standard input closes.";

/// Why a stand-in did not start.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The command line is wrong.
    #[display("{_0}\n{USAGE}")]
    Usage(#[error(not(source))] String),
    /// The socket or the standard streams failed.
    #[display("{_0}")]
    Io(io::Error),
}

/// A stand-in that listens.
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

/// Runs a stand-in until standard input closes, so that none outlives its parent.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    if let [kind, program] = arguments
        && kind == guard::KIND
    {
        return guard::run(Path::new(program)).map_err(Failure::Io);
    }
    let server = start(arguments)?;
    let mut output = io::stdout();
    writeln!(output, "{READY} {}", server.address()).map_err(Failure::Io)?;
    output.flush().map_err(Failure::Io)?;
    io::stdin()
        .read_to_end(&mut Vec::new())
        .map_err(Failure::Io)?;
    Ok(())
}

fn start(arguments: &[String]) -> Result<Server, Failure> {
    let (kind, settings) = match arguments {
        [kind] => (kind.as_str(), "{}"),
        [kind, settings] => (kind.as_str(), settings.as_str()),
        _ => return Err(Failure::Usage("one or two arguments are needed".to_owned())),
    };
    let server = match kind {
        "object" => object::Server::listen(ANY_PORT).map(Server::Object),
        "hosts" => hosts::Server::listen(ANY_PORT).map(Server::Hosts),
        "platform" => platform::Server::listen(ANY_PORT).map(Server::Platform),
        "weights" => weights::Server::listen(ANY_PORT, read(settings)?).map(Server::Weights),
        "engine" => engine::Server::listen(ANY_PORT, read(settings)?).map(Server::Engine),
        "plain" => plain::Server::listen(ANY_PORT, read(settings)?).map(Server::Plain),
        _ => return Err(Failure::Usage(format!("{kind:?} is no kind of stand-in"))),
    };
    server.map_err(Failure::Io)
}

fn read<T: DeserializeOwned>(settings: &str) -> Result<T, Failure> {
    serde_json::from_str(settings).map_err(|it| Failure::Usage(format!("the settings: {it}")))
}
