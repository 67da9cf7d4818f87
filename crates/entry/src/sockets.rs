//! TCP socket options.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use nix::libc::linger;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt;
use tokio::net::TcpStream;

/// Unanswered keepalive probes before the connection is dropped. Linux uses the user timeout instead
/// where one is set.
const MAX_KEEPALIVE_PROBES: u32 = 3;

/// Disables Nagle's algorithm and enables detection of a peer that has vanished without a reset.
/// The connection fails when sent data stays unacknowledged for `timeout`; an idle connection is
/// probed at that interval.
pub(crate) fn set_peer_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = stream.as_fd();
    let seconds = timeout.as_secs().max(1) as u32;
    setsockopt(&socket, sockopt::TcpUserTimeout, &(timeout.as_millis() as u32))?;
    setsockopt(&socket, sockopt::KeepAlive, &true)?;
    setsockopt(&socket, sockopt::TcpKeepIdle, &seconds)?;
    setsockopt(&socket, sockopt::TcpKeepInterval, &seconds)?;
    setsockopt(&socket, sockopt::TcpKeepCount, &MAX_KEEPALIVE_PROBES)?;
    Ok(())
}

/// Sets whether closing the connection resets it, which discards data that was not sent yet.
pub(crate) fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    let option = linger { l_onoff: resets.into(), l_linger: 0 };
    setsockopt(&stream.as_fd(), sockopt::Linger, &option)?;
    Ok(())
}
