//! Creates non-blocking loopback sockets, and reads the process's descriptor limit.

use mio::net::{TcpListener, TcpStream};
use rustix::process::{Resource, getrlimit};
use socket2::{Domain, Socket, Type};
use std::io::{Error, ErrorKind, Result};
use std::net::{IpAddr, SocketAddr};

/// Connections that the system queues until they are accepted.
const LISTEN_BACKLOG: i32 = 4096;

/// How many file descriptors this process may have open; `None` where the system sets no limit.
pub fn descriptor_limit() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile);
    limit.current.and_then(|most| usize::try_from(most).ok())
}

/// Listens at a loopback address. With `shared_port`, other processes may listen there too, and the system
/// distributes the connections.
pub(crate) fn bind_listener(address: SocketAddr, shared_port: bool) -> Result<TcpListener> {
    if !address.ip().is_loopback() {
        return Err(Error::new(ErrorKind::InvalidInput, format!("{address} is not a loopback address")));
    }
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared_port)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Begins to connect to an address, optionally from a local address, for more connections than one address
/// has ports for. An address that is no loopback address, or could not be read, counts as refused.
pub(crate) fn connect(address: Option<SocketAddr>, local: Option<&str>) -> Result<TcpStream> {
    let refused = || Error::from(ErrorKind::ConnectionRefused);
    let address = address.filter(|address| address.ip().is_loopback()).ok_or_else(refused)?;
    match local {
        None => TcpStream::connect(address),
        Some(local) => connect_from(local.parse().map_err(|_| refused())?, address),
    }
}

fn connect_from(local: IpAddr, remote: SocketAddr) -> Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(remote), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(local, 0).into())?;
    match socket.connect(&remote.into()) {
        // Still connecting: whether it succeeded is known once the socket becomes writable.
        Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
            Err(error)
        }
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}
