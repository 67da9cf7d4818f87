//! What other routers have said of their requests under way, and how often they do.
//!
//! Answers loads at which routers that choose by old words meet at the same engines.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::Backlog;
use crate::FleetHost;
use crate::GossipMessage;
use crate::LinkRank;
use crate::PeerLoad;
use crate::ServerKey;
use crate::ZonePeer;
use crate::experiment::Mechanism;
use crate::experiment::is_on;

/// A router's word counts this long, twice the longest pause between two. One that fell silent may have
/// ended, and its requests with it.
const MESSAGE_AGE: Duration = Duration::from_millis(1_200);

/// Pause between two words of a router. Each prompt that others have not heard of is one that a short one
/// may get to wait behind.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(25);
/// And with the square of the other routers this much more, as words go from all to all here.
const PACE_PER_PAIR: Duration = Duration::from_micros(71);
/// Without fast words.
const SLOW_PACE: Duration = Duration::from_millis(150);
/// But at most so long, half the age of a word: beyond, each router would take all others for gone
/// between two of their words, and all would read the store and the engines' events themselves.
const LONGEST_PACE: Duration = Duration::from_millis(600);

/// Pause before a word that an engine is about to load. A wave orders many engines within some milliseconds;
/// told one by one to many routers, they kept a small host busy until its reports and its lease timed out.
const URGENT_PACE: Duration = Duration::from_millis(30);
/// And this much more for each other router.
const URGENT_PER_PEER: Duration = Duration::from_millis(1);
/// The share of a link for such words; callers' answers and words in their turn take less than the rest. Later
/// notices leave more requests to engines that turn them away.
const URGENT_SHARE: f64 = 0.5;

/// How often a router tells each of so many others.
pub fn gossip_interval(peers: usize) -> Duration {
    let pairs = (peers as u32).saturating_mul(peers as u32);
    let least = if is_on(Mechanism::FastGossip) { GOSSIP_INTERVAL } else { SLOW_PACE };
    (least + PACE_PER_PAIR.saturating_mul(pairs)).min(LONGEST_PACE)
}

/// How soon after a word of so many bytes an engine's load may be told before the next one's turn, on a link
/// that carries so much.
///
/// A router's words go to all others. While it brings new weights to many engines, each word names dozens of
/// them, and fills a narrow link: the host's callers get no answers, and its reports of engines time out. A pause by the bytes of the last word keeps them to
/// their share whatever a word holds; a notice is never later than the next word's turn.
pub fn urgent_pace(peers: usize, word_bytes: usize, link_bytes_per_s: f64) -> Duration {
    let least = URGENT_PACE + URGENT_PER_PEER.saturating_mul(peers as u32);
    let bytes = word_bytes as f64 * peers as f64;
    let by_link_s = bytes / (link_bytes_per_s * URGENT_SHARE);
    let by_link = Duration::from_secs_f64(by_link_s.min(LONGEST_PACE.as_secs_f64()));
    least.max(by_link).min(gossip_interval(peers))
}

/// The newest word of each router, and the sums by server.
///
/// A choice asks for every engine what all routers have there. Summed up anew each time, that would
/// be a look at each word for each engine; so the sums are kept.
#[derive(Debug, Default)]
pub struct PeerBoard {
    words: IndexMap<HostName, PeerReport>,
    sums: IndexMap<ServerKey, PeerSum>,
}

#[derive(Debug)]
struct PeerReport {
    at: Instant,
    zone: Option<ZoneName>,
    link_kbps: Option<u32>,
    loads: Vec<PeerLoad>,
}

/// What all routers have under way at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerSum {
    /// Requests.
    pub open: u32,
    /// Those of them that are chats.
    pub chats: u32,
    /// Prompt tokens whose first event is awaited.
    pub backlog: Backlog,
}

impl PeerBoard {
    /// A router has spoken.
    pub fn hear(&mut self, host: &HostName, news: &GossipMessage, now: Instant) {
        self.drop_silent(now);
        let word = PeerReport {
            at: now,
            zone: news.zone.clone(),
            link_kbps: news.link_kbps,
            loads: news.loads.clone(),
        };
        for load in &news.loads {
            self.sums.entry(load.server).or_default().add(load);
        }
        if let Some(old) = self.words.insert(host.clone(), word) {
            self.take(&old);
        }
    }

    /// Forgets what routers said that have fallen silent. To be called now and then: the sums count
    /// them until then.
    pub fn drop_silent(&mut self, now: Instant) {
        let is_silent = |word: &PeerReport| MESSAGE_AGE <= now.saturating_duration_since(word.at);
        while let Some(index) = self.words.values().position(is_silent) {
            if let Some((_, word)) = self.words.swap_remove_index(index) {
                self.take(&word);
            }
        }
    }

    /// Routers that have spoken lately.
    pub fn hosts(&self, now: Instant) -> impl Iterator<Item = &HostName> {
        let is_fresh =
            move |word: &PeerReport| now.saturating_duration_since(word.at) < MESSAGE_AGE;
        self.words.iter().filter(move |(_, word)| is_fresh(word)).map(|(host, _)| host)
    }

    /// Those of one availability zone.
    pub fn zone_peers(&self, zone: &ZoneName, now: Instant) -> impl Iterator<Item = ZonePeer> {
        let is_there = move |word: &PeerReport| {
            word.zone.as_ref() == Some(zone) && now.saturating_duration_since(word.at) < MESSAGE_AGE
        };
        let peer = |(host, word): (&HostName, &PeerReport)| ZonePeer {
            host: host.clone(),
            link_kbps: word.link_kbps.unwrap_or_default(),
        };
        self.words.iter().filter(move |(_, word)| is_there(word)).map(peer)
    }

    /// All routers that have spoken lately, and where they are.
    pub fn fleet_hosts(&self, now: Instant) -> impl Iterator<Item = FleetHost> {
        let is_fresh =
            move |word: &PeerReport| now.saturating_duration_since(word.at) < MESSAGE_AGE;
        let fresh = self.words.iter().filter(move |(_, word)| is_fresh(word));
        fresh.filter_map(|(host, word)| {
            let (host, zone) = (host.clone(), word.zone.clone()?);
            Some(FleetHost { host, zone, link_kbps: word.link_kbps.unwrap_or_default() })
        })
    }

    /// How a link compares to those of all that have spoken lately.
    pub fn link_rank(&self, own_kbps: u32, now: Instant) -> LinkRank {
        let fresh =
            self.words.values().filter(|word| now.saturating_duration_since(word.at) < MESSAGE_AGE);
        let others: Vec<u32> = fresh.filter_map(|word| word.link_kbps).collect();
        if others.iter().any(|kbps| own_kbps < *kbps) {
            return LinkRank::Narrower;
        }
        let equal = others.iter().filter(|kbps| **kbps == own_kbps).count();
        if equal == others.len() { LinkRank::Equal } else { LinkRank::Widest { hosts: equal + 1 } }
    }

    /// What all of them have at a server.
    pub fn sum(&self, server: ServerKey) -> PeerSum {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    fn take(&mut self, word: &PeerReport) {
        for load in &word.loads {
            let Some(sum) = self.sums.get_mut(&load.server) else { continue };
            sum.take(load);
            if *sum == PeerSum::default() {
                self.sums.swap_remove(&load.server);
            }
        }
    }
}

impl PeerSum {
    fn add(&mut self, load: &PeerLoad) {
        self.open = self.open.saturating_add(load.open);
        self.chats = self.chats.saturating_add(load.chats);
        self.backlog.add_all(&load.backlog);
    }

    fn take(&mut self, load: &PeerLoad) {
        self.open = self.open.saturating_sub(load.open);
        self.chats = self.chats.saturating_sub(load.chats);
        self.backlog.take_all(&load.backlog);
    }
}
