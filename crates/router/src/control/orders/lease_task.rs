//! Reads the zone's stream of leases, and appends what a candidate or holder has to.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_fleet::LeaseHolder;
use fulmargate_fleet::LeasePace;
use fulmargate_fleet::LeaseRecord;
use fulmargate_fleet::LeaseState;
use fulmargate_fleet::OwnLease;
use fulmargate_names::ConfigVersion;
use fulmargate_names::EventKind;
use fulmargate_names::FencingNumber;
use fulmargate_platform::LogClient;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::state::RouterPhase;
use crate::state::RouterState;

/// Hosts of a zone that read its leases and may take one; the others leave the log alone.
const CANDIDATES: usize = 2;
const PAGE: usize = 1_000;
/// A read waits no longer for news, since a renewal may become due meanwhile.
const READ_WAIT: Duration = Duration::from_millis(500);
/// How long a host waits that is no candidate, or that cannot reach the log.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// The zone's lease as this process sees it; shared by the task that keeps it and by orders.
pub(crate) struct LeaseView {
    state: RefCell<LeaseState>,
    /// This host's rank among the live ones of its zone.
    pub(crate) rank: Cell<usize>,
    /// The configuration in force here.
    pub(crate) config: Cell<ConfigVersion>,
}

impl LeaseView {
    pub(crate) fn new(state: &RouterState) -> LeaseView {
        let me = LeaseHolder { host: state.host.clone(), incarnation: state.incarnation };
        LeaseView {
            state: RefCell::new(LeaseState::new(me, LeasePace::default())),
            rank: Cell::new(usize::MAX),
            config: Cell::new(ConfigVersion(0)),
        }
    }

    /// The lease, while orders may be given under it: it is in force, orders of the holder before
    /// are void, and the stream knows of no newer configuration than the one in force here.
    pub(crate) fn acting(&self) -> Option<OwnLease> {
        let now = Instant::now().into_std();
        let state = self.state.borrow();
        let own = state.lease(now)?;
        let config = self.config.get();
        let may_act = own.acts_from <= now && config <= own.config && state.is_newest(config);
        may_act.then_some(own)
    }

    /// An engine has met a higher number than this one.
    pub(crate) fn lose(&self, fence: FencingNumber) {
        self.state.borrow_mut().lose(fence);
    }

    fn fence(&self) -> Option<FencingNumber> {
        self.state.borrow().lease(Instant::now().into_std()).map(|own| own.fence)
    }
}

/// Keeps the view for as long as the router runs.
pub(crate) async fn keep_lease(view: Rc<LeaseView>, log: LogClient, state: Arc<RouterState>) {
    let stream = LeaseRecord::stream(&state.zone);
    let mut told = None;
    while state.phase.get() < RouterPhase::Leaving {
        let is_candidate = view.rank.get() < CANDIDATES && 0 < view.config.get().0;
        if !is_candidate && view.fence().is_none() {
            sleep(IDLE_PAUSE).await;
            continue;
        }
        match read_news(&view, &log, &stream).await {
            NewsEnd::More => {}
            NewsEnd::Reached => append_due(&view, &log, &stream).await,
            NewsEnd::Failed => sleep(IDLE_PAUSE).await,
        }
        told = tell_change(&view, &state, told);
    }
    let given_up = view.state.borrow_mut().give_up(Instant::now().into_std());
    if let Some((id, record)) = given_up {
        // If it is lost the lease runs out by itself.
        let _runs_out_else = log.append(&stream, &id, &record.to_data()).await;
    }
}

/// How far a read came.
enum NewsEnd {
    /// There may be more records.
    More,
    /// The stream's end was met.
    Reached,
    /// The log did not answer.
    Failed,
}

async fn read_news(view: &LeaseView, log: &LogClient, stream: &str) -> NewsEnd {
    let from = view.state.borrow().next();
    let Ok(page) = log.read(stream, from, PAGE, READ_WAIT).await else {
        return NewsEnd::Failed;
    };
    let now = Instant::now().into_std();
    let mut state = view.state.borrow_mut();
    for record in &page.records {
        state.apply(record.offset, record.time_ms, &record.id, &record.data, now);
    }
    match page.records.is_empty() {
        true => NewsEnd::Reached,
        false => NewsEnd::More,
    }
}

/// What became of the append shows when it is read.
async fn append_due(view: &LeaseView, log: &LogClient, stream: &str) {
    let now = Instant::now().into_std();
    let due = view.state.borrow_mut().due(view.rank.get(), view.config.get(), now);
    if let Some((id, record)) = due {
        let _shows_in_the_stream = log.append(stream, &id, &record.to_data()).await;
    }
}

/// Logs that the lease was taken or lost.
fn tell_change(
    view: &LeaseView,
    state: &RouterState,
    told: Option<FencingNumber>,
) -> Option<FencingNumber> {
    let fence = view.fence();
    if fence == told {
        return told;
    }
    let (kind, number) = match fence {
        Some(fence) => (EventKind::LeaseTaken, fence),
        None => (EventKind::LeaseLost, told.unwrap_or_default()),
    };
    let zone = &state.zone;
    tracing::info!(event = kind.number(), name = kind.name(), %zone, fence = %number);
    fence
}
