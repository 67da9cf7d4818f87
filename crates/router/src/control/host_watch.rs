//! Reads the platform's list of hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::ServerName;
use fulmargate_peers::PeerHandle;
use fulmargate_platform::HostEntry;
use fulmargate_platform::HostKind;
use fulmargate_platform::HostList;
use fulmargate_platform::HostState;
use fulmargate_platform::LogTimeouts;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::state::RouterState;

/// Between two readings. The list lags by more than that.
const PERIOD: Duration = Duration::from_secs(1);

/// Polls the list of hosts: entry hosts become seeds of the exchange, and leaving servers get no new
/// requests. The list lags: a server listed as live may have left, and one listed as leaving may have
/// restarted. So the list never ends a departure, and applies only to the incarnation that it names.
pub(crate) async fn run(
    address: SocketAddr,
    state: Arc<RouterState>,
    peers: PeerHandle,
    cancel: CancellationToken,
) {
    let list = HostList::new(&address.to_string(), &LogTimeouts::default());
    loop {
        if let Ok(page) = list.fetch().await {
            peers.add_seeds(&seeds(&page.hosts));
            tell_leaving(&state, &page.hosts);
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = sleep(PERIOD) => {}
        }
    }
}

fn seeds(hosts: &[HostEntry]) -> Vec<SocketAddr> {
    let live =
        hosts.iter().filter(|host| host.kind == HostKind::Entry && host.state == HostState::Live);
    live.filter_map(|host| host.address.parse().ok()).collect()
}

fn tell_leaving(state: &RouterState, hosts: &[HostEntry]) {
    for host in hosts {
        let is_leaving = host.kind == HostKind::Server && host.state == HostState::Leaving;
        // Without an incarnation the list could speak of a process that has long been replaced.
        if is_leaving && 0 < host.incarnation.0 {
            state.tell_life(&ServerName::new(&host.name), host.incarnation, true);
        }
    }
}
