//! Event loop that drives the core and applies its outputs.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_names::EventKind;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::CoreOutput;
use crate::MemberState;
use crate::PeerItem;
use crate::PeerNews;
use crate::net::link_error::LinkError;
use crate::net::link_table::LinkTable;
use crate::net::link_table::SendOutcome;
use crate::net::net_state::LinkEvent;
use crate::net::net_state::NetState;

/// Maximum time to wait for the last frames to be written when leaving.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time given to `h2` to flush written frames to the socket.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Request to leave the fleet; `done` is completed when the last frames have been written.
pub(crate) struct LeaveRequest {
    pub(crate) done: oneshot::Sender<()>,
}

/// Passes ticks, link events and items from other threads to the core.
pub(crate) struct NetLoop {
    pub(crate) state: Rc<NetState>,
    pub(crate) links: LinkTable,
    pub(crate) events: mpsc::Receiver<LinkEvent>,
    pub(crate) items: mpsc::UnboundedReceiver<PeerItem>,
    pub(crate) leave_requests: mpsc::UnboundedReceiver<LeaveRequest>,
    pub(crate) news: mpsc::UnboundedSender<PeerNews>,
    pub(crate) pending_leaves: Vec<(LeaveRequest, Instant)>,
}

impl NetLoop {
    pub(crate) async fn run(mut self, gossip_interval_ms: u64) {
        let mut ticks = tokio::time::interval(Duration::from_millis(gossip_interval_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let state = self.state.clone();
        loop {
            tokio::select! {
                () = state.cancellation.cancelled() => break,
                _ = ticks.tick() => self.tick(),
                () = state.wake.notified() => {}
                Some(event) = self.events.recv() => self.handle_event(event),
                Some(item) = self.items.recv() =>
                    state.core.borrow_mut().publish(item, state.now_ms()),
                Some(request) = self.leave_requests.recv() => self.leave(request),
            }
            self.apply_outputs();
            self.complete_leaves();
        }
        self.links.close_all();
    }

    fn tick(&mut self) {
        let now_ms = self.state.now_ms();
        self.state.core.borrow_mut().tick(now_ms);
        self.links.close_idle(now_ms);
    }

    fn handle_event(&mut self, event: LinkEvent) {
        let now_ms = self.state.now_ms();
        match event {
            LinkEvent::Up { link_id, member, incoming } => {
                self.links.register(link_id, member, incoming, now_ms);
            }
            LinkEvent::Frame { link_id, frame } => {
                // Ignore frames queued before their link was closed.
                if let Some(peer) = self.links.peer(link_id).cloned() {
                    self.links.mark_used(link_id, now_ms);
                    self.state.core.borrow_mut().receive(&peer, frame, now_ms);
                }
            }
            LinkEvent::Down { link_id, error } => self.handle_link_down(link_id, &error, now_ms),
        }
    }

    fn handle_link_down(&mut self, link_id: u64, error: &LinkError, now_ms: u64) {
        if error.is_protocol_error() {
            self.state.counters.frames_unreadable.fetch_add(1, Ordering::Relaxed);
            let kind = EventKind::PeerUnreadable;
            let host = self.links.peer(link_id).map(|member| member.host.clone());
            tracing::warn!(event = kind.number(), name = kind.name(), ?host, %error);
        }
        if error.is_rejection() {
            self.state.counters.links_refused.fetch_add(1, Ordering::Relaxed);
        }
        let address = self.links.remove(link_id);
        if let Some(address) = address.filter(|_| !matches!(error, LinkError::ClosedLocally)) {
            tracing::debug!(%address, %error, "link closed");
            self.state.core.borrow_mut().link_failed(address, now_ms);
        }
    }

    fn apply_outputs(&mut self) {
        let now_ms = self.state.now_ms();
        loop {
            let outputs = self.state.core.borrow_mut().take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    CoreOutput::Send { to, frame } => {
                        if self.links.send(to, &frame, now_ms) == SendOutcome::QueueFull {
                            self.state.core.borrow_mut().link_failed(to, now_ms);
                        }
                    }
                    CoreOutput::Event(news) => self.publish(news),
                    CoreOutput::DropLink { to } => self.links.close_links_to(to),
                    CoreOutput::DropLinks => self.links.close_all(),
                }
            }
        }
    }

    fn publish(&self, news: PeerNews) {
        log_news(&news);
        // The receiver may be dropped before the loop is cancelled.
        let _ = self.news.send(news);
    }

    fn leave(&mut self, request: LeaveRequest) {
        self.state.core.borrow_mut().leave(self.state.now_ms());
        self.pending_leaves.push((request, Instant::now()));
    }

    fn complete_leaves(&mut self) {
        let all_written = self.links.pending() == 0;
        let now = Instant::now();
        let is_complete = |requested_at: Instant| {
            let elapsed = now.duration_since(requested_at);
            elapsed >= LEAVE_TIMEOUT || (all_written && elapsed >= FLUSH_DELAY)
        };
        let completed =
            self.pending_leaves.extract_if(.., |(_, requested_at)| is_complete(*requested_at));
        for (request, _) in completed {
            let _ = request.done.send(());
        }
    }
}

fn log_news(news: &PeerNews) {
    match news {
        PeerNews::Member { member } => {
            let kind = match member.state {
                MemberState::Alive => EventKind::PeerUp,
                MemberState::Suspected => EventKind::PeerSuspected,
                MemberState::Gone | MemberState::Left => EventKind::PeerDown,
            };
            let (host, incarnation, state) = (&member.host, member.incarnation, member.state);
            tracing::info!(event = kind.number(), name = kind.name(), %host, %incarnation, ?state);
        }
        PeerNews::Superseded { by } => {
            let kind = EventKind::PeerSuperseded;
            tracing::error!(event = kind.number(), name = kind.name(), %by);
        }
        PeerNews::Paused { for_ms } => {
            let kind = EventKind::HostPaused;
            tracing::warn!(event = kind.number(), name = kind.name(), for_ms);
        }
        PeerNews::Joined { .. }
        | PeerNews::IncarnationOver { .. }
        | PeerNews::Item { .. }
        | PeerNews::ConfigAhead { .. } => {}
    }
}
