//! What is believed of caches, and when it stops.

mod support;

use std::thread;

use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_placement::CacheEvent;
use fulmargate_placement::CacheEventKind;
use fulmargate_placement::CacheEvents;
use fulmargate_placement::EventBreak;
use fulmargate_placement::EventPage;
use fulmargate_placement::ReplyVerdict;
use support::TestRouter;
use support::prompt;
use support::reply;

fn event(seq: u64, kind: CacheEventKind) -> CacheEvent {
    CacheEvent { seq, kind, hash: PromptHash(seq) }
}

struct PageCase {
    name: &'static str,
    incarnation: u64,
    seqs: &'static [u64],
    next: u64,
    broken: EventBreak,
    told: &'static [u64],
    then: u64,
}

/// Pages as they come, one after the other.
const PAGES: &[PageCase] = &[
    PageCase {
        name: "first",
        incarnation: 1,
        seqs: &[0, 1, 2],
        next: 3,
        broken: EventBreak::None,
        told: &[0, 1, 2],
        then: 3,
    },
    PageCase {
        name: "twice",
        incarnation: 1,
        seqs: &[1, 2, 3],
        next: 4,
        broken: EventBreak::None,
        told: &[3],
        then: 4,
    },
    PageCase {
        name: "gap in the middle",
        incarnation: 1,
        seqs: &[4, 5, 8, 9],
        next: 10,
        broken: EventBreak::Gap,
        told: &[8, 9],
        then: 10,
    },
    PageCase {
        name: "gap at the end",
        incarnation: 1,
        seqs: &[10],
        next: 14,
        broken: EventBreak::Gap,
        told: &[],
        then: 14,
    },
    PageCase {
        name: "new life",
        incarnation: 2,
        seqs: &[0],
        next: 1,
        broken: EventBreak::NewLife,
        told: &[0],
        then: 1,
    },
    PageCase {
        name: "late page of the old life",
        incarnation: 1,
        seqs: &[14, 15],
        next: 16,
        broken: EventBreak::LateLife,
        told: &[],
        then: 1,
    },
    PageCase {
        name: "nothing new",
        incarnation: 2,
        seqs: &[],
        next: 1,
        broken: EventBreak::None,
        told: &[],
        then: 1,
    },
];

#[test]
fn pages_of_events_fold_to_news() {
    let mut reader = CacheEvents::new(Incarnation(1));
    for case in PAGES {
        let events = case.seqs.iter().map(|seq| event(*seq, CacheEventKind::Stored)).collect();
        let incarnation = Incarnation(case.incarnation);
        let news = reader.apply(&EventPage { incarnation, next: case.next, events });
        let told: Vec<u64> = news.events.iter().map(|event| event.seq).collect();
        assert_eq!((news.broken, &told[..]), (case.broken, case.told), "{}", case.name);
        assert_eq!(reader.next(), case.then, "{}", case.name);
    }
}

/// Whether the router believes that a server has the prompt of team 0.
fn believes(router: &TestRouter, now_ms: u64) -> bool {
    !router.placer.hot_hints(&router.view, 1, now_ms).is_empty()
        && router.choose(&prompt(0, 0, 0, 9), now_ms).predicted_cached > 2_500
}

/// An engine crashes and comes back empty. What was believed of its cache is void, and events of
/// its old life that come late do not revive it: a request would be sent there for nothing.
#[test]
fn a_new_incarnation_starts_without_beliefs() {
    let mut router = TestRouter::new(1);
    let chain = prompt(0, 0, 0, 0);
    let old = router.serve(&chain, 0).server.meter.clone();
    for _ in 0..5 {
        router.serve(&chain, 0);
    }
    assert!(believes(&router, 100));
    router.renew(&[2]);
    assert!(!believes(&router, 100));
    let mut reader = CacheEvents::new(Incarnation(2));
    let hash = chain.anchor().expect("an anchor").hash;
    let events = vec![CacheEvent { seq: 0, kind: CacheEventKind::Stored, hash }];
    let page = EventPage { incarnation: Incarnation(1), next: 1, events };
    let late = reader.apply(&page);
    let slow_reader = CacheEvents::new(Incarnation(1)).apply(&page);
    let new = router.view.server(old.name()).expect("the server").meter.clone();
    router.placer.learn_events(&new, &late, 150);
    router.placer.learn_events(&old, &late, 150);
    router.placer.learn_events(&new, &slow_reader, 150);
    router.placer.learn_hint(hash, &old, 150);
    assert!(!believes(&router, 200));
    let incarnation = router.meters.meter(old.name(), Incarnation(1)).incarnation();
    assert_eq!(incarnation, Incarnation(2), "a late message does not bring the old life back");
}

/// Events are missing, and an eviction may be among them.
#[test]
fn a_gap_in_the_events_drops_beliefs() {
    for (next, believed) in [(1, true), (5, false)] {
        let router = TestRouter::new(1);
        let meter = router.serve(&prompt(0, 0, 0, 0), 0).server.meter.clone();
        let mut reader = CacheEvents::new(Incarnation(1));
        let events = vec![event(0, CacheEventKind::Stored)];
        let news = reader.apply(&EventPage { incarnation: Incarnation(1), next, events });
        router.placer.learn_events(&meter, &news, 100);
        assert_eq!(believes(&router, 150), believed, "next {next}");
    }
}

#[test]
fn an_eviction_is_believed_and_a_hot_prefix_too() {
    let router = TestRouter::new(1);
    let chain = prompt(0, 0, 0, 0);
    let meter = router.serve(&chain, 0).server.meter.clone();
    for _ in 0..5 {
        router.serve(&chain, 0);
    }
    let hash = chain.anchor().expect("an anchor").hash;
    let mut reader = CacheEvents::new(Incarnation(1));
    let kinds = [
        (CacheEventKind::Evicted, false),
        (CacheEventKind::Stored, true),
        (CacheEventKind::Cleared, false),
    ];
    for ((kind, believed), seq) in kinds.into_iter().zip(0..) {
        let events = vec![CacheEvent { seq, kind, hash }];
        let incarnation = Incarnation(1);
        let news = reader.apply(&EventPage { incarnation, next: seq + 1, events });
        router.placer.learn_events(&meter, &news, 100 + seq * 16);
        assert_eq!(believes(&router, 101 + seq * 16), believed, "{kind:?}");
    }
}

/// Engines evict within seconds: what was not found there again is believed for a shorter time.
#[test]
fn the_lifetime_of_blocks_is_learned() {
    let router = TestRouter::new(1);
    let chain = prompt(0, 0, 0, 0);
    let meter = router.serve(&chain, 0).server.meter.clone();
    let before = meter.lifetime_ms();
    let mut now_ms = 0;
    for _ in 0..100 {
        now_ms += 300;
        let choice = router.choose(&chain, now_ms);
        let mut open = router.begin(&choice, &chain, now_ms);
        let mut miss = reply(&choice, &chain);
        miss.cached_tokens = 0;
        router.placer.first_token(&mut open, &miss, now_ms);
    }
    assert!(meter.lifetime_ms() < before / 3.0, "{}", meter.lifetime_ms());
}

/// An answer by another life of the server says nothing of the one that was chosen.
#[test]
fn an_answer_of_another_life_teaches_nothing() {
    let router = TestRouter::new(1);
    let chain = prompt(0, 0, 0, 0);
    let choice = router.choose(&chain, 0);
    let mut open = router.begin(&choice, &chain, 0);
    let mut other = reply(&choice, &chain);
    other.incarnation = Incarnation(9);
    let verdict = router.placer.first_token(&mut open, &other, 0);
    assert_eq!(verdict, ReplyVerdict::OtherLife);
    assert!(router.placer.hot_hints(&router.view, 1, 0).is_empty());
}

/// Requests end in many ways: whole, failed before the first token, or dropped by a caller that
/// hung up. Load that was not given back would keep a server from being chosen for ever. Four
/// threads do so at once.
#[test]
fn load_is_given_back_however_a_request_ends() {
    let router = TestRouter::new(3);
    thread::scope(|scope| {
        for thread in 0..4 {
            let router = &router;
            scope.spawn(move || {
                for turn in 0..2_000 {
                    let chain = prompt(thread, 0, turn % 20, turn);
                    let choice = router.choose(&chain, turn as u64);
                    let mut open = router.begin(&choice, &chain, turn as u64);
                    if turn % 3 != 0 {
                        let facts = reply(&choice, &chain);
                        router.placer.first_token(&mut open, &facts, turn as u64);
                    }
                }
            });
        }
    });
    for server in router.view.servers() {
        let meter = &server.meter;
        assert_eq!((meter.own_requests(), meter.own_tokens()), (0, 0), "{}", meter.name());
    }
}
