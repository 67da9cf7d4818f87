//! Which hosts read the log.

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;

use crate::ReaderRole;

/// The role of one host among the live ones.
///
/// The first few hosts of each zone by name read the log, so that a zone cut off from the others
/// still has readers. Ranks go through the zones first: the two that would write a snapshot first
/// are in different zones. Hosts that see different members for a while only read, or write a
/// snapshot, once more than needed; one that nobody reads for falls back to its own reading.
pub fn choose_role(
    own: &HostName,
    hosts: impl Iterator<Item = (ZoneName, HostName)>,
    readers_per_zone: usize,
) -> ReaderRole {
    let mut zones: IndexMap<ZoneName, Vec<HostName>> = IndexMap::new();
    for (zone, host) in hosts {
        zones.entry(zone).or_default().push(host);
    }
    zones.sort_keys();
    let zone_count = zones.len();
    for (zone_index, hosts) in zones.values_mut().enumerate() {
        hosts.sort();
        let place = hosts.iter().position(|host| host == own);
        if let Some(place) = place.filter(|place| *place < readers_per_zone) {
            let rank = place * zone_count + zone_index;
            return ReaderRole::Direct { rank: rank as u32 };
        }
    }
    ReaderRole::Follower
}
