//! Test fixture: a small fleet and one router.

#![allow(dead_code)]

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use fulmargate_placement::Choice;
use fulmargate_placement::ClassWeights;
use fulmargate_placement::FleetServer;
use fulmargate_placement::FleetView;
use fulmargate_placement::MeterRegistry;
use fulmargate_placement::OpenRequest;
use fulmargate_placement::PlacementConf;
use fulmargate_placement::PlacementRequest;
use fulmargate_placement::Placer;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::PromptChain;
use fulmargate_placement::PromptScope;
use fulmargate_placement::ReplyStats;
use fulmargate_placement::ServerId;

pub(crate) const URGENT: ClassWeights = ClassWeights { priority: 0, ttft: 1.0, recompute: 0.1 };
pub(crate) const BATCH: ClassWeights = ClassWeights { priority: 2, ttft: 0.1, recompute: 1.0 };

/// A router with servers named `server0`, `server1` and so on.
pub(crate) struct TestRouter {
    pub(crate) placer: Placer,
    pub(crate) meters: MeterRegistry,
    pub(crate) view: FleetView,
    pub(crate) conf: PlacementConf,
    pub(crate) policy: PolicyKind,
    pub(crate) weights: ClassWeights,
    pub(crate) excluded: Vec<ServerId>,
}

impl TestRouter {
    pub(crate) fn new(servers: usize) -> TestRouter {
        TestRouter::with_conf(servers, PlacementConf::default())
    }

    pub(crate) fn with_conf(servers: usize, conf: PlacementConf) -> TestRouter {
        let mut meters = MeterRegistry::new(&conf);
        let view = view(&conf, &mut meters, &vec![1; servers]);
        let placer = Placer::new(conf.clone());
        let (policy, weights, excluded) = (PolicyKind::Cost, URGENT, Vec::new());
        TestRouter { placer, meters, view, conf, policy, weights, excluded }
    }

    /// Sets the server incarnations; 0 removes a server from the view.
    pub(crate) fn set_incarnations(&mut self, incarnations: &[u64]) {
        self.view = view(&self.conf, &mut self.meters, incarnations);
    }

    pub(crate) fn choose(&self, chain: &PromptChain, now_ms: u64) -> Choice {
        let (policy, weights, excluded) = (self.policy, self.weights, &self.excluded[..]);
        let request = PlacementRequest { policy, weights, excluded, now_ms };
        self.placer.choose(&self.view, chain, &request).expect("a usable server")
    }

    pub(crate) fn begin(&self, choice: &Choice, chain: &PromptChain, now_ms: u64) -> OpenRequest {
        self.placer.begin(choice, chain, self.weights, now_ms)
    }

    /// Sends a request to the selected server, which replies at once.
    pub(crate) fn serve(&self, chain: &PromptChain, now_ms: u64) -> Choice {
        let choice = self.choose(chain, now_ms);
        let mut open = self.begin(&choice, chain, now_ms);
        self.placer.first_token(&mut open, &reply(&choice, chain), now_ms);
        choice
    }
}

/// A reply with the whole prompt cached except its last block.
pub(crate) fn reply(choice: &Choice, chain: &PromptChain) -> ReplyStats {
    ReplyStats {
        incarnation: choice.server.meter.incarnation(),
        prompt_tokens: chain.tokens(),
        cached_tokens: chain.tokens().saturating_sub(16),
        queue_tokens: 0,
        running: 1,
        ttft_ms: 1.0,
    }
}

fn view(conf: &PlacementConf, meters: &mut MeterRegistry, incarnations: &[u64]) -> FleetView {
    let incarnations = incarnations.iter().enumerate().filter(|(_, incarnation)| 0 < **incarnation);
    let server = |(number, incarnation): (usize, &u64)| {
        let meter = meters.meter(&server_name(number), Incarnation(*incarnation));
        FleetServer { zone: ZoneName::new("north"), zone_ms: 1.0, meter }
    };
    FleetView::new(conf, incarnations.map(server).collect())
}

pub(crate) fn server_name(number: usize) -> ServerName {
    ServerName::new(&format!("server{number}"))
}

/// A prompt of three shared levels and a question.
pub(crate) fn prompt(team: usize, service: usize, record: usize, question: usize) -> PromptChain {
    let scope = PromptScope::from_text(format!("team{team}/m/"), WeightsVersion(1));
    let level = |name: String, tokens: usize| {
        let mut text = name.repeat(tokens * 4 / name.len() + 1);
        text.truncate(tokens * 4);
        text
    };
    let tenant = level(format!("t{team}"), 512);
    let service = level(format!("s{service}"), 1024);
    let record = level(format!("r{record}"), 1536);
    PromptChain::new(&scope, &[&tenant, &service, &record, &format!("question {question}")])
}

pub(crate) fn name_of(choice: &Choice) -> String {
    choice.server.name().as_str().to_owned()
}
