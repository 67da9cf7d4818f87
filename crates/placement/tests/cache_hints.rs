//! Cache events, hints and their invalidation.

mod support;

use std::thread;

use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_placement::CacheEvent;
use fulmargate_placement::CacheEventKind;
use fulmargate_placement::CacheEvents;
use fulmargate_placement::EventPage;
use fulmargate_placement::ReplySource;
use fulmargate_placement::StreamContinuity;
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
    continuity: StreamContinuity,
    new_seqs: &'static [u64],
    read_position: u64,
}

/// Pages in order of arrival.
const PAGES: &[PageCase] = &[
    PageCase {
        name: "first",
        incarnation: 1,
        seqs: &[0, 1, 2],
        next: 3,
        continuity: StreamContinuity::Continuous,
        new_seqs: &[0, 1, 2],
        read_position: 3,
    },
    PageCase {
        name: "overlapping",
        incarnation: 1,
        seqs: &[1, 2, 3],
        next: 4,
        continuity: StreamContinuity::Continuous,
        new_seqs: &[3],
        read_position: 4,
    },
    PageCase {
        name: "gap in the middle",
        incarnation: 1,
        seqs: &[4, 5, 8, 9],
        next: 10,
        continuity: StreamContinuity::Gap,
        new_seqs: &[8, 9],
        read_position: 10,
    },
    PageCase {
        name: "gap at the end",
        incarnation: 1,
        seqs: &[10],
        next: 14,
        continuity: StreamContinuity::Gap,
        new_seqs: &[],
        read_position: 14,
    },
    PageCase {
        name: "new incarnation",
        incarnation: 2,
        seqs: &[0],
        next: 1,
        continuity: StreamContinuity::NewIncarnation,
        new_seqs: &[0],
        read_position: 1,
    },
    PageCase {
        name: "late page of the old incarnation",
        incarnation: 1,
        seqs: &[14, 15],
        next: 16,
        continuity: StreamContinuity::StaleIncarnation,
        new_seqs: &[],
        read_position: 1,
    },
    PageCase {
        name: "no new events",
        incarnation: 2,
        seqs: &[],
        next: 1,
        continuity: StreamContinuity::Continuous,
        new_seqs: &[],
        read_position: 1,
    },
];

#[test]
fn event_pages_yield_each_new_event_once() {
    let mut reader = CacheEvents::new(Incarnation(1));
    for case in PAGES {
        let events = case.seqs.iter().map(|seq| event(*seq, CacheEventKind::Stored)).collect();
        let incarnation = Incarnation(case.incarnation);
        let new_events = reader.apply(&EventPage { incarnation, next: case.next, events });
        let new_seqs: Vec<u64> = new_events.events.iter().map(|event| event.seq).collect();
        assert_eq!(
            (new_events.continuity, &new_seqs[..]),
            (case.continuity, case.new_seqs),
            "{}",
            case.name
        );
        assert_eq!(reader.next(), case.read_position, "{}", case.name);
    }
}

/// Whether the router has a valid hint for the prompt of team 0.
fn has_hint(router: &TestRouter, now_ms: u64) -> bool {
    !router.placer.hot_hints(&router.view, 1, now_ms).is_empty()
        && router.choose(&prompt(0, 0, 0, 9), now_ms).predicted_cached > 2_500
}

/// Hints about a crashed engine, and its delayed events, must not route requests to the empty cache
/// of its successor.
#[test]
fn a_new_incarnation_starts_without_hints() {
    let mut router = TestRouter::new(1);
    let chain = prompt(0, 0, 0, 0);
    let old = router.serve(&chain, 0).server.meter.clone();
    for _ in 0..5 {
        router.serve(&chain, 0);
    }
    assert!(has_hint(&router, 100));
    router.set_incarnations(&[2]);
    assert!(!has_hint(&router, 100));
    let mut reader = CacheEvents::new(Incarnation(2));
    let hash = chain.anchor().expect("prompt has an anchor").hash;
    let events = vec![CacheEvent { seq: 0, kind: CacheEventKind::Stored, hash }];
    let page = EventPage { incarnation: Incarnation(1), next: 1, events };
    let late = reader.apply(&page);
    let slow_reader = CacheEvents::new(Incarnation(1)).apply(&page);
    let new = router.view.server(old.name()).expect("server in view").meter.clone();
    router.placer.apply_events(&new, &late, 150);
    router.placer.apply_events(&old, &late, 150);
    router.placer.apply_events(&new, &slow_reader, 150);
    router.placer.record_hint(hash, &old, 150);
    assert!(!has_hint(&router, 200));
    let incarnation = router.meters.meter(old.name(), Incarnation(1)).incarnation();
    assert_eq!(incarnation, Incarnation(2), "a late message does not restore the old incarnation");
}

/// The missing events may include evictions.
#[test]
fn a_gap_in_the_events_invalidates_hints() {
    for (next, is_hinted) in [(1, true), (5, false)] {
        let router = TestRouter::new(1);
        let meter = router.serve(&prompt(0, 0, 0, 0), 0).server.meter.clone();
        let mut reader = CacheEvents::new(Incarnation(1));
        let events = vec![event(0, CacheEventKind::Stored)];
        let new_events = reader.apply(&EventPage { incarnation: Incarnation(1), next, events });
        router.placer.apply_events(&meter, &new_events, 100);
        assert_eq!(has_hint(&router, 150), is_hinted, "next {next}");
    }
}

#[test]
fn cache_events_update_the_hints_of_hot_prefixes() {
    let router = TestRouter::new(1);
    let chain = prompt(0, 0, 0, 0);
    let meter = router.serve(&chain, 0).server.meter.clone();
    for _ in 0..5 {
        router.serve(&chain, 0);
    }
    let hash = chain.anchor().expect("prompt has an anchor").hash;
    let mut reader = CacheEvents::new(Incarnation(1));
    let kinds = [
        (CacheEventKind::Evicted, false),
        (CacheEventKind::Stored, true),
        (CacheEventKind::Cleared, false),
    ];
    for ((kind, is_hinted), seq) in kinds.into_iter().zip(0..) {
        let events = vec![CacheEvent { seq, kind, hash }];
        let incarnation = Incarnation(1);
        let new_events = reader.apply(&EventPage { incarnation, next: seq + 1, events });
        router.placer.apply_events(&meter, &new_events, 100 + seq * 16);
        assert_eq!(has_hint(&router, 101 + seq * 16), is_hinted, "{kind:?}");
    }
}

/// Hints must expire sooner if prefixes turn out to be evicted sooner.
#[test]
fn cache_misses_shorten_the_estimated_lifetime() {
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

/// A reply from another incarnation must not create hints for the selected one.
#[test]
fn replies_from_another_incarnation_are_ignored() {
    let router = TestRouter::new(1);
    let chain = prompt(0, 0, 0, 0);
    let choice = router.choose(&chain, 0);
    let mut open = router.begin(&choice, &chain, 0);
    let mut other = reply(&choice, &chain);
    other.incarnation = Incarnation(9);
    let source = router.placer.first_token(&mut open, &other, 0);
    assert_eq!(source, ReplySource::IncarnationMismatch);
    assert!(router.placer.hot_hints(&router.view, 1, 0).is_empty());
}

/// Leaked load would exclude a server forever. Requests end with and without a reply on four
/// threads.
#[test]
fn load_is_released_however_a_request_ends() {
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
                        let reply_facts = reply(&choice, &chain);
                        router.placer.first_token(&mut open, &reply_facts, turn as u64);
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
