//! The control actor's side of the exchange with other routers.

use std::time::Duration;

use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use fulmargate_admission::SuspectVerdict;
use fulmargate_admission::VerdictStanding;
use fulmargate_config::RecordBatch;
use fulmargate_config::choose_role;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::ZoneName;
use fulmargate_peers::ItemRecord;
use fulmargate_peers::MemberState;
use fulmargate_peers::PeerHandle;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNews;
use fulmargate_peers::PeerQuestion;
use fulmargate_peers::WordTopic;
use fulmargate_placement::Planner;
use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::ControlActor;
use crate::control::payload_codec::decode_demand;
use crate::control::payload_codec::decode_plan;
use crate::control::payload_codec::decode_usage;
use crate::control::payload_codec::decode_verdict;
use crate::control::payload_codec::encode_demand;
use crate::control::payload_codec::encode_plan;
use crate::control::payload_codec::encode_usage;
use crate::control::payload_codec::encode_verdict;
use crate::control::payload_codec::verdict_part;
use crate::state::RouterPhase;

/// Hosts of each zone that read the log; all others get its records from them.
const READERS_PER_ZONE: usize = 2;
const USAGE_PERIOD: Duration = Duration::from_secs(1);
const DEMAND_PERIOD: Duration = Duration::from_secs(2);
const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which an unchanged plan is published again, for hosts that have just started.
const PLAN_REFRESH: Duration = Duration::from_secs(10);
/// Groups in a demand report.
const DEMAND_GROUPS: usize = 40;

/// What the control actor keeps for the exchange.
pub(crate) struct PeerExchange {
    pub(crate) handle: PeerHandle,
    makers: IndexMap<ModelName, Planner>,
    plans_published: Instant,
}

impl PeerExchange {
    pub(crate) fn new(handle: PeerHandle) -> PeerExchange {
        PeerExchange { handle, makers: IndexMap::new(), plans_published: Instant::now() }
    }
}

/// The exchange has news.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PeerEvent {
    pub(crate) news: PeerNews,
}

/// The table of suspects has changed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SuspectsChanged;

impl ControlActor {
    /// Starts the periodic reports.
    pub(crate) fn start_telling(&mut self, ctx: &mut Context<ControlActor>) {
        ctx.run_interval(USAGE_PERIOD, |actor, _ctx| actor.tell_usage());
        ctx.run_interval(DEMAND_PERIOD, |actor, _ctx| actor.tell_demand());
        ctx.run_interval(PLAN_PERIOD, |actor, _ctx| actor.make_plans());
    }

    fn tell_usage(&mut self) {
        let report = self.state.limiter.usage(Instant::now());
        self.put_word(WordTopic::TeamUse, 0, encode_usage(&report));
    }

    fn tell_demand(&mut self) {
        let now_ms = self.state.now_ms();
        let placers = self.routes.placers();
        let reports: Vec<(ModelName, fulmargate_placement::DemandReport)> = placers
            .map(|(model, placer)| (model.clone(), placer.demand(DEMAND_GROUPS, now_ms)))
            .collect();
        for (model, report) in reports {
            let host = self.state.host.clone();
            self.put_word(WordTopic::PrefixDemand, model_part(&model), encode_demand(&report));
            self.maker(&model).hear(&host, report, now_ms);
        }
    }

    /// Publishes plans if this is the first live host by name and it receives messages of more than
    /// half of all hosts. Two planners would send one prefix to different servers, which costs cache
    /// hits and breaks nothing: a plan only says where a prefix is likely cached.
    fn make_plans(&mut self) {
        if self.plan_maker_host().as_ref() != Some(&self.state.host) {
            return;
        }
        let Some(table) = self.state.routes.load_full() else {
            return;
        };
        let now_ms = self.state.now_ms();
        let hosts = self.known_hosts();
        let is_refresh = PLAN_REFRESH <= self.peers.plans_published.elapsed();
        let mut is_changed = false;
        for (model, route) in &table.models {
            let maker = self.maker(model);
            let next = maker.next(&route.view, hosts, now_ms);
            let plan = maker.plan().clone();
            let is_told = next.is_some() || (is_refresh && 0 < plan.version);
            if !is_told {
                continue;
            }
            self.put_word(WordTopic::SpreadPlan, model_part(model), encode_plan(&plan));
            if next.is_some() {
                self.routes.set_plan(model, plan);
                is_changed = true;
            }
        }
        if is_refresh {
            self.peers.plans_published = Instant::now();
        }
        if is_changed {
            self.publish();
        }
    }

    fn maker(&mut self, model: &ModelName) -> &mut Planner {
        let conf = self.routes.placement_conf();
        let makers = &mut self.peers.makers;
        makers.entry(model.clone()).or_insert_with(|| Planner::new(conf))
    }

    /// Hosts that have not left, in reach or not: a router that is cut off from the others must not
    /// take itself for the whole fleet and plan alone.
    fn known_hosts(&self) -> usize {
        let members = self.peers.handle.members();
        members.iter().filter(|member| member.state != MemberState::Left).count()
    }

    fn plan_maker_host(&self) -> Option<HostName> {
        let members = self.peers.handle.members();
        let live = members.into_iter().filter(|member| member.state == MemberState::Alive);
        live.map(|member| member.host).min()
    }

    fn put_word(&self, topic: WordTopic, part: u64, bytes: bytes::Bytes) {
        let host = self.state.host.clone();
        self.peers.handle.put(PeerItem::HostWord { topic, host, part, bytes });
    }

    /// Who reads the log and who shares team limits follows from the members.
    fn note_members(&mut self) {
        let members = self.peers.handle.members();
        let mut live: Vec<HostName> = Vec::new();
        let mut spots: Vec<(ZoneName, HostName)> = Vec::new();
        let mut known: Vec<HostName> = Vec::new();
        for member in &members {
            if member.state != MemberState::Left {
                known.push(member.host.clone());
            }
            if matches!(member.state, MemberState::Alive | MemberState::Suspected) {
                live.push(member.host.clone());
                spots.push((member.zone.clone(), member.host.clone()));
            }
        }
        live.sort_unstable();
        let own = self.state.host.clone();
        self.keeper.set_role(choose_role(&own, spots.into_iter(), READERS_PER_ZONE));
        self.state.limiter.set_routers(&known);
        self.state.suspects.set_routers(&self.state.host, &live);
    }

    /// Asks a peer for the records of the configuration that are missing here.
    fn fetch_config(&self, from: HostName) {
        let handle = self.peers.handle.clone();
        let keeper = self.keeper.clone();
        actix_rt::spawn(async move {
            let question = PeerQuestion::ConfigRecords { from_offset: keeper.wanted_offset() };
            let Ok(bytes) = handle.ask(&from, question).await else {
                return;
            };
            if let Some(batch) = RecordBatch::from_bytes(&bytes) {
                keeper.offer_records(batch);
            }
        });
    }

    fn take_record(&mut self, record: ItemRecord) {
        let now = Instant::now();
        let ttl_ms = record.item.kind().row().ttl_ms;
        let age = Duration::from_millis(ttl_ms.saturating_sub(record.remaining_ms));
        let told = now.checked_sub(age).unwrap_or(now);
        self.take_item(&record.origin, record.item, told);
    }

    /// Applies an item with the time of its publication. A delayed report must not count as new, or team
    /// limits would be shared by outdated usage.
    fn take_item(&mut self, origin: &HostName, item: PeerItem, told: Instant) {
        let now = Instant::now();
        match item {
            PeerItem::ServerLeaving { server, incarnation } => {
                let Some(route) = self.routes.server(&server).cloned() else { return };
                if self.note_leaving(&route, incarnation) {
                    self.publish();
                }
            }
            PeerItem::ServerSeen { server, incarnation } => {
                let Some(route) = self.routes.server(&server).cloned() else { return };
                if self.note_life(&route, incarnation) {
                    self.publish();
                }
            }
            PeerItem::HostWord { topic: WordTopic::TeamUse, bytes, .. } => {
                if let Some(report) = decode_usage(&bytes) {
                    self.state.limiter.peer_usage(origin, &report, told);
                }
            }
            PeerItem::HostWord { topic: WordTopic::Suspect, bytes, .. } => {
                if let Some(verdict) = decode_verdict(&bytes) {
                    self.state.suspects.merge_verdict(&verdict, origin, now);
                }
            }
            PeerItem::HostWord { topic: WordTopic::PrefixDemand, part, bytes, .. } => {
                self.take_demand(origin, part, &bytes);
            }
            PeerItem::HostWord { topic: WordTopic::SpreadPlan, part, bytes, .. } => {
                self.take_plan(origin, part, &bytes);
            }
            _ => {}
        }
    }

    fn take_demand(&mut self, origin: &HostName, part: u64, bytes: &[u8]) {
        let now_ms = self.state.now_ms();
        let (Some(model), Some(report)) = (self.model_of(part), decode_demand(bytes)) else {
            return;
        };
        self.maker(&model).hear(origin, report, now_ms);
    }

    fn take_plan(&mut self, origin: &HostName, part: u64, bytes: &[u8]) {
        let is_other_maker =
            self.plan_maker_host().as_ref() == Some(origin) && *origin != self.state.host;
        let (Some(model), Some(plan)) = (self.model_of(part), decode_plan(bytes)) else {
            return;
        };
        let maker = self.maker(&model);
        // A first host that has just started goes on from the plan that the others still hold,
        // also its own earlier one: a plan made from nothing would move every group at once.
        let is_wanted = is_other_maker || maker.plan().version == 0;
        if !is_wanted || *maker.plan() == plan {
            return;
        }
        maker.follow(plan.clone());
        self.routes.set_plan(&model, plan);
        self.publish();
    }

    fn model_of(&self, part: u64) -> Option<ModelName> {
        let mut placers = self.routes.placers();
        placers.find(|(model, _)| model_part(model) == part).map(|(model, _)| model.clone())
    }
}

impl Handler<PeerEvent> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: PeerEvent, _ctx: &mut Context<ControlActor>) {
        match message.news {
            PeerNews::Joined { from } => {
                self.note_members();
                self.fetch_config(from);
            }
            PeerNews::ConfigAhead { host, version } => {
                self.keeper.hear_version(version);
                self.fetch_config(host);
            }
            PeerNews::Member { .. } => self.note_members(),
            PeerNews::IncarnationOver { host, incarnation, .. } => {
                self.state.claims.claimer_gone(&host, incarnation);
            }
            PeerNews::Item { record } => self.take_record(record),
            PeerNews::Paused { .. } => self.keeper.note_pause(),
            PeerNews::Superseded { by } => {
                // The exchange is silent from here on; the balancer should send to the later process.
                self.state.phase.advance(RouterPhase::Leaving);
                tracing::error!(host = %self.state.host, %by, "another process runs under this host's name");
            }
        }
    }
}

impl Handler<SuspectsChanged> for ControlActor {
    type Result = ();

    fn handle(&mut self, _message: SuspectsChanged, _ctx: &mut Context<ControlActor>) {
        for verdict in self.state.suspects.take_changed_verdicts(Instant::now()) {
            log_verdict(&verdict);
            self.put_word(WordTopic::Suspect, verdict_part(&verdict), encode_verdict(&verdict));
        }
    }
}

fn log_verdict(verdict: &SuspectVerdict) {
    let kind = match verdict.standing {
        VerdictStanding::Innocent => return,
        VerdictStanding::Suspect => EventKind::RequestSuspected,
        VerdictStanding::Convicted => EventKind::RequestConvicted,
    };
    let (event, name) = (kind.number(), kind.name());
    let fingerprint = format!("{:032x}", verdict.fingerprint.0);
    let servers: Vec<&str> =
        verdict.crashes.iter().map(|sighting| sighting.crash.server.as_str()).collect();
    tracing::warn!(event, name, fingerprint, ?servers);
}

fn model_part(model: &ModelName) -> u64 {
    xxh3_64(model.as_str().as_bytes())
}
