use fulmargate_names::ServerName;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use super::HeartbeatClock;

/// Minimum time between two heartbeats of a server, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
const SERVERS: usize = 7;
const SEED: u64 = 35;

/// Plays writes and removals of servers. Returns the time and the number of rounds after each.
fn play(steps: &[(u8, u8, u8)]) -> Vec<(u64, u64)> {
    let mut clock = HeartbeatClock::default();
    let mut last_writes = [None; SERVERS];
    let mut now_ms = 0;
    let mut marks = Vec::new();
    for (server, action, pause) in steps {
        now_ms += u64::from(*pause);
        let index = usize::from(*server) % SERVERS;
        let name = ServerName::new(&format!("server-{index}"));
        match (action % 8, last_writes[index]) {
            (0, Some(_)) => {
                clock.remove(&name);
                last_writes[index] = None;
            }
            (_, None) => {
                clock.record_change(&name);
                last_writes[index] = Some(now_ms);
            }
            (_, Some(last)) if last + INTERVAL_MS <= now_ms => {
                clock.record_heartbeat(&name);
                last_writes[index] = Some(now_ms);
            }
            _ => {}
        }
        marks.push((now_ms, clock.rounds()));
    }
    marks
}

/// Servers come and go while others write. Guards against rounds that are shorter than a heartbeat interval, by
/// which a server would be dropped that has not had time to register again.
#[test]
fn rounds_span_heartbeat_intervals() {
    let check = |steps: Vec<(u8, u8, u8)>| {
        let marks = play(&steps);
        marks.iter().enumerate().all(|(index, (from_ms, from))| {
            marks[index..].iter().all(|(to_ms, to)| {
                let full_rounds = (to - from).saturating_sub(1);
                full_rounds * INTERVAL_MS <= to_ms - from_ms
            })
        })
    };
    let gen_steps = Gen::from_size_and_seed(400, SEED);
    QuickCheck::new().rng(gen_steps).tests(400).quickcheck(check as fn(Vec<(u8, u8, u8)>) -> bool);
}
