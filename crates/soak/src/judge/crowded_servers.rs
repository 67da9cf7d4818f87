//! Servers that name limits, and brittle ones.

use fulmargate_consortium_stand::ServerFall;

use crate::Promise;
use crate::fault_player::LIMIT_SPAN;
use crate::judge::CALM_AFTER;
use crate::judge::SoakJudge;
use crate::soak_world::BrittleTime;
use crate::soak_world::SeenLimit;

/// A limit allows this multiple of its rate and so many requests more, for what was under way.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_TOLERANCE: f64 = 5.0;
/// Falls of brittle servers in one such time, and as a share of their number.
const ALLOWED_FALLS: f64 = 2.0;
const ALLOWED_FALL_SHARE: f64 = 0.1;

impl SoakJudge<'_> {
    /// Requests to servers that named limits, from all routers, whatever happened to these.
    pub(super) fn judge_limits(&mut self) {
        for limit in &self.evidence.limits {
            let SeenLimit { server, rate, most } = limit;
            let allowed = LIMIT_FACTOR * rate * LIMIT_SPAN.as_secs_f64() + LIMIT_TOLERANCE;
            if allowed < *most as f64 {
                let detail = format!("{server} got {most} requests in 4 s at {rate} a second");
                self.note(Promise::ServerLimit, detail);
            }
        }
    }

    /// Brittle servers fall no more often than two and a tenth of their number. A fall counts if most of what was
    /// rejected came from routers in touch.
    pub(super) fn judge_brittle_times(&mut self) {
        for time in &self.evidence.brittle_times {
            let BrittleTime { rejections_per_s, servers, falls } = time;
            let counted = falls.iter().filter(|fall| self.is_of_routers_in_touch(fall)).count();
            let allowed = ALLOWED_FALLS + *servers as f64 * ALLOWED_FALL_SHARE;
            self.judged.falls += falls.len();
            self.judged.counted_falls += counted;
            if allowed < counted as f64 {
                let detail = format!(
                    "{servers} servers that survive {rejections_per_s} rejections fell {counted} times"
                );
                self.note(Promise::BrittleServers, detail);
            }
        }
    }

    fn is_of_routers_in_touch(&self, fall: &ServerFall) -> bool {
        let is_in_touch = |id: &&String| {
            let router = self.router_of(id);
            router.is_some_and(|router| self.is_calm_since(router, fall.at, CALM_AFTER))
        };
        fall.rejected.len() < 2 * fall.rejected.iter().filter(is_in_touch).count()
    }
}
