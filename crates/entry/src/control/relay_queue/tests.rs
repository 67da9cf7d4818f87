//! What is passed on, and to whom.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use super::LISTENER_AGE;
use super::MOST_WAITING_BYTES;
use super::RelayBoard;

const NORTH: &str = "north";
const SOUTH: &str = "south";

fn board(listeners: &[(&str, &str)], now: Instant) -> RelayBoard {
    let mut board = RelayBoard::default();
    for (host, zone) in listeners {
        board.listen(&HostName::new(host), &ZoneName::new(zone), now);
    }
    board
}

#[test]
fn hosts_of_the_zone_hear_all_and_others_hear_the_zone() {
    let now = Instant::now();
    let mut board = board(&[("near", NORTH), ("far", SOUTH)], now);
    board.push_own_zone(b"one");
    board.push_other_zone(b"two");
    let turn = board.take_turn(&ZoneName::new(NORTH), now).expect("somebody listens");
    assert_eq!((&turn.all_words[..], &turn.zone_words[..]), (&b"onetwo"[..], &b"one"[..]));
    assert_eq!(turn.zone_hosts, [HostName::new("near")]);
    assert_eq!(turn.other_relays, [HostName::new("far")]);
    let next = board.take_turn(&ZoneName::new(NORTH), now).expect("somebody listens");
    assert!(next.all_words.is_empty(), "a word is passed on once");
}

/// A host that has chosen another relay, or has ended, is passed words on for good, and the link of a relay
/// fills with what nobody wants. Who does not ask again is forgotten.
#[test]
fn who_does_not_ask_again_hears_nothing() {
    let now = Instant::now();
    let mut board = board(&[("near", NORTH)], now);
    let north = ZoneName::new(NORTH);
    let later = now + LISTENER_AGE;
    assert!(board.take_turn(&north, later - Duration::from_millis(1)).is_some());
    board.push_own_zone(b"one");
    assert!(board.take_turn(&north, later).is_none());
    board.listen(&HostName::new("near"), &north, later);
    let turn = board.take_turn(&north, later).expect("it has asked again");
    assert!(turn.all_words.is_empty(), "what it did not want is not kept for it");
}

#[test]
fn what_waits_is_bounded() {
    let now = Instant::now();
    let mut board = board(&[("near", NORTH)], now);
    let message = vec![0; 1_000];
    (0..1_000).for_each(|_| board.push_own_zone(&message));
    let turn = board.take_turn(&ZoneName::new(NORTH), now).expect("somebody listens");
    assert!(turn.all_words.len() <= MOST_WAITING_BYTES);
}
