//! Compares what hosts take for the age of weights with the time at which the store acknowledged newer versions.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::WeightsProof;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::WeightsVersion;

use super::model;
use super::weights_fleet::MAX_DRIFT_PPM;
use super::weights_fleet::MAX_TRANSIT_MS;
use super::weights_fleet::TICK_MS;
use super::weights_host::WeightsHost;
use super::weights_topic::WeightsTopic;

/// Versions that are compared, the newest included.
const JUDGED_VERSIONS: usize = 12;
/// Longest time for which a host that follows the topic has not read a record: the way back of the answer before it,
/// and the way of the read that finds it, there and back.
const FOLLOW_DELAY: Duration = Duration::from_millis(3 * (MAX_TRANSIT_MS + TICK_MS));

/// What was compared, and what was wrong.
#[derive(Clone, Debug, Default)]
pub(crate) struct JudgeOutcome {
    pub(crate) compared: usize,
    /// Hosts that took weights for younger than they were.
    pub(crate) younger: usize,
    /// Hosts in touch that had not read a record for longer than the margin allows.
    pub(crate) unread: usize,
    /// Moments at which a prompt could begin beyond the bound of the first newer version.
    pub(crate) late: usize,
    /// Replies, and those that did not make the ages of the replying host known.
    pub(crate) replies: usize,
    pub(crate) lost_ages: usize,
    /// The first of these.
    pub(crate) first: Option<String>,
}

/// What a host knows when it replies.
#[derive(Clone, Debug)]
pub(crate) struct ReportClaim {
    ages: Vec<(WeightsVersion, Duration)>,
}

pub(crate) struct WeightsJudge {
    bound: Duration,
    margin: Duration,
    outcome: JudgeOutcome,
}

impl WeightsJudge {
    pub(crate) fn new(bound: Duration) -> WeightsJudge {
        let margin = start_margin();
        assert!(FOLLOW_DELAY <= margin, "the margin covers the reads of a host in touch");
        WeightsJudge { bound, margin, outcome: JudgeOutcome::default() }
    }

    pub(crate) fn outcome(&self) -> JudgeOutcome {
        self.outcome.clone()
    }

    /// Compares all that one host takes for true.
    pub(crate) fn check(&mut self, host: &WeightsHost, topic: &WeightsTopic, now: u64) {
        if !host.has_listing() {
            return;
        }
        for version in topic.recent_versions(now, JUDGED_VERSIONS) {
            let Some(age) = topic.outdated_for(version, now) else { continue };
            self.outcome.compared += 1;
            let has_read_newer = host.table.target(&model()).is_some_and(|target| version < target);
            let is_younger = match has_read_newer {
                true => host.outdated_for(version, now).saturating_add(clock_error(age)) < age,
                false => host.read_age(now) + clock_error(age) < age,
            };
            let is_unread = !has_read_newer && host.follows() && self.margin < age;
            let counts = has_read_newer || host.follows();
            let is_late = counts && self.bound < age && host.allows(version, self.bound, now);
            self.outcome.younger += usize::from(is_younger);
            self.outcome.unread += usize::from(is_unread);
            self.outcome.late += usize::from(is_late);
            if self.outcome.first.is_none() && (is_younger || is_unread || is_late) {
                let known = host.outdated_for(version, now);
                let story = format!("at {now} version {version}: {known:?} of {age:?}: {host:?}");
                self.outcome.first = Some(story);
            }
        }
    }

    /// What a host that replies could say of each version.
    pub(crate) fn claim(&self, host: &WeightsHost, topic: &WeightsTopic, now: u64) -> ReportClaim {
        if !host.has_listing() {
            return ReportClaim { ages: Vec::new() };
        }
        let age = |version: WeightsVersion| match host.outdated_for(version, now) {
            Duration::ZERO => host.read_age(now),
            age => age,
        };
        let versions = topic.recent_versions(now, JUDGED_VERSIONS).into_iter();
        let ages = versions.map(|version| (version, age(version)));
        ReportClaim { ages: ages.filter(|(_, age)| *age < Duration::MAX).collect() }
    }

    /// A host that was told knows the same ages, up to the time since its question.
    pub(crate) fn check_reply(
        &mut self,
        host: &WeightsHost,
        claim: &ReportClaim,
        asked: u64,
        now: u64,
    ) {
        self.outcome.replies += 1;
        let uptime = Duration::from_millis(host.clock.now(asked).0);
        let since_question = Duration::from_millis(now - asked);
        for (version, age) in &claim.ages {
            let expected = *age + since_question + clock_error(*age + since_question);
            let is_lost = *age <= uptime && expected < host.outdated_for(*version, now);
            self.outcome.lost_ages += usize::from(is_lost);
            if is_lost && self.outcome.first.is_none() {
                let story = format!("at {now} version {version}: {age:?} is not known: {host:?}");
                self.outcome.first = Some(story);
            }
        }
    }
}

/// Longest difference between an age and the time that has passed: drift, and a clock's unit.
fn clock_error(age: Duration) -> Duration {
    age * MAX_DRIFT_PPM as u32 / 1_000_000 + Duration::from_millis(2)
}

/// Time before the bound at which a prompt that has not begun is cancelled.
pub(crate) fn start_margin() -> Duration {
    let (bound, age) = (Duration::from_secs(8), Duration::from_secs(1));
    let mut table = WeightsTable::default();
    let version = WeightsVersion(1);
    table.add_target(&model(), WeightsVersion(2), None);
    table.add_proof(&model(), WeightsProof { version, proven_at: BootTime(0) });
    let now = BootTime(age.as_millis() as u64);
    let delay = table.max_start_delay(&model(), version, bound, now);
    bound - age - delay.expect("a newer version is wanted")
}
