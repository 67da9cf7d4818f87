//! All backend servers as this router sees them, and the choice among them.

mod choices;
mod news;
mod reach;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CallFacts;
use crate::CallShape;
use crate::DemandMeter;
use crate::EngineChoice;
use crate::LoadReport;
use crate::PartMemory;
use crate::PeerBoard;
use crate::PromptNotice;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerState;
use crate::Urgency;
use crate::engine_choice::scope_of;
use crate::link_meter::LinkMeter;
use crate::own_reach::OwnReach;
use crate::pending_updates::PendingUpdates;
use crate::stall_meter::StallMeter;

/// A server that is full takes requests again after about this time; one request of it has ended.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// An engine under an order turns requests away for about this time: the load and what it finishes
/// before.
const LOADING_PAUSE: Duration = Duration::from_millis(350);

/// A prompt has been read by so many times its estimate: routers hear of each other late, and prompts that
/// were not heard of are read before it.
const READY_FACTOR: f64 = 2.0;

/// A request that is under way at a server.
#[derive(Clone, Debug)]
pub struct SendTicket {
    /// The server.
    pub server: ServerKey,
    tokens: f64,
    urgency: Urgency,
    shape: CallShape,
    is_awaited: bool,
    sent: Instant,
}

/// Beliefs about all servers of the list.
#[derive(Debug, Default)]
pub struct ServerBook {
    servers: IndexMap<ServerKey, ServerState>,
    /// What the store of cached prompts has been told to keep.
    kept: PartMemory,
    /// The store's link to the engines.
    store_link: LinkMeter,
    /// What the other routers have under way.
    peers: PeerBoard,
    /// The pause between two words of a router, once it is known.
    gossip_interval: Option<Duration>,
    /// How often callers of all routers ask for parts.
    demand: DemandMeter,
    /// How chats bear long prompts beside them.
    stalls: StallMeter,
    /// Prompts sent since the others were last told.
    untold: Vec<PromptNotice>,
    /// And what caches have said since.
    untold_caches: PendingUpdates,
    /// Servers whose address another server answered at.
    gone: IndexSet<ServerKey>,
    /// What connections say of this host.
    reach: OwnReach,
}

impl ServerBook {
    /// Takes over the list's servers; those that are no longer in it are forgotten.
    pub fn sync(&mut self, entries: &[Arc<ServerEntry>], now: Instant) {
        let listed: IndexSet<ServerKey> = entries.iter().map(|entry| entry.key()).collect();
        self.servers.retain(|key, _| listed.contains(key));
        self.gone.retain(|key| listed.contains(key));
        for entry in entries {
            let key = entry.key();
            if self.gone.contains(&key) {
                continue;
            }
            match self.servers.get_mut(&key) {
                Some(state) => state.update(entry),
                None => {
                    self.servers.insert(key, ServerState::new(entry.clone(), now));
                }
            }
        }
    }

    /// One server.
    pub fn state(&self, server: ServerKey) -> Option<&ServerState> {
        self.servers.get(&server)
    }

    /// Requests of all routers at a server.
    pub fn open_at(&self, server: ServerKey) -> u32 {
        let Some(state) = self.state(server) else { return 0 };
        state.open + self.peers.sum(server).open
    }

    /// All servers.
    pub fn states(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// The call goes to the server.
    pub fn begin(&mut self, call: &CallFacts, server: ServerKey, now: Instant) -> SendTicket {
        let tokens = f64::from(call.prompt_tokens());
        let urgency = Urgency::timely(call.priority);
        if let Some(state) = self.state_mut(server) {
            state.open += 1;
            state.backlog.add(urgency, tokens);
        }
        SendTicket { server, tokens, urgency, shape: CallShape::Plain, is_awaited: true, sent: now }
    }

    /// The call's prompt goes to the chosen engine.
    pub fn begin_prompt(
        &mut self,
        call: &CallFacts,
        choice: &EngineChoice,
        now: Instant,
    ) -> SendTicket {
        let notice = PromptNotice {
            server: choice.server.key(),
            scope: scope_of(&choice.salt),
            parts: call.shared_parts().iter().map(|part| part.hash).collect(),
            taken_tokens: choice.taken_tokens as u32,
            ready_ms: (choice.estimate_ms * READY_FACTOR) as u32,
            is_stored: choice.save_to.is_some(),
            source: choice.fetch.map(|fetch| fetch.source),
            transfer_ms: choice.fetch.map_or(0, |fetch| fetch.transfer_ms as u32),
        };
        self.note_prompt(&notice, now);
        if self.untold.len() < news::MOST_UNTOLD {
            self.untold.push(notice);
        }
        if let Some(state) = self.state_mut(choice.server.key()) {
            state.open += 1;
            state.chats += u32::from(choice.shape == CallShape::Chat);
            state.backlog.add(choice.urgency, choice.read_tokens);
        }
        SendTicket {
            server: choice.server.key(),
            tokens: choice.read_tokens,
            urgency: choice.urgency,
            shape: choice.shape,
            is_awaited: true,
            sent: now,
        }
    }

    fn state_mut(&mut self, server: ServerKey) -> Option<&mut ServerState> {
        self.servers.get_mut(&server)
    }

    /// The first of the answer has come.
    pub fn answered(&mut self, ticket: &mut SendTicket, load: Option<LoadReport>, now: Instant) {
        if let Some(state) = self.state_mut(ticket.server) {
            if ticket.is_awaited {
                state.backlog.take(ticket.urgency, ticket.tokens);
            }
            state.heard(load, now);
        }
        ticket.is_awaited = false;
    }

    /// The request has left the server, whatever became of it.
    pub fn left(&mut self, ticket: &SendTicket) {
        if let Some(state) = self.state_mut(ticket.server) {
            state.open = state.open.saturating_sub(1);
            let chats = u32::from(ticket.shape == CallShape::Chat);
            state.chats = state.chats.saturating_sub(chats);
            if ticket.is_awaited {
                state.backlog.take(ticket.urgency, ticket.tokens);
            }
        }
    }

    /// The whole answer came and was good.
    pub fn succeeded(&mut self, ticket: &SendTicket, now: Instant) {
        let took = now.saturating_duration_since(ticket.sent);
        if let Some(state) = self.state_mut(ticket.server) {
            state.succeeded(took, now);
        }
    }

    /// A stream has ended; its longest pause was this share of what its caller is content with.
    pub fn paused(&mut self, ticket: &SendTicket, share: f64, now: Instant) {
        if ticket.shape == CallShape::Chat {
            self.stalls.note(share, now);
        }
    }

    /// The server failed the request.
    pub fn failed(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.failed(now);
        }
    }

    /// The server turned a plain request away.
    pub fn turned_away(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.full(FULL_PAUSE, now);
        }
    }

    /// An engine turned a prompt away. If newer weights are wanted, it is most likely loading them.
    pub fn turned_away_prompt(
        &mut self,
        server: ServerKey,
        model: &ModelName,
        wanted: Option<WeightsVersion>,
        now: Instant,
    ) {
        let Some(state) = self.state_mut(server) else { return };
        let is_behind = wanted
            .is_some_and(|wanted| state.weights(model).is_some_and(|weights| weights < wanted));
        if !is_behind {
            state.full(FULL_PAUSE, now);
            return;
        }
        state.full(LOADING_PAUSE, now);
        if let Some(wanted) = wanted {
            state.assume_weights(model, wanted);
        }
    }

    /// The engine runs other weights than expected: the newest, unless these were expected.
    pub fn misjudged_weights(
        &mut self,
        server: ServerKey,
        model: &ModelName,
        sent: WeightsVersion,
        wanted: Option<WeightsVersion>,
    ) {
        let Some(state) = self.state_mut(server) else { return };
        match wanted {
            Some(wanted) if sent < wanted => state.assume_weights(model, wanted),
            _ => state.drop_assumption(),
        }
    }

    /// An answer names the weights in use.
    pub fn learn_weights(&mut self, server: ServerKey, model: &ModelName, seen: WeightsVersion) {
        if let Some(state) = self.state_mut(server) {
            state.learn_weights(model, seen);
        }
    }

    /// This router, which holds the lease, has an engine load weights.
    pub fn order_given(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.loads(now);
        }
    }

    /// The engine could not be brought up and keeps the weights it has.
    pub fn order_given_up(&mut self, server: ServerKey) {
        if let Some(state) = self.state_mut(server) {
            state.loads_no_more();
        }
    }

    /// The engine has the weights by its own word.
    pub fn order_done(&mut self, server: ServerKey, model: &ModelName, seen: WeightsVersion) {
        if let Some(state) = self.state_mut(server) {
            state.loaded(model, seen);
        }
    }

    /// Another server answered at the address: this one is gone from there.
    pub fn forget(&mut self, server: ServerKey) {
        self.servers.swap_remove(&server);
        self.gone.insert(server);
    }
}
