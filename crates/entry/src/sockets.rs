//! TCP socket options.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use nix::libc::linger;
use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt;
use tokio::net::TcpStream;

/// Unanswered keepalive probes before the connection is dropped. Linux uses the user timeout instead
/// where one is set.
const MAX_KEEPALIVE_PROBES: u32 = 3;

/// When a connection whose peer has vanished without a reset is dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerTimeout {
    /// How long sent data, or a probe, may stay unacknowledged.
    pub(crate) unacknowledged: Duration,
    /// Idle time before a probe, and interval of probes; whole seconds.
    pub(crate) probe_interval: Duration,
}

/// Disables Nagle's algorithm and enables detection of a peer that has vanished without a reset.
pub(crate) fn set_peer_timeout(stream: &TcpStream, timeout: PeerTimeout) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = stream.as_fd();
    let interval_s = timeout.probe_interval.as_secs().max(1) as u32;
    let unacknowledged_ms = timeout.unacknowledged.as_millis() as u32;
    setsockopt(&socket, sockopt::TcpUserTimeout, &unacknowledged_ms)?;
    setsockopt(&socket, sockopt::KeepAlive, &true)?;
    setsockopt(&socket, sockopt::TcpKeepIdle, &interval_s)?;
    setsockopt(&socket, sockopt::TcpKeepInterval, &interval_s)?;
    setsockopt(&socket, sockopt::TcpKeepCount, &MAX_KEEPALIVE_PROBES)?;
    Ok(())
}

/// Sets whether closing the connection resets it, which discards data that was not sent yet.
pub(crate) fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    let option = linger { l_onoff: resets.into(), l_linger: 0 };
    setsockopt(&stream.as_fd(), sockopt::Linger, &option)?;
    Ok(())
}

/// Bounds what the kernel holds of received bytes that were not read. Linux makes twice as much of it.
pub(crate) fn set_receive_buffer(socket: &impl AsFd, bytes: usize) -> io::Result<()> {
    setsockopt(socket, sockopt::RcvBuf, &bytes)?;
    Ok(())
}

/// Bounds what the kernel holds of bytes that the other side has not acknowledged. Linux makes twice as much of it.
pub(crate) fn set_send_buffer(socket: &impl AsFd, bytes: usize) -> io::Result<()> {
    setsockopt(socket, sockopt::SndBuf, &bytes)?;
    Ok(())
}

/// Descriptors that are left for files, or a quarter of fewer.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that is left for servers, the store, other routers, readiness and metrics.
const OWN_DESCRIPTOR_DIVISOR: usize = 4;

/// How many connections of callers may be open, so that there are descriptors for all else: by the setting, or the
/// system's limit for this process if that is lower.
pub(crate) fn max_client_connections(max_fds: Option<usize>) -> usize {
    let system_limit = match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX),
        Err(err) => {
            tracing::warn!("cannot read the limit on descriptors: {err}");
            usize::MAX
        }
    };
    let limit = max_fds.unwrap_or(usize::MAX).min(system_limit);
    let sockets = limit - FILE_DESCRIPTORS.min(limit / OWN_DESCRIPTOR_DIVISOR);
    sockets - sockets / OWN_DESCRIPTOR_DIVISOR
}
