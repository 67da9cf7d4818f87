//! Prompt parts that crash the engines which begin to answer them.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CrashEnd;
use fulmargate_consortium_stand::CrashRule;
use fulmargate_consortium_stand::FakeServer;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::crash_fleet::CrashFleet;
use crate::support::REQUEST_TIMEOUT_MS;

const ENGINES: usize = 8;
/// The part that crashes engines.
const GUILTY_PART: &str = "bad";
/// A part that all prompts begin with.
const COMMON_PART: &str = "5c1e";
/// Parts of which each sound prompt has one.
const SOUND_PARTS: usize = 7;
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Crashes from which a part counts as known.
const KNOWN_CRASHES: usize = 5;
/// Time in which all hosts learn of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Sends later than that which are allowed.
const MAX_LATE_SENDS: usize = 3;
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const PLAY_TIME: Duration = Duration::from_secs(9);
/// Share of the sound requests that are served once the part is known.
const MIN_SERVED_SHARE: f64 = 0.95;
const RESTART_INTERVAL: Duration = Duration::from_millis(100);

struct PartCase {
    name: &'static str,
    /// Shared parts of the prompts that crash engines, beside the guilty one.
    guilty_with: &'static [&'static str],
    /// Pause between two such prompts, at all hosts in turn.
    guilty_interval: Duration,
}

struct SentPrompt {
    sent: Instant,
    task: JoinHandle<u16>,
}

fn prompt(id: &str, shared: &[&str]) -> CallerRequest {
    let own = format!("own-{id}");
    let mut parts = shared.to_vec();
    parts.push(&own);
    let mut request = CallerRequest::prompt("/chat/x", id).with_prompt_parts(&parts);
    request.patience_ms = REQUEST_TIMEOUT_MS;
    request
}

fn send(callers: SocketAddr, request: CallerRequest) -> SentPrompt {
    let task = tokio::spawn(async move {
        let response = request.send(callers).await;
        response.map_or(0, |response| if response.is_whole { response.status } else { 0 })
    });
    SentPrompt { sent: Instant::now(), task }
}

/// Sends guilty prompts, no two alike.
async fn send_guilty(
    callers: Vec<SocketAddr>,
    shared: Vec<&'static str>,
    interval: Duration,
    until: Instant,
) {
    let mut number = 0;
    let mut next = Instant::now();
    while next < until {
        let request = prompt(&format!("guilty-{number}"), &shared);
        send(callers[number % callers.len()], request);
        number += 1;
        next += interval;
        sleep_until(next).await;
    }
}

/// Sends prompts with the common part and one of the sound ones.
async fn send_sound(callers: Vec<SocketAddr>, until: Instant) -> Vec<SentPrompt> {
    let mut sent = Vec::new();
    let mut next = Instant::now();
    while next < until {
        let number = sent.len();
        let part = format!("sound-{}", number % SOUND_PARTS);
        let request = prompt(&format!("sound-{number}"), &[COMMON_PART, &part]);
        sent.push(send(callers[number % callers.len()], request));
        next += SOUND_INTERVAL;
        sleep_until(next).await;
    }
    sent
}

impl PartCase {
    async fn check(&self) {
        let rule = CrashRule { marker: GUILTY_PART, delay: CRASH_DELAY, end: CrashEnd::BeforeHead };
        let mut fleet = CrashFleet::start_service(rule, ENGINES, "engines").await;
        let mut callers = Vec::new();
        for daemon in &fleet.daemons {
            callers.push(daemon.address("callers").await);
        }
        let until = Instant::now() + PLAY_TIME;
        let mut shared = self.guilty_with.to_vec();
        shared.push(GUILTY_PART);
        let guilty =
            tokio::spawn(send_guilty(callers.clone(), shared, self.guilty_interval, until));
        let sound = tokio::spawn(send_sound(callers, until));
        while !sound.is_finished() {
            fleet.restart_closed_servers().await;
            sleep(RESTART_INTERVAL).await;
        }
        guilty.await.expect("all guilty prompts are sent");
        let known_at = self.judge_guilty(&fleet);
        self.judge_sound(&fleet, sound.await.expect("all sound prompts are sent"), known_at).await;
    }

    /// Returns when the part was known at all hosts.
    fn judge_guilty(&self, fleet: &CrashFleet) -> Instant {
        let mut runs: Vec<Instant> = fleet.all_servers().flat_map(guilty_runs).collect();
        runs.sort_unstable();
        let mut crashes: Vec<Instant> = fleet
            .all_servers()
            .filter_map(|server| guilty_runs(server).into_iter().min())
            .collect();
        crashes.sort_unstable();
        let (name, ended) = (self.name, crashes.len());
        assert!(KNOWN_CRASHES <= ended, "{name}: only {ended} engines ended");
        let known_at = crashes[KNOWN_CRASHES - 1] + CRASH_DELAY + CONTACT_TIME;
        let late = runs.iter().filter(|at| known_at < **at).count();
        assert!(late <= MAX_LATE_SENDS, "{name}: {late} sends later, {ended} engines ended");
        known_at
    }

    async fn judge_sound(&self, fleet: &CrashFleet, sent: Vec<SentPrompt>, known_at: Instant) {
        let (mut count, mut served) = (0, 0);
        for prompt in sent {
            let status = prompt.task.await.expect("a finished task");
            if known_at < prompt.sent {
                count += 1;
                served += usize::from(status == 200);
            }
        }
        let failures = fleet.daemons.iter().flat_map(|daemon| daemon.events("request_failed"));
        let refused = failures.filter(|line| {
            let id = line["id"].as_str().unwrap_or_default();
            line["error"] == "crashing_request" && id.starts_with("sound")
        });
        let (name, refused) = (self.name, refused.count());
        assert_eq!(refused, 0, "{name}: sound prompts refused");
        let needed = MIN_SERVED_SHARE * count as f64;
        assert!(needed <= served as f64, "{name}: {served} of {count} sound prompts served");
    }
}

fn guilty_runs(server: &FakeServer) -> Vec<Instant> {
    let seen = server.seen();
    let guilty = seen.iter().filter(|request| request.shared_parts().contains(&GUILTY_PART));
    guilty.map(|request| request.at).collect()
}

/// Guards against a part of prompts, no two alike, that crashes one engine after the other: each request is new.
#[tokio::test]
async fn a_part_that_crashes_engines_reaches_no_further_engine() {
    let case = PartCase {
        name: "a part after the common one",
        guilty_with: &[COMMON_PART],
        guilty_interval: Duration::from_millis(250),
    };
    case.check().await;
}

/// Guards against the same where the guilty part comes first, so that its place in the cache says nothing.
#[tokio::test]
async fn a_first_part_that_crashes_engines_reaches_no_further_engine() {
    let case = PartCase {
        name: "a first part",
        guilty_with: &[],
        guilty_interval: Duration::from_millis(100),
    };
    case.check().await;
}
