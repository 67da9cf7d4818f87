//! Finds out where a stream began that a caller takes up.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use fulmargate_dispatch::BindingLookup;
use fulmargate_dispatch::SoleOrigin;
use fulmargate_dispatch::StreamKey;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::RequestId;
use fulmargate_names::ServiceName;
use fulmargate_names::SoftwareVersion;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::state::boot_now;
use crate::telemetry::count_taken_up;
use crate::traffic::request_decoder::DecodedRequest;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::stream_binding::ask_owners;

/// Longest wait for the records in the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// A stream that goes on at one origin only.
#[derive(Clone, Debug)]
pub(crate) struct BoundStream {
    pub(crate) origin: StreamOrigin,
    /// The attempt that has begun it, if the caller names one.
    pub(crate) first_attempt: Option<StreamKey>,
}

/// Where the origin of a stream was found.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum OriginSource {
    /// This host's own record, or one that it owns.
    #[display("own")]
    Own,
    /// A record of another host.
    #[display("owner")]
    Owner,
    /// A record in the store.
    #[display("store")]
    Store,
    /// The list of servers, which has one version.
    #[display("list")]
    List,
}

/// The origin of a stream.
#[derive(Clone, Copy, Debug)]
struct FoundOrigin {
    origin: StreamOrigin,
    source: OriginSource,
    /// Time since the host that was asked learned of it.
    age: Option<Duration>,
}

/// Why a stream is not taken up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum RefusalReason {
    #[display(
        "the attempt that began the stream is not known here, and its version may be one of several"
    )]
    Unknown,
    #[display("two streams have begun under the id of that attempt")]
    Contradictory,
    #[display("the caller names no attempt, and its version may be one of several")]
    Unnamed,
    #[display("the route leads to another service than the one that began the stream")]
    OtherService,
    #[display("no server of the version that began the stream is listed")]
    NoServer,
}

impl RefusalReason {
    fn kind(self) -> ErrorKind {
        match self {
            RefusalReason::Unknown | RefusalReason::Contradictory | RefusalReason::Unnamed => {
                ErrorKind::ResumeUnknown
            }
            RefusalReason::OtherService | RefusalReason::NoServer => ErrorKind::VersionGone,
        }
    }

    fn label(self) -> &'static str {
        match self {
            RefusalReason::Unknown => "unknown",
            RefusalReason::Contradictory => "contradictory",
            RefusalReason::Unnamed => "unnamed",
            RefusalReason::OtherService => "other_service",
            RefusalReason::NoServer => "no_server",
        }
    }
}

/// The origin at which a request has to go on with its stream; `None` for a request that takes up none. Fails if the
/// origin is not known, or none of its servers is left.
pub(crate) async fn resolve_origin(
    state: &Arc<SharedState>,
    decoded: &DecodedRequest,
) -> Result<Option<BoundStream>, RequestFailure> {
    let taken_up = &decoded.taken_up;
    let is_new = taken_up.last_event.is_none() && taken_up.first_attempt.is_none();
    if is_new || !decoded.facts.route.is_resumable() {
        return Ok(None);
    }
    let search = OriginSearch { state, decoded };
    let key = taken_up.first_attempt.as_ref().map(|attempt| search.key(attempt));
    let found = match key {
        Some(key) => search.find_named(key).await,
        None => search.find_unnamed(),
    };
    let checked = found.and_then(|found| search.check(found));
    search.log(&checked);
    match checked {
        Ok(found) => Ok(Some(BoundStream { origin: found.origin, first_attempt: key })),
        Err(reason) => {
            let time_left = decoded.facts.deadline.saturating_duration_since(Instant::now());
            Err(RequestFailure::new(reason.kind(), time_left).with_detail(reason.to_string()))
        }
    }
}

struct OriginSearch<'a> {
    state: &'a Arc<SharedState>,
    decoded: &'a DecodedRequest,
}

impl OriginSearch<'_> {
    fn key(&self, attempt: &RequestId) -> StreamKey {
        let facts = &self.decoded.facts;
        StreamKey::of(facts.team.as_ref(), &facts.route, attempt)
    }

    /// Looks in the records here, at the owners and in the store. One version of the service needs no record.
    async fn find_named(&self, key: StreamKey) -> Result<FoundOrigin, RefusalReason> {
        if let Some(found) = self.lookup(key, OriginSource::Own)? {
            return Ok(found);
        }
        if let Some((_, notice)) = ask_owners(self.state, key).await {
            self.state.bindings().merge(&notice, Instant::now());
            if let Some(found) = self.lookup(key, OriginSource::Owner)? {
                return Ok(found);
            }
        }
        if let Some(found) = self.sole_origin_proved() {
            return Ok(found);
        }
        self.state.read_stored_bindings(STORE_TIMEOUT).await;
        if let Some(found) = self.lookup(key, OriginSource::Store)? {
            return Ok(found);
        }
        // The records of the store show what this host could not know before it started.
        self.sole_origin_proved().ok_or(RefusalReason::Unknown)
    }

    /// A caller that names no attempt goes on where this host knows of one version only.
    fn find_unnamed(&self) -> Result<FoundOrigin, RefusalReason> {
        let service = self.decoded.facts.service().ok_or(RefusalReason::OtherService)?;
        match self.sole_origin(&service) {
            SoleOrigin::Proved(origin) | SoleOrigin::OnlyKnown(origin) => Ok(of_list(origin)),
            SoleOrigin::Ambiguous => Err(RefusalReason::Unnamed),
        }
    }

    fn lookup(
        &self,
        key: StreamKey,
        source: OriginSource,
    ) -> Result<Option<FoundOrigin>, RefusalReason> {
        match self.state.bindings().lookup(key, Instant::now()) {
            BindingLookup::Bound { origin, age } => {
                Ok(Some(FoundOrigin { origin, source, age: Some(age) }))
            }
            BindingLookup::Contradictory => Err(RefusalReason::Contradictory),
            BindingLookup::Unknown => Ok(None),
        }
    }

    fn sole_origin_proved(&self) -> Option<FoundOrigin> {
        let route = &self.decoded.facts.route;
        // Hosts of an earlier version begin streams at a new version at once.
        if self.state.servers().has_unbinding_peers(Instant::now()) {
            return None;
        }
        if self.state.route_history().is_ambiguous(route, boot_now()) {
            return None;
        }
        let service = &route.services.first()?.service;
        match self.sole_origin(service) {
            SoleOrigin::Proved(origin) => Some(of_list(origin)),
            SoleOrigin::OnlyKnown(_) | SoleOrigin::Ambiguous => None,
        }
    }

    fn sole_origin(&self, service: &ServiceName) -> SoleOrigin {
        let now = boot_now();
        let waited = self.decoded.facts.arrived.elapsed();
        let arrived = now.before(waited);
        self.state.versions().sole_origin(service, arrived, now)
    }

    /// The newest configuration and list have to allow the origin.
    fn check(&self, found: FoundOrigin) -> Result<FoundOrigin, RefusalReason> {
        let services = &self.decoded.facts.route.services;
        if !services.iter().any(|share| found.origin.is_of(&share.service)) {
            return Err(RefusalReason::OtherService);
        }
        if !self.state.servers().has_origin(found.origin) {
            return Err(RefusalReason::NoServer);
        }
        Ok(found)
    }

    fn log(&self, checked: &Result<FoundOrigin, RefusalReason>) {
        let outcome = checked.as_ref().map_or_else(|reason| reason.label(), |_| "goes_on");
        let source = checked.as_ref().ok().map(|found| found.source.to_string());
        count_taken_up(outcome, source.as_deref().unwrap_or("none"));
        let kind = EventKind::StreamTakenUp;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        let now = boot_now();
        let taken_up = &self.decoded.taken_up;
        let found = checked.as_ref().ok();
        let version = found.and_then(|found| self.state.servers().version_of(found.origin));
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.decoded.facts.id,
            resumes = taken_up.first_attempt.as_ref().map(RequestId::as_str),
            last_event = taken_up.last_event,
            outcome,
            source,
            version = version.as_ref().map(SoftwareVersion::as_str),
            age_ms = found.and_then(|found| found.age).map(|age| age.as_millis() as u64),
            list_age_ms = self.state.versions().list_age(now).map(|age| age.as_millis() as u64),
            waited_ms = self.decoded.facts.arrived.elapsed().as_millis() as u64,
        );
    }
}

fn of_list(origin: StreamOrigin) -> FoundOrigin {
    FoundOrigin { origin, source: OriginSource::List, age: None }
}
