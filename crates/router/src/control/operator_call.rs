//! What operators ask of the control thread.

use std::collections::HashMap;
use std::time::Duration;

use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::ResponseFuture;
use fulmargate_admission::ServerAvailability;
use fulmargate_config::ConfigAnswer;
use fulmargate_config::HistoryAnswer;
use fulmargate_config::HostReach;
use fulmargate_config::HostRow;
use fulmargate_config::HostsAnswer;
use fulmargate_config::PatchRecord;
use fulmargate_config::ServerHealth;
use fulmargate_config::ServerRow;
use fulmargate_config::ServerState;
use fulmargate_config::ServersAnswer;
use fulmargate_config::StatusAnswer;
use fulmargate_config::SubmitOutcome;
use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::ServerName;
use fulmargate_peers::ItemRecord;
use fulmargate_peers::MemberRecord;
use fulmargate_peers::MemberState;
use fulmargate_peers::PeerItem;
use tokio::time::Instant;

use crate::control::ControlActor;
use crate::state::RouterPhase;

/// How long an operator waits for the log's verdict on a patch.
const PATCH_PATIENCE: Duration = Duration::from_secs(5);

/// The configuration in force; `None` while it is not known.
#[derive(Message)]
#[rtype(result = "Option<ConfigAnswer>")]
pub(crate) struct ReadConfig;

/// What became of the newest patches.
#[derive(Message)]
#[rtype(result = "HistoryAnswer")]
pub(crate) struct ReadHistory;

/// The entry hosts and the version in force on each.
#[derive(Message)]
#[rtype(result = "HostsAnswer")]
pub(crate) struct ReadHosts;

/// The backend servers as this router finds them.
#[derive(Message)]
#[rtype(result = "ServersAnswer")]
pub(crate) struct ReadServers;

/// This router's own state.
#[derive(Message)]
#[rtype(result = "StatusAnswer")]
pub(crate) struct ReadStatus;

/// Submits a patch.
#[derive(Message)]
#[rtype(result = "SubmitOutcome")]
pub(crate) struct PatchConfig {
    pub(crate) patch: PatchRecord,
}

/// Drains a server or lets it have work again.
#[derive(Message)]
#[rtype(result = "SubmitOutcome")]
pub(crate) struct SetServerState {
    pub(crate) server: ServerName,
    pub(crate) wanted: ServerState,
    pub(crate) id: String,
    pub(crate) author: String,
}

impl Handler<ReadConfig> for ControlActor {
    type Result = Option<ConfigAnswer>;

    fn handle(
        &mut self,
        _message: ReadConfig,
        _ctx: &mut Context<ControlActor>,
    ) -> Option<ConfigAnswer> {
        self.keeper.answer()
    }
}

impl Handler<ReadHistory> for ControlActor {
    type Result = MessageResult<ReadHistory>;

    fn handle(
        &mut self,
        _message: ReadHistory,
        _ctx: &mut Context<ControlActor>,
    ) -> MessageResult<ReadHistory> {
        let history = self.keeper.history();
        MessageResult(history)
    }
}

impl Handler<PatchConfig> for ControlActor {
    type Result = ResponseFuture<SubmitOutcome>;

    fn handle(&mut self, message: PatchConfig, _ctx: &mut Context<ControlActor>) -> Self::Result {
        let keeper = self.keeper.clone();
        Box::pin(async move { keeper.submit(message.patch, Instant::now() + PATCH_PATIENCE).await })
    }
}

impl Handler<SetServerState> for ControlActor {
    type Result = ResponseFuture<SubmitOutcome>;

    fn handle(
        &mut self,
        message: SetServerState,
        _ctx: &mut Context<ControlActor>,
    ) -> Self::Result {
        let keeper = self.keeper.clone();
        Box::pin(async move {
            let deadline = Instant::now() + PATCH_PATIENCE;
            let SetServerState { server, wanted, id, author } = message;
            keeper.set_server_state(&server, wanted, &id, &author, deadline).await
        })
    }
}

impl Handler<ReadHosts> for ControlActor {
    type Result = MessageResult<ReadHosts>;

    fn handle(
        &mut self,
        _message: ReadHosts,
        _ctx: &mut Context<ControlActor>,
    ) -> MessageResult<ReadHosts> {
        let versions = self.versions_of_peers();
        let own = self.version();
        let row = |member: MemberRecord| {
            let is_own = member.host == self.state.host;
            HostRow {
                version: if is_own {
                    own
                } else {
                    versions.get(&member.host).copied().unwrap_or_default()
                },
                state: if is_own { HostReach::Own } else { reach_of(member.state) },
                incarnation: member.incarnation,
                heard_ms_ago: if is_own { 0 } else { member.age_ms },
                zone: member.zone,
                host: member.host,
            }
        };
        let mut hosts: Vec<HostRow> = self.peers.handle.members().into_iter().map(row).collect();
        hosts.sort_by(|one, other| one.host.cmp(&other.host));
        let answer = HostsAnswer { hosts };
        MessageResult(answer)
    }
}

impl Handler<ReadServers> for ControlActor {
    type Result = MessageResult<ReadServers>;

    fn handle(
        &mut self,
        _message: ReadServers,
        _ctx: &mut Context<ControlActor>,
    ) -> MessageResult<ReadServers> {
        let names: Vec<ServerName> =
            self.routes.servers().map(|route| route.name.clone()).collect();
        let rows = names.iter().filter_map(|name| self.server_row(name)).collect();
        let answer = ServersAnswer { servers: rows };
        MessageResult(answer)
    }
}

impl Handler<ReadStatus> for ControlActor {
    type Result = MessageResult<ReadStatus>;

    fn handle(
        &mut self,
        _message: ReadStatus,
        _ctx: &mut Context<ControlActor>,
    ) -> MessageResult<ReadStatus> {
        let phase = self.state.phase.get();
        let answer = StatusAnswer {
            host: self.state.host.clone(),
            zone: self.state.zone.clone(),
            incarnation: self.state.incarnation,
            version: self.version(),
            ready: phase == RouterPhase::Serving,
            stopping: matches!(phase, RouterPhase::Leaving | RouterPhase::Closing),
            log_reachable: self.log_reachable(),
            config_gap: self.keeper.has_gap(),
            peers_up: self.peers_up(),
            open_requests: self.state.open.open() as u64,
            uptime_s: self.state.uptime_s(),
        };
        MessageResult(answer)
    }
}

fn reach_of(state: MemberState) -> HostReach {
    match state {
        MemberState::Alive => HostReach::Up,
        MemberState::Suspected => HostReach::Suspected,
        MemberState::Gone => HostReach::Down,
        MemberState::Left => HostReach::Leaving,
    }
}

impl ControlActor {
    fn peers_up(&self) -> usize {
        let members = self.peers.handle.members();
        let is_up = |member: &&MemberRecord| {
            member.state == MemberState::Alive && member.host != self.state.host
        };
        members.iter().filter(is_up).count()
    }

    fn versions_of_peers(&self) -> HashMap<HostName, ConfigVersion> {
        let items = self.peers.handle.items().into_iter();
        let version = |record: ItemRecord| match record.item {
            PeerItem::ConfigInForce { host, version } => Some((host, version)),
            _ => None,
        };
        items.filter_map(version).collect()
    }

    fn version(&self) -> ConfigVersion {
        self.state.routes.load().as_ref().map(|table| table.version).unwrap_or_default()
    }

    fn server_row(&mut self, name: &ServerName) -> Option<ServerRow> {
        let document = self.routes.document()?.clone();
        let entry = document.servers.get(name)?;
        let meter = self.routes.meter(name);
        let route = self.routes.server(name)?;
        let health = match self.state.health.availability(name, Instant::now()) {
            ServerAvailability::Leaving => ServerHealth::Leaving,
            ServerAvailability::Ejected
            | ServerAvailability::Trial
            | ServerAvailability::LastResort => ServerHealth::Ejected,
            _ if route.incarnation().0 == 0 => ServerHealth::Unknown,
            _ => ServerHealth::Up,
        };
        Some(ServerRow {
            server: name.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
            models: entry.models().to_vec(),
            service: entry.service().cloned(),
            state: entry.state,
            health,
            open_requests: u64::from(route.gate.snapshot().in_flight),
            queue_tokens: entry.service().is_none().then(|| u64::from(meter.queue_tokens())),
        })
    }
}
