//! Who is held to be there, under failures, on the core alone.

mod support;

use fulmargate_names::ConfigVersion;
use fulmargate_names::Incarnation;
use fulmargate_peers::CoreOutput;
use fulmargate_peers::MemberState;
use fulmargate_peers::OverCause;
use fulmargate_peers::PeerNews;
use fulmargate_peers::wire::PeerFrame;
use fulmargate_peers::wire::PeerMessage;
use fulmargate_peers::wire::PeerRecord;
use support::HeldFrames;
use support::SimNet;

/// A fleet, what befalls it, and what has to hold within a time of its virtual clock.
struct FleetCase {
    name: &'static str,
    hosts: usize,
    zones: usize,
    befalls: fn(&mut SimNet),
    holds: fn(&SimNet) -> bool,
    within_ms: u64,
}

impl FleetCase {
    fn check(&self) {
        for seed in 1..=3 {
            let mut net = SimNet::new(self.hosts, self.zones, seed);
            assert!(
                net.run_until(15_000, SimNet::all_alive).is_some(),
                "{}: start, seed {seed}",
                self.name
            );
            (self.befalls)(&mut net);
            let took = net.run_until(self.within_ms, self.holds);
            assert!(took.is_some(), "{}: seed {seed}", self.name);
        }
    }
}

const FLEET_CASES: [FleetCase; 12] = [
    FleetCase {
        name: "two hosts start at once",
        hosts: 2,
        zones: 1,
        befalls: |_| {},
        holds: SimNet::all_alive,
        within_ms: 0,
    },
    FleetCase {
        name: "a host is killed",
        hosts: 6,
        zones: 3,
        befalls: |net| net.kill(0),
        holds: |net| net.all_hold(0, MemberState::Gone),
        within_ms: 15_000,
    },
    FleetCase {
        name: "a host restarts before it is missed",
        hosts: 6,
        zones: 3,
        befalls: |net| {
            net.kill(4);
            net.run(300);
            net.restart(4);
        },
        holds: SimNet::all_alive,
        within_ms: 5_000,
    },
    FleetCase {
        name: "a host restarts after it was found gone",
        hosts: 24,
        zones: 3,
        befalls: |net| {
            net.kill(4);
            net.run(30_000);
            net.restart(4);
        },
        holds: SimNet::all_alive,
        within_ms: 5_000,
    },
    FleetCase {
        name: "a zone is lost",
        hosts: 24,
        zones: 3,
        befalls: |net| net.zone("zone-1").into_iter().for_each(|index| net.kill(index)),
        holds: |net| {
            net.zone("zone-1").into_iter().all(|index| net.all_hold(index, MemberState::Gone))
        },
        within_ms: 40_000,
    },
    FleetCase {
        name: "all restart at once, the seeds too",
        hosts: 24,
        zones: 3,
        befalls: |net| (0..24).for_each(|index| net.restart(index)),
        holds: SimNet::all_alive,
        within_ms: 10_000,
    },
    FleetCase {
        name: "all restart at once, a tenth of the frames lost",
        hosts: 24,
        zones: 3,
        befalls: |net| {
            net.loss = 0.1;
            (0..24).for_each(|index| net.restart(index));
            net.run(5_000);
            net.loss = 0.0;
        },
        holds: SimNet::all_alive,
        within_ms: 15_000,
    },
    FleetCase {
        name: "all restart in a herd while the seeds stay down",
        hosts: 9,
        zones: 3,
        befalls: |net| {
            (0..3).for_each(|index| net.kill(index));
            net.run(30_000);
            (3..8).for_each(|index| net.restart(index));
        },
        holds: SimNet::all_alive,
        within_ms: 30_000,
    },
    FleetCase {
        name: "a cut ends after all seeds were lost",
        hosts: 9,
        zones: 3,
        befalls: |net| {
            let (inside, outside) =
                (net.zone("zone-0"), [net.zone("zone-1"), net.zone("zone-2")].concat());
            net.cut_both(&inside, &outside);
            (0..3).for_each(|index| net.kill(index));
            net.run(60_000);
            net.heal();
        },
        holds: SimNet::all_alive,
        within_ms: 10_000,
    },
    FleetCase {
        name: "two parts that started apart meet",
        hosts: 6,
        zones: 3,
        befalls: |net| {
            let (inside, outside) =
                (net.zone("zone-0"), [net.zone("zone-1"), net.zone("zone-2")].concat());
            net.cut_both(&inside, &outside);
            (0..6).for_each(|index| net.restart(index));
            net.run(60_000);
            net.heal();
        },
        holds: SimNet::all_alive,
        within_ms: 10_000,
    },
    FleetCase {
        name: "a planned stop",
        hosts: 24,
        zones: 3,
        befalls: |net| {
            net.leave(7);
            net.run(50);
            net.kill(7);
        },
        holds: |net| net.all_hold(7, MemberState::Left),
        within_ms: 3_000,
    },
    FleetCase {
        name: "a start after a planned stop",
        hosts: 6,
        zones: 3,
        befalls: |net| {
            net.leave(2);
            net.run(5_000);
            net.restart(2);
        },
        holds: SimNet::all_alive,
        within_ms: 5_000,
    },
];

#[test]
fn fleets_settle() {
    FLEET_CASES.iter().for_each(FleetCase::check);
}

/// A host is frozen and replaced by a new process under its name. Then the old one wakes. It must
/// learn that it is superseded, fall silent, and not push the new one out.
#[test]
fn an_old_process_that_wakes_gives_way_to_the_new_one() {
    for seed in 1..=3 {
        let mut net = SimNet::new(6, 3, seed);
        net.run(10_000);
        net.freeze(4);
        net.run(30_000);
        let twin = net.start_twin(4);
        net.run(10_000);
        let (old, new) = (net.nodes[4].conf.incarnation, net.nodes[twin].conf.incarnation);
        let replaced = PeerNews::IncarnationOver {
            host: net.nodes[4].conf.host.clone(),
            incarnation: old,
            cause: OverCause::Replaced,
        };
        assert!(
            (0..4).all(|holder| net.heard(holder, |news| *news == replaced) == 1),
            "seed {seed}"
        );
        net.clear_news();
        net.thaw(4, HeldFrames::Delivered);
        net.run(30_000);
        assert_eq!(
            net.heard(4, |news| *news == PeerNews::Superseded { by: new }),
            1,
            "seed {seed}"
        );
        for holder in [0, 1, 2, 3, 5] {
            let held = net.nodes[holder].core.member(&net.nodes[4].conf.host).expect("it is known");
            assert_eq!((held.incarnation, held.state), (new, MemberState::Alive), "seed {seed}");
            assert_eq!(net.told_states(holder), [], "host {holder}, seed {seed}");
        }
    }
}

/// A host is gone for good. Each other one forgets it six hours later, not all at the same moment. One
/// that still holds it hands it to one that has forgotten it, by comparing: unless ages travel with
/// records, it would be handed around for ever.
#[test]
fn a_host_that_is_gone_for_good_is_forgotten() {
    const HOURS: u64 = 3_600_000;
    let mut net = SimNet::new(4, 2, 1);
    net.run(10_000);
    net.kill(3);
    net.run(6 * HOURS - 60_000);
    assert!(net.all_hold(3, MemberState::Gone));
    net.run(3 * 60_000);
    let forgotten = |net: &SimNet| (0..3).all(|holder| net.state(holder, 3).is_none());
    assert!(forgotten(&net));
    net.run(60_000);
    assert!(forgotten(&net));
}

/// A process is started with a lower number than an earlier one of its host, after a clock was set
/// back. The others keep to the higher number; the process hears that it must not go on.
#[test]
fn a_lower_incarnation_is_told_so() {
    let mut net = SimNet::new(6, 3, 1);
    net.run(10_000);
    let earlier = net.nodes[1].conf.incarnation;
    net.nodes[1].conf.incarnation = Incarnation(earlier.0 - 5_000);
    net.restart(1);
    net.run(5_000);
    assert_eq!(net.heard(1, |news| *news == PeerNews::Superseded { by: earlier }), 1);
}

/// A host has restarted. A frame that was long on its way tells of its earlier process, with a high
/// heartbeat, and even that this one is gone. Neither may touch what is held of the later process.
#[test]
fn late_news_of_an_earlier_process_changes_nothing() {
    let mut net = SimNet::new(3, 1, 1);
    net.run(10_000);
    let mut earlier = net.nodes[2].core.own().clone();
    net.restart(2);
    net.run(5_000);
    let later = net.nodes[2].conf.incarnation;
    let teller = net.nodes[1].core.own().clone();
    for state in [MemberState::Alive, MemberState::Gone, MemberState::Left] {
        earlier.heartbeat += 50;
        earlier.state = state;
        let records = vec![PeerRecord::Member(earlier.clone())];
        let frame =
            PeerFrame { in_force: ConfigVersion(0), message: PeerMessage::Update { records } };
        let now_ms = net.now_ms;
        net.nodes[0].core.receive(&teller, frame, now_ms);
        let held = net.nodes[0].core.member(&earlier.host).expect("it is known");
        assert_eq!((held.incarnation, held.state), (later, MemberState::Alive), "{state:?}");
    }
}

/// A host is killed and another one gets its address, as a platform hands out addresses anew. Probes of
/// the dead host are now answered, by the other. Taken for its own answers they would keep it alive.
#[test]
fn a_host_is_gone_though_another_answers_at_its_address() {
    for seed in 1..=3 {
        let mut net = SimNet::new(6, 3, seed);
        net.run(10_000);
        net.kill(4);
        let former = net.take_address(4, "entry-host-new");
        let is_gone = |net: &SimNet| {
            let held = net.nodes.iter().map(|node| node.core.member(&former));
            held.into_iter().all(|held| held.is_some_and(|held| held.state == MemberState::Gone))
        };
        assert!(net.run_until(30_000, is_gone).is_some(), "seed {seed}");
        assert!(net.all_alive(), "seed {seed}");
    }
}

/// A host has missed the news that another died, and by now all others hold that one to be gone: nobody
/// probes it any more, and its turn here may be far. When the host hears of it by comparing, it must ask
/// the dead one itself, soon, and come to its own conclusion.
#[test]
fn a_host_that_is_said_to_be_gone_is_asked() {
    for said in [0, 1] {
        let mut net = SimNet::new(96, 1, 3);
        net.run(20_000);
        let mut gone = net.nodes[50].core.own().clone();
        let teller = net.nodes[1].core.own().clone();
        gone.state = MemberState::Gone;
        net.nodes[0].core.take_outputs();
        let records = vec![PeerRecord::Member(gone.clone()); said];
        let frame =
            PeerFrame { in_force: ConfigVersion(0), message: PeerMessage::Update { records } };
        let mut asked = 0;
        let mut told = 0;
        let now_ms = net.now_ms;
        let core = &mut net.nodes[0].core;
        core.receive(&teller, frame, now_ms);
        assert_eq!(core.member(&gone.host).map(|held| held.state), Some(MemberState::Alive));
        for tick in 1..=6 {
            core.tick(now_ms + tick * 200);
            for output in core.take_outputs() {
                let CoreOutput::Send { to, frame } = output else { continue };
                let is_to_it = to == gone.address;
                asked +=
                    usize::from(is_to_it && matches!(frame.message, PeerMessage::Probe { .. }));
                told +=
                    usize::from(is_to_it && matches!(frame.message, PeerMessage::Update { .. }));
            }
        }
        assert_eq!((asked, told > 0), (said, said == 1));
    }
}
