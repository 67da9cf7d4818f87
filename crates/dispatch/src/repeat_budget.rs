//! How many sends beyond the first of each call this router may make.

use std::time::Duration;

use fulmargate_names::ServiceName;
use indexmap::IndexMap;
use tokio::time::Instant;

/// The window is counted in so many parts.
const PARTS: usize = 20;
/// Share of the allowance that is used: windows of the count and of the allowance may lie apart by
/// one part, and an answer that is lost may hide a send.
const CAUTION: f64 = 0.7;

/// The allowance of all routers together, for each service.
#[derive(Clone, Copy, Debug)]
pub struct RepeatConf {
    /// Repeats per first send.
    pub ratio: f64,
    /// Repeats in a window beside these.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts of one service, a ring of window parts.
#[derive(Clone, Debug, Default)]
struct ServiceCount {
    firsts: [u32; PARTS],
    repeats: [u32; PARTS],
    /// Number of the newest part.
    part: u64,
}

/// Repeats as a share of this router's own traffic.
///
/// A count per call would multiply the load of a service that fails every send just when it can
/// carry least. The allowance is one for all routers: each has the ratio on its own first sends and
/// an equal share of the slack. A process cannot know what the one before it has spent, so it has
/// no slack until a window has passed since its start.
#[derive(Debug)]
pub struct RepeatBudget {
    conf: RepeatConf,
    started: Instant,
    hosts: usize,
    services: IndexMap<ServiceName, ServiceCount>,
}

impl RepeatBudget {
    /// A budget of a process that starts now.
    pub fn new(conf: RepeatConf, now: Instant) -> RepeatBudget {
        RepeatBudget { conf, started: now, hosts: 0, services: IndexMap::new() }
    }

    /// Hosts that may share the slack; zero while that is not known.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// The first send of a call.
    pub fn first(&mut self, service: &ServiceName, now: Instant) {
        let part = self.part(now);
        let count = self.count(service, part);
        count.firsts[(part % PARTS as u64) as usize] += 1;
    }

    /// Takes one repeat if the budget has it.
    pub fn try_repeat(&mut self, service: &ServiceName, now: Instant) -> bool {
        let has_repeat = self.has_repeat(service, now);
        if has_repeat {
            let part = self.part(now);
            self.count(service, part).repeats[(part % PARTS as u64) as usize] += 1;
        }
        has_repeat
    }

    /// Whether the budget has a repeat.
    pub fn has_repeat(&mut self, service: &ServiceName, now: Instant) -> bool {
        let allowed = self.conf.ratio * CAUTION;
        let slack = self.slack(now);
        let part = self.part(now);
        let count = self.count(service, part);
        let firsts: u32 = count.firsts.iter().sum();
        let repeats: u32 = count.repeats.iter().sum();
        f64::from(repeats + 1) <= allowed * f64::from(firsts) + slack
    }

    fn slack(&self, now: Instant) -> f64 {
        let is_new = now.saturating_duration_since(self.started) < self.conf.window;
        if is_new || self.hosts == 0 {
            return 0.0;
        }
        self.conf.slack * CAUTION / self.hosts as f64
    }

    fn part(&self, now: Instant) -> u64 {
        let length = self.conf.window.as_millis().max(PARTS as u128) / PARTS as u128;
        (now.saturating_duration_since(self.started).as_millis() / length) as u64
    }

    fn count(&mut self, service: &ServiceName, part: u64) -> &mut ServiceCount {
        let count = self.services.entry(service.clone()).or_default();
        let passed = part.saturating_sub(count.part).min(PARTS as u64);
        for step in 1..=passed {
            let index = ((count.part + step) % PARTS as u64) as usize;
            count.firsts[index] = 0;
            count.repeats[index] = 0;
        }
        if PARTS as u64 <= part.saturating_sub(count.part) {
            count.firsts = [0; PARTS];
            count.repeats = [0; PARTS];
        }
        count.part = part;
        count
    }
}
