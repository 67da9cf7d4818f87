//! Which services the routes have led to lately.

use fulmargate_names::ServiceName;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BootTime;
use crate::RouteRule;
use crate::VERSION_MEMORY;

/// Services of the resumable routes, by the hash of host and path prefix.
#[derive(Debug, Default)]
pub struct RouteHistory {
    /// By the configuration in force.
    current: IndexMap<u64, Vec<ServiceName>>,
    /// By earlier ones, with the time until which the route led there.
    earlier: IndexMap<u64, IndexMap<ServiceName, BootTime>>,
}

impl RouteHistory {
    /// Applies the routes of a new configuration. Returns whether a route has left a service or got another one.
    pub fn apply<'a>(
        &mut self,
        routes: impl Iterator<Item = &'a RouteRule>,
        now: BootTime,
    ) -> bool {
        let resumable = routes.filter(|route| route.is_resumable());
        let services = |route: &RouteRule| {
            route.services.iter().map(|share| share.service.clone()).collect::<Vec<_>>()
        };
        let next: IndexMap<u64, Vec<ServiceName>> =
            resumable.map(|route| (route_key(route), services(route))).collect();
        let before = std::mem::replace(&mut self.current, next);
        let mut is_changed = false;
        for (key, services) in before {
            if self.current.get(&key) == Some(&services) {
                continue;
            }
            is_changed = true;
            let earlier = self.earlier.entry(key).or_default();
            earlier.extend(services.into_iter().map(|service| (service, now)));
        }
        self.earlier.retain(|_, services| {
            services.retain(|_, until| now.since(*until) < VERSION_MEMORY);
            !services.is_empty()
        });
        is_changed
    }

    /// Whether a stream of this route may have begun at another service than its only one.
    pub fn is_ambiguous(&self, route: &RouteRule, now: BootTime) -> bool {
        if 1 < route.services.len() {
            return true;
        }
        let Some(earlier) = self.earlier.get(&route_key(route)) else { return false };
        let current = route.services.first().map(|share| &share.service);
        let is_recent = |until: BootTime| now.since(until) < VERSION_MEMORY;
        earlier.iter().any(|(service, until)| Some(service) != current && is_recent(*until))
    }
}

fn route_key(route: &RouteRule) -> u64 {
    xxh3_64_with_seed(route.path_prefix.as_bytes(), route.host.len() as u64)
        ^ xxh3_64_with_seed(route.host.as_bytes(), 1)
}
