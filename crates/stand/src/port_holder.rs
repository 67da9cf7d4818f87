//! A port that stays one stand-in's own while the stand-in is down.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use tokio::net::TcpSocket;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Holds a port by a socket that is bound and never listens: while the stand-in is down its
/// callers are refused at once, and nobody else is given the port.
pub(crate) struct PortHolder {
    holder: TcpSocket,
}

impl PortHolder {
    pub(crate) fn bind(address: SocketAddr) -> io::Result<PortHolder> {
        Ok(PortHolder { holder: bound_socket(address)? })
    }

    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.holder.local_addr()
    }

    /// A listener on the held port.
    pub(crate) fn listen(&self) -> io::Result<TcpListener> {
        bound_socket(self.address()?)?.listen(BACKLOG)?.into_std()
    }
}

fn bound_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
