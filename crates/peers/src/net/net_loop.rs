//! The loop that carries out what the core decides.

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
use crate::net::link_table::SendFate;
use crate::net::net_state::LinkEvent;
use crate::net::net_state::NetState;

/// How long a host that leaves waits at most for its last frames to be written.
const LEAVE_WAIT: Duration = Duration::from_secs(1);
/// What `h2` gets to bring written frames to the socket.
const FLUSH_WAIT: Duration = Duration::from_millis(50);

/// A planned stop waits for this.
pub(crate) struct LeaveRequest {
    pub(crate) done: oneshot::Sender<()>,
}

/// Drives the core: ticks, frames, items from other threads.
pub(crate) struct NetLoop {
    pub(crate) state: Rc<NetState>,
    pub(crate) links: LinkTable,
    pub(crate) events: mpsc::Receiver<LinkEvent>,
    pub(crate) items: mpsc::UnboundedReceiver<PeerItem>,
    pub(crate) leaves: mpsc::UnboundedReceiver<LeaveRequest>,
    pub(crate) news: mpsc::UnboundedSender<PeerNews>,
    pub(crate) leaving: Vec<(LeaveRequest, Instant)>,
}

impl NetLoop {
    pub(crate) async fn run(mut self, tick_ms: u64) {
        let mut ticks = tokio::time::interval(Duration::from_millis(tick_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let state = self.state.clone();
        loop {
            tokio::select! {
                () = state.cancellation.cancelled() => break,
                _ = ticks.tick() => self.tick(),
                () = state.wake.notified() => {}
                Some(event) = self.events.recv() => self.take_event(event),
                Some(item) = self.items.recv() => state.core.borrow_mut().put(item, state.now_ms()),
                Some(request) = self.leaves.recv() => self.leave(request),
            }
            self.carry_out();
            self.end_leaves();
        }
        self.links.drop_all();
    }

    fn tick(&mut self) {
        let now_ms = self.state.now_ms();
        self.state.core.borrow_mut().tick(now_ms);
        self.links.drop_idle(now_ms);
    }

    fn take_event(&mut self, event: LinkEvent) {
        let now_ms = self.state.now_ms();
        match event {
            LinkEvent::Up { link, member, accepted } => {
                self.links.up(link, member, accepted, now_ms);
            }
            LinkEvent::Frame { link, frame } => {
                // Frames of links that were dropped meanwhile are old: nobody speaks on them.
                if let Some(speaker) = self.links.speaker(link).cloned() {
                    self.links.touch(link, now_ms);
                    self.state.core.borrow_mut().receive(&speaker, frame, now_ms);
                }
            }
            LinkEvent::Down { link, error } => self.end_link(link, &error, now_ms),
        }
    }

    fn end_link(&mut self, link: u64, error: &LinkError, now_ms: u64) {
        if error.is_unreadable() {
            self.state.counters.frames_unreadable.fetch_add(1, Ordering::Relaxed);
            let kind = EventKind::PeerUnreadable;
            let host = self.links.speaker(link).map(|member| member.host.clone());
            tracing::warn!(event = kind.number(), name = kind.name(), ?host, %error);
        }
        if error.is_refusal() {
            self.state.counters.links_refused.fetch_add(1, Ordering::Relaxed);
        }
        let address = self.links.remove(link);
        if let Some(address) = address.filter(|_| !matches!(error, LinkError::Dropped)) {
            tracing::debug!(%address, %error, "link ended");
            self.state.core.borrow_mut().link_failed(address, now_ms);
        }
    }

    fn carry_out(&mut self) {
        let now_ms = self.state.now_ms();
        loop {
            let outputs = self.state.core.borrow_mut().take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    CoreOutput::Send { to, frame } => {
                        if self.links.send(to, &frame, now_ms) == SendFate::Overrun {
                            self.state.core.borrow_mut().link_failed(to, now_ms);
                        }
                    }
                    CoreOutput::News(news) => self.tell(news),
                    CoreOutput::DropLink { to } => self.links.drop_to(to),
                    CoreOutput::DropLinks => self.links.drop_all(),
                }
            }
        }
    }

    fn tell(&self, news: PeerNews) {
        log_news(&news);
        // The router may have stopped listening before it stops the exchange.
        let _ = self.news.send(news);
    }

    fn leave(&mut self, request: LeaveRequest) {
        self.state.core.borrow_mut().leave(self.state.now_ms());
        self.leaving.push((request, Instant::now()));
    }

    fn end_leaves(&mut self) {
        let is_written = self.links.waiting() == 0;
        let now = Instant::now();
        let is_over = |asked: Instant| {
            let passed = now.duration_since(asked);
            passed >= LEAVE_WAIT || (is_written && passed >= FLUSH_WAIT)
        };
        let over = self.leaving.extract_if(.., |(_, asked)| is_over(*asked));
        for (request, _) in over {
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
