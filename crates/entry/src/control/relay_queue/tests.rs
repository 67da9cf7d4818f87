//! Recipients of relayed messages, and limits of the queue.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use super::MAX_QUEUED_BYTES;
use super::RelayQueue;
use super::SUBSCRIPTION_TIMEOUT;

const NORTH: &str = "north";
const SOUTH: &str = "south";

fn queue(subscribers: &[(&str, &str)], now: Instant) -> RelayQueue {
    let mut queue = RelayQueue::default();
    for (host, zone) in subscribers {
        queue.subscribe(&HostName::new(host), &ZoneName::new(zone), now);
    }
    queue
}

#[test]
fn zone_hosts_receive_all_and_other_relays_receive_the_own_zone() {
    let now = Instant::now();
    let mut queue = queue(&[("near", NORTH), ("far", SOUTH)], now);
    queue.push_own_zone(b"one");
    queue.push_other_zone(b"two");
    let batch = queue.take_batch(&ZoneName::new(NORTH), now).expect("has subscribers");
    assert_eq!((&batch.all_messages[..], &batch.zone_messages[..]), (&b"onetwo"[..], &b"one"[..]));
    assert_eq!(batch.zone_hosts, [HostName::new("near")]);
    assert_eq!(batch.other_relays, [HostName::new("far")]);
    let next = queue.take_batch(&ZoneName::new(NORTH), now).expect("has subscribers");
    assert!(next.all_messages.is_empty(), "each message is forwarded once");
}

/// Guards against forwarding forever to a host that has exited or chosen another relay.
#[test]
fn expired_subscribers_receive_nothing() {
    let now = Instant::now();
    let mut queue = queue(&[("near", NORTH)], now);
    let north = ZoneName::new(NORTH);
    let later = now + SUBSCRIPTION_TIMEOUT;
    assert!(queue.take_batch(&north, later - Duration::from_millis(1)).is_some());
    queue.push_own_zone(b"one");
    assert!(queue.take_batch(&north, later).is_none());
    queue.subscribe(&HostName::new("near"), &north, later);
    let batch = queue.take_batch(&north, later).expect("subscription renewed");
    assert!(batch.all_messages.is_empty(), "messages from before the renewal are dropped");
}

#[test]
fn buffered_bytes_are_bounded() {
    let now = Instant::now();
    let mut queue = queue(&[("near", NORTH)], now);
    let message = vec![0; 1_000];
    (0..1_000).for_each(|_| queue.push_own_zone(&message));
    let batch = queue.take_batch(&ZoneName::new(NORTH), now).expect("has subscribers");
    assert!(batch.all_messages.len() <= MAX_QUEUED_BYTES);
}
