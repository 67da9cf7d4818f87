//! Options of connections.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt;
use tokio::net::TcpStream;

/// Probes that may stay unanswered before the system gives a connection up; with a user timeout it
/// is that timeout that counts.
const MOST_PROBES: u32 = 3;

/// Sends without delay, and has the system notice a peer that fell silent: no reset would ever
/// come, and what waits for it would wait for ever. Bytes that are not confirmed within `silence`
/// break the connection; an idle one is probed at that pace.
pub(crate) fn watch_peer(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = stream.as_fd();
    let seconds = silence.as_secs().max(1) as u32;
    setsockopt(&socket, sockopt::TcpUserTimeout, &(silence.as_millis() as u32))?;
    setsockopt(&socket, sockopt::KeepAlive, &true)?;
    setsockopt(&socket, sockopt::TcpKeepIdle, &seconds)?;
    setsockopt(&socket, sockopt::TcpKeepInterval, &seconds)?;
    setsockopt(&socket, sockopt::TcpKeepCount, &MOST_PROBES)?;
    Ok(())
}
