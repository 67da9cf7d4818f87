//! Server selection and its reasons.

mod support;

use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_placement::ChoiceReason;
use fulmargate_placement::FleetServer;
use fulmargate_placement::FleetView;
use fulmargate_placement::ImportConf;
use fulmargate_placement::KvSource;
use fulmargate_placement::PlacementConf;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::PrefixSpread;
use fulmargate_placement::ServerShare;
use fulmargate_placement::ServerStanding;
use fulmargate_placement::SpreadPlan;
use fulmargate_placement::StoreUse;
use support::BATCH;
use support::TestRouter;
use support::name_of;
use support::prompt;
use support::reply;
use support::server_name;

const PROMPTS: usize = 300;

fn owners(router: &TestRouter) -> Vec<String> {
    (0..PROMPTS).map(|record| name_of(&router.choose(&prompt(0, 0, record, 0), 0))).collect()
}

/// Owners must not depend on router state, so that a restarted router can serve at once.
#[test]
fn a_restarted_router_chooses_the_same_servers() {
    let (warm, restarted) = (TestRouter::new(12), TestRouter::new(12));
    for request in 0..3_000 {
        warm.serve(&prompt(request % 7, request % 3, request % PROMPTS, request), request as u64);
    }
    let owners = (0..PROMPTS).map(|record| prompt(record % 7, record % 3, record, 1));
    let same = owners.filter(|chain| {
        name_of(&warm.choose(chain, 3_000)) == name_of(&restarted.choose(chain, 3_000))
    });
    assert_eq!(same.count(), PROMPTS);
}

/// Prompts of a removed server must spread over the others, and no other prompt may move.
#[test]
fn removing_a_server_moves_only_its_own_prompts() {
    let mut router = TestRouter::new(12);
    let before = owners(&router);
    let mut incarnations = [1; 12];
    incarnations[3] = 0;
    router.set_incarnations(&incarnations);
    let after = owners(&router);
    let mut new_owners: Vec<&String> = Vec::new();
    for (old, new) in before.iter().zip(&after) {
        match old.as_str() {
            "server3" => new_owners.push(new),
            _ => assert_eq!(old, new),
        }
    }
    new_owners.sort_unstable();
    new_owners.dedup();
    assert!(4 <= new_owners.len(), "{new_owners:?}");
}

#[test]
fn a_planned_group_is_split_by_its_shares() {
    let mut router = TestRouter::new(12);
    let group = prompt(0, 0, 0, 0).group().expect("prompt has a group").hash;
    let share = |server, share| ServerShare { server: server_name(server), share };
    let shares = vec![share(2, 0.75), share(7, 0.25)];
    let spreads = vec![PrefixSpread { group, shares }];
    let plan = SpreadPlan { version: 1, spreads };
    router.view = router.view.with_plan(&plan);
    let count =
        |router: &TestRouter, name| owners(router).iter().filter(|owner| *owner == name).count();
    assert_eq!(count(&router, "server2") + count(&router, "server7"), PROMPTS);
    assert!((50..=100).contains(&count(&router, "server7")), "{}", count(&router, "server7"));
    router.set_incarnations(&[1, 1, 1, 1, 1, 1, 1, 0, 1, 1, 1, 1]);
    router.view = router.view.with_plan(&plan);
    assert_eq!(count(&router, "server2"), PROMPTS);
}

struct PolicyCase {
    policy: PolicyKind,
    /// Servers used by five concurrent requests for one prefix, out of three servers.
    servers: usize,
    reason: ChoiceReason,
}

const POLICY_CASES: &[PolicyCase] = &[
    PolicyCase { policy: PolicyKind::Cost, servers: 1, reason: ChoiceReason::Owner },
    PolicyCase { policy: PolicyKind::RoundRobin, servers: 3, reason: ChoiceReason::RoundRobin },
    PolicyCase { policy: PolicyKind::LeastLoad, servers: 3, reason: ChoiceReason::LeastLoad },
    PolicyCase { policy: PolicyKind::PrefixHash, servers: 1, reason: ChoiceReason::PrefixHash },
];

#[test]
fn each_policy_selects_servers_and_counts_its_reason() {
    for case in POLICY_CASES {
        let mut router = TestRouter::new(3);
        router.policy = case.policy;
        let mut open = Vec::new();
        let mut names = Vec::new();
        for question in 0..5 {
            let chain = prompt(0, 0, 0, question);
            let choice = router.choose(&chain, 0);
            open.push(router.begin(&choice, &chain, 0));
            names.push(name_of(&choice));
        }
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), case.servers, "{:?}", case.policy);
        assert_eq!(router.placer.reasons().count(case.reason), 5, "{:?}", case.policy);
        assert_eq!(case.policy.name().parse(), Ok(case.policy));
    }
    assert!("fastest".parse::<PolicyKind>().is_err());
}

/// Every policy must skip disabled servers and servers excluded by the request.
#[test]
fn disabled_and_excluded_servers_are_not_chosen() {
    for policy in PolicyKind::ALL {
        let mut router = TestRouter::new(4);
        router.policy = policy;
        let chain = prompt(0, 0, 0, 0);
        let owner = router.choose(&chain, 0);
        owner.server.meter.set_standing(ServerStanding::OutOfUse);
        let second = router.choose(&chain, 0);
        assert_ne!(name_of(&owner), name_of(&second), "{policy:?}");
        router.excluded.push(second.server.meter.id());
        for _ in 0..8 {
            let third = name_of(&router.choose(&chain, 0));
            assert!(third != name_of(&owner) && third != name_of(&second), "{policy:?}");
        }
    }
}

/// A frozen server's last report shows no load, so load alone would keep selecting it.
#[test]
fn a_stalled_server_is_not_chosen_until_it_replies() {
    let router = TestRouter::new(4);
    let chain = prompt(0, 0, 0, 0);
    let owner = router.serve(&chain, 0);
    let mut open = router.begin(&owner, &chain, 10);
    assert_eq!(name_of(&router.choose(&chain, 400)), name_of(&owner));
    let other = router.choose(&chain, 5_000);
    assert_ne!(name_of(&other), name_of(&owner));
    assert_eq!(other.reason, ChoiceReason::Fallback);
    router.placer.first_token(&mut open, &reply(&owner, &chain), 5_100);
    assert_eq!(name_of(&router.choose(&chain, 5_200)), name_of(&owner));
}

/// Unlimited detours would recompute prompts on servers that become overloaded in turn.
#[test]
fn detours_are_limited_to_a_fraction_of_uncached_tokens() {
    let router = TestRouter::new(12);
    let chain = prompt(0, 0, 0, 0);
    let owner = router.choose(&chain, 0);
    let mut slow = reply(&owner, &chain);
    slow.ttft_ms = 2_000.0;
    let mut uncached = 0;
    let mut detoured = 0;
    for question in 0..2_000 {
        let other = prompt(1, question % 3, question, 0);
        let mut background = router.begin(&owner, &other, question as u64);
        router.placer.first_token(&mut background, &slow, question as u64);
        let chain = prompt(0, 0, 0, question);
        let choice = router.choose(&chain, question as u64);
        uncached += other.tokens().saturating_sub(owner.predicted_cached);
        if choice.reason == ChoiceReason::Detour {
            detoured += chain.anchor().expect("prompt has an anchor").tokens;
        }
    }
    assert!(0 < detoured);
    assert!(f64::from(detoured) <= 0.2 * f64::from(uncached) + 30_000.0, "{detoured} {uncached}");
}

/// The class weights decide between waiting and recomputing.
#[test]
fn batch_requests_wait_at_home_where_urgent_ones_detour() {
    for (weights, expected) in
        [(support::URGENT, ChoiceReason::Detour), (BATCH, ChoiceReason::Owner)]
    {
        let mut router = TestRouter::new(12);
        router.weights = weights;
        let chain = prompt(0, 0, 0, 0);
        let owner = router.choose(&chain, 0);
        let mut slow = reply(&owner, &chain);
        slow.ttft_ms = 2_000.0;
        for now_ms in 0..500 {
            let other = prompt(1, 0, now_ms as usize, 0);
            let mut open = router.begin(&owner, &other, now_ms);
            router.placer.first_token(&mut open, &slow, now_ms);
        }
        assert_eq!(router.choose(&chain, 500).reason, expected);
    }
}

/// A prefix with a large share of the requests is spread over the servers of its group, and returns
/// to one server when demand moves on.
#[test]
fn a_hot_prefix_is_replicated_only_while_it_is_hot() {
    let mut router = TestRouter::new(12);
    let group = prompt(0, 0, 0, 0).group().expect("prompt has a group").hash;
    let shares: Vec<ServerShare> =
        (0..4).map(|server| ServerShare { server: server_name(server), share: 0.25 }).collect();
    let spreads = vec![PrefixSpread { group, shares }];
    router.view = router.view.with_plan(&SpreadPlan { version: 1, spreads });
    let servers = |router: &TestRouter, now_ms: u64| {
        let chains = (0..40).map(|question| prompt(0, 0, 0, question));
        let mut names: Vec<String> =
            chains.map(|chain| name_of(&router.choose(&chain, now_ms))).collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    };
    assert_eq!(servers(&router, 0), 1);
    for question in 0..200 {
        router.serve(&prompt(0, 0, 0, question), question as u64);
    }
    assert!(3 <= servers(&router, 200));
    for question in 0..2_000 {
        router.serve(&prompt(1, question % 5, question, 0), 60_000 + question as u64);
    }
    assert_eq!(servers(&router, 62_000), 1);
}

/// Blocks missing on the selected server are imported from a hinted server, or else from the store.
#[test]
fn missing_blocks_are_imported_from_the_best_source() {
    let import = ImportConf { ask_ms: 2.0, tokens_per_ms: 400.0, store: StoreUse::Ask };
    let conf = PlacementConf { import: Some(import), ..PlacementConf::default() };
    let mut router = TestRouter::with_conf(4, conf);
    let chain = prompt(0, 0, 0, 0);
    let first = router.serve(&chain, 0);
    assert_eq!(first.kv_source, Some(KvSource::Store));
    assert_eq!(router.choose(&chain, 10).kv_source, None, "owner has the blocks");
    router.excluded.push(first.server.meter.id());
    let source = router.choose(&chain, 10).kv_source;
    assert_eq!(source, Some(KvSource::Server(first.server.name().clone())));
    assert_eq!(source.expect("import source").as_str(), name_of(&first));
    assert_eq!(KvSource::Store.as_str(), "kv-store");
}

/// Far servers are selected only while no near one is usable. Also covers an empty view.
#[test]
fn far_zones_are_used_only_without_usable_near_servers() {
    let mut router = TestRouter::new(2);
    let far = FleetServer {
        zone: "south".into(),
        zone_ms: 40.0,
        meter: router.meters.meter(&"distant".into(), Incarnation(1)),
    };
    let mut servers: Vec<FleetServer> =
        router.view.servers().map(|server| (**server).clone()).collect();
    servers.push(far);
    router.view = FleetView::new(&router.conf, servers);
    let chain = prompt(0, 0, 0, 0);
    assert_ne!(name_of(&router.choose(&chain, 0)), "distant");
    for server in router.view.servers().filter(|server| server.zone_ms < 40.0) {
        server.meter.set_standing(ServerStanding::OutOfUse);
    }
    let choice = router.choose(&chain, 0);
    assert_eq!((name_of(&choice).as_str(), choice.reason), ("distant", ChoiceReason::FarZone));
    assert_eq!(router.choose(&chain, 0).server.name(), &"distant".into());
    let view = FleetView::new(&router.conf, Vec::new());
    assert!(view.preferred(PromptHash(1), 3).is_empty());
}
