//! Which engines get new weights next.
//!
//! Answers versions that follow each other fast on a busy fleet: an engine that loads is out for a second
//! and comes back with an empty cache, so that few are taken out at once, as late as the bound allows.

use std::time::Duration;

use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;

use crate::ServerKey;

/// How a new version is brought to all engines.
#[derive(Clone, Copy, Debug)]
pub struct WaveConf {
    /// Time that an engine is out of use: it finishes what runs, loads, and is found to have loaded.
    pub engine_time: Duration,
    /// Share of the bound on weights within which all engines should have them. Requests leave
    /// older engines before the bound, and engines that fail are tried again.
    pub bound_share: f64,
    /// Share of the engines that may be out at once, however little time is left.
    pub most: f64,
}

impl Default for WaveConf {
    fn default() -> WaveConf {
        // An idle engine took 0.7 to 0.9 s from order to report, a busy one 1.1 to 1.5 s. On a day
        // with two versions and a bound of 8 s, two of twelve engines out at once earned 0.77 of the
        // worth and four 0.68; with a bound of 6 s two were too few. On 18 engines three out at once
        // earned 0.324 on a day with five versions and five 0.294; but the more engines there are, the
        // longer the last ones take: at 0.85 of the bound 104 engines were not done when requests must
        // leave the older ones, 0.49 instead of 0.60, and at 0.65 two days of 90 and 104 engines earned
        // 0.533, at 0.6 0.557.
        WaveConf { engine_time: Duration::from_millis(1_100), bound_share: 0.6, most: 0.4 }
    }
}

/// An engine as the wave sees it.
#[derive(Clone, Debug)]
pub struct WaveServer {
    /// The engine.
    pub key: ServerKey,
    /// Its name, by which all routers order engines alike.
    pub name: ServerName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its weights as far as is known.
    pub version: WeightsVersion,
    /// Requests that run or wait there as far as is known.
    pub load: u32,
    /// An order is under way.
    pub is_ordered: bool,
    /// It could be reached.
    pub is_open: bool,
}

/// The time of a wave.
#[derive(Clone, Copy, Debug)]
pub struct WaveTime {
    /// Since the version was named.
    pub age: Duration,
    /// No request begins on older weights after so long.
    pub bound: Duration,
}

/// The plan of one version.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderWave {
    conf: WaveConf,
}

impl OrderWave {
    /// A plan with these numbers.
    pub fn new(conf: WaveConf) -> OrderWave {
        OrderWave { conf }
    }

    /// How many engines may be out at once, `age` after the version was named: as few as will do in
    /// the time that is left.
    pub fn at_once(&self, servers: &[WaveServer], wanted: WeightsVersion, wave: WaveTime) -> usize {
        let behind = servers.iter().filter(|server| server.version < wanted).count() as f64;
        let time = wave.bound.mul_f64(self.conf.bound_share).saturating_sub(wave.age);
        let rounds = (time.as_secs_f64() / self.conf.engine_time.as_secs_f64()).max(1.0);
        let most = (servers.len() as f64 * self.conf.most).ceil();
        (behind / rounds).ceil().clamp(1.0, most.max(1.0)) as usize
    }

    /// Engines to order now. The least busy go first, since an engine finishes what runs before it
    /// loads; of equal ones, those in zones where fewer are out, so that no zone runs dry.
    pub fn next(
        &self,
        servers: &[WaveServer],
        wanted: WeightsVersion,
        wave: WaveTime,
    ) -> Vec<ServerKey> {
        let under_way = servers.iter().filter(|server| server.is_ordered).count();
        let mut free = self.at_once(servers, wanted, wave).saturating_sub(under_way);
        let mut open: Vec<&WaveServer> =
            servers.iter().filter(|server| server.version < wanted && !server.is_ordered).collect();
        let mut chosen: Vec<&WaveServer> = Vec::new();
        while 0 < free && !open.is_empty() {
            let out_in = |zone: &ZoneName| {
                let ordered = servers.iter().filter(|server| server.is_ordered);
                ordered.chain(chosen.iter().copied()).filter(|server| server.zone == *zone).count()
            };
            let next = (0..open.len()).min_by_key(|index| {
                let server = open[*index];
                (!server.is_open, out_in(&server.zone), server.load, server.name.clone())
            });
            let Some(index) = next else { break };
            chosen.push(open.swap_remove(index));
            free -= 1;
        }
        chosen.into_iter().map(|server| server.key).collect()
    }
}
