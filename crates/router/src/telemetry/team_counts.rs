//! How many requests of each team a router has taken and refused.

use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::TeamName;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::state::RouterState;

/// Traffic threads seldom meet at the same one.
const SHARDS: usize = 16;

type CountKey = (HostName, Incarnation, TeamName);
type CountShard = IndexMap<CountKey, TeamCounts>;

/// Of the whole process, as the metrics are; several routers in it have keys of their own.
static BOOK: LazyLock<[Mutex<CountShard>; SHARDS]> = LazyLock::new(Default::default);

/// What became of a team's requests at one router since it started. Requests that could
/// not be read, or asked for what the team may not use, are in neither count.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TeamCounts {
    /// Sent to a server.
    pub(crate) admitted: u64,
    /// Answered with an error that says `not-run`.
    pub(crate) refused: u64,
}

impl TeamCounts {
    /// The counts of a team.
    pub(crate) fn of(state: &RouterState, team: &TeamName) -> TeamCounts {
        lock(team).get(&key(state, team)).copied().unwrap_or_default()
    }

    /// Changes the counts of a team. Only teams of the configuration get here, which bounds the table.
    pub(crate) fn note(state: &RouterState, team: &TeamName, change: fn(&mut TeamCounts)) {
        change(lock(team).entry(key(state, team)).or_default());
    }
}

fn key(state: &RouterState, team: &TeamName) -> CountKey {
    (state.host.clone(), state.incarnation, team.clone())
}

fn lock(team: &TeamName) -> MutexGuard<'static, CountShard> {
    let shard = xxh3_64(team.as_str().as_bytes()) as usize % SHARDS;
    BOOK[shard].lock().unwrap_or_else(PoisonError::into_inner)
}
