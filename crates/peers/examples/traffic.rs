//! Bytes and times of the exchange at several sizes of fleet, in one process on a virtual clock.
//!
//! `cargo run --release -p fulmargate-peers --example traffic -- 6 24 96 740`

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::atomic::Ordering;

use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_peers::MemberState;
use fulmargate_peers::PeerItem;
use fulmargate_peers::TeamRate;
use fulmargate_peers::TrafficRow;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::SimNet;

/// Quiet time before a measurement.
const SETTLE_S: u64 = 60;
/// Length of a measurement.
const MEASURE_S: u64 = 120;
/// Repeats of each time measured.
const REPEATS: usize = 5;
/// The sizes of today and of the target: up to here there are three zones, beyond it ten.
const SMALL_FLEET: usize = 24;
/// TCP, IP and h2 around a frame, as an estimate.
const FRAME_OVERHEAD: u64 = 66;
/// The budget of a host.
const BUDGET: f64 = 21_000.0;

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![6, 24, 96] } else { sizes };
    let rows: Vec<(f64, f64)> = sizes.iter().map(|&hosts| (hosts as f64, measure(hosts))).collect();
    for pair in rows.windows(2) {
        let (hosts, bytes) = (pair[1].0 - pair[0].0, pair[1].1 - pair[0].1);
        println!(
            "slope {} to {} hosts: {:.1} bytes/s per host for each host more",
            pair[0].0,
            pair[1].0,
            bytes / hosts
        );
    }
}

fn measure(hosts: usize) -> f64 {
    let zones = if hosts <= SMALL_FLEET { 3 } else { 10 };
    let started = std::time::Instant::now();
    let mut net = SimNet::new(hosts, zones, 1);
    let joined = net.run_until(300_000, SimNet::all_alive);
    net.run(SETTLE_S * 1_000);
    println!("\n== {hosts} hosts in {zones} zones ==");
    println!("all started at once, all known to all: {}", seconds(joined));
    let bytes = measure_bytes(&mut net, zones);
    report_cost(&net, started.elapsed().as_secs_f64());
    measure_times(&mut net, zones);
    println!("real time of this run: {:.1} s", started.elapsed().as_secs_f64());
    bytes
}

/// Time of a core and memory of the whole process, network and codec of the harness included.
fn report_cost(net: &SimNet, real_s: f64) {
    let simulated_s = (net.now_ms - SimNet::START_MS) as f64 / 1_000.0;
    let per_host_s = real_s / simulated_s / net.nodes.len() as f64;
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident: u64 = pages.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let per_host_kb = resident * 4 / net.nodes.len() as u64;
    println!(
        "harness included: {:.0} us of a core for each second of a host, {per_host_kb} KB for each host",
        per_host_s * 1e6
    );
}

/// Changes at the target's rates: 1,000 member changes a day and as many server changes at 740
/// hosts, 0.19 configurations a second, hot items all the time.
fn measure_bytes(net: &mut SimNet, zones: usize) -> f64 {
    let hosts = net.nodes.len();
    let mut rng = StdRng::seed_from_u64(2);
    let before = totals(net);
    let frames = frame_total(net);
    let changes_per_s = 1_000.0 / 86_400.0 * hosts as f64 / 740.0;
    let mut version = 1;
    for second in 0..MEASURE_S {
        if rng.random_bool(0.19) {
            version += 1;
            net.put_config(rng.random_range(0..hosts), version);
        }
        if rng.random_bool(changes_per_s) {
            net.restart(rng.random_range(0..hosts));
        }
        if rng.random_bool(changes_per_s) {
            let server = ServerName::new(&format!("engine-{}", rng.random_range(0..12_000)));
            let incarnation = Incarnation(1_700_000_000_000 + second);
            net.put(rng.random_range(0..hosts), PeerItem::ServerLeaving { server, incarnation });
        }
        if rng.random_bool(changes_per_s) {
            let server = ServerName::new(&format!("engine-{}", rng.random_range(0..12_000)));
            let incarnation = Incarnation(1_700_000_000_000 + second);
            net.put(rng.random_range(0..hosts), PeerItem::ServerSeen { server, incarnation });
        }
        put_hot_items(net, zones, second, &mut rng);
        net.run(1_000);
    }
    report_bytes(net, &before, frames)
}

/// Each host: usage of 16 teams each second; 16 of its zone's 64 hot prefixes each 5 s, a tenth of
/// which changes each 10 s.
fn put_hot_items(net: &mut SimNet, zones: usize, second: u64, rng: &mut StdRng) {
    for index in net.running() {
        let host = net.nodes[index].conf.host.clone();
        let teams = (0..16).map(|_| TeamRate {
            team: TeamName::new(&format!("team-{}", rng.random_range(0..40))),
            milli_requests_per_s: rng.random_range(1_000..100_000),
            tokens_per_s: rng.random_range(1_000..400_000),
        });
        let teams = teams.collect();
        net.put(index, PeerItem::TeamUsage { host, teams });
        if !(second + index as u64).is_multiple_of(5) {
            continue;
        }
        for _ in 0..16 {
            let slot = rng.random_range(0..64u64);
            let generation = second / 10 + slot / 7;
            let prefix =
                PromptHash(((slot << 32) | (generation / 10)).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let server = ServerName::new(&format!("engine-{}-{slot}", index % zones));
            net.put(
                index,
                PeerItem::HotPrefix { prefix, server, incarnation: Incarnation(1_700_000_000_000) },
            );
        }
    }
}

fn totals(net: &SimNet) -> Vec<TrafficRow> {
    let mut sum = net.nodes[0].counters.rows();
    for node in &net.nodes[1..] {
        for (total, row) in sum.iter_mut().zip(node.counters.rows()) {
            total.sent += row.sent;
            total.received += row.received;
        }
    }
    sum
}

fn frame_total(net: &SimNet) -> u64 {
    net.nodes.iter().map(|node| node.counters.frames_sent.load(Ordering::Relaxed)).sum()
}

fn report_bytes(net: &SimNet, before: &[TrafficRow], frames_before: u64) -> f64 {
    let per_host = |bytes: u64| bytes as f64 / MEASURE_S as f64 / net.nodes.len() as f64;
    println!("{:<18}{:>12}{:>12}", "bytes/s per host", "sent", "received");
    let (mut sent, mut received) = (0.0, 0.0);
    for (row, old) in totals(net).iter().zip(before) {
        let (out, back) = (per_host(row.sent - old.sent), per_host(row.received - old.received));
        sent += out;
        received += back;
        println!("{:<18}{out:>12.1}{back:>12.1}", row.kind.name());
    }
    let frames = per_host(frame_total(net) - frames_before);
    let both = sent + received;
    let with_overhead = both + 2.0 * frames * FRAME_OVERHEAD as f64;
    println!("{:<18}{sent:>12.1}{received:>12.1}", "all");
    println!(
        "frames/s sent {frames:.1}; both ways {both:.0} bytes/s, with {FRAME_OVERHEAD} bytes around a frame {with_overhead:.0}: {:.0}% of {BUDGET}",
        100.0 * with_overhead / BUDGET
    );
    with_overhead
}

fn measure_times(net: &mut SimNet, zones: usize) {
    let hosts = net.nodes.len();
    net.run(30_000);
    let mut leaving = Vec::new();
    let mut config = Vec::new();
    for repeat in 0..REPEATS {
        let server = ServerName::new(&format!("leaving-{repeat}"));
        let item = PeerItem::ServerLeaving { server, incarnation: Incarnation(1) };
        let everyone = net.running();
        net.put(repeat % hosts, item.clone());
        leaving.push(net.run_until(60_000, |net| net.all_have(&everyone, |held| *held == item)));
        net.put_config((repeat + 1) % hosts, 1_000 + repeat as u64);
        config.push(net.run_until(60_000, |net| net.all_in_force(1_000 + repeat as u64)));
        net.run(2_000);
    }
    println!("leaving server known to all: {}", spread(&leaving));
    println!("configuration in force on all: {}", spread(&config));
    net.kill(hosts - 1);
    println!(
        "killed host gone for all: {}",
        seconds(net.run_until(120_000, |net| net.all_hold(hosts - 1, MemberState::Gone)))
    );
    net.restart(hosts - 1);
    println!(
        "restarted host alive for all: {}",
        seconds(net.run_until(120_000, SimNet::all_alive))
    );
    net.run(20_000);
    measure_partition(net, zones);
    net.run(20_000);
    (0..hosts).for_each(|index| net.restart(index));
    println!(
        "all restarted, all known to all: {}",
        seconds(net.run_until(300_000, SimNet::all_alive))
    );
}

fn measure_partition(net: &mut SimNet, zones: usize) {
    let inside = net.zone(&format!("zone-{}", zones - 1));
    let outside: Vec<usize> =
        net.running().into_iter().filter(|index| !inside.contains(index)).collect();
    net.cut_both(&inside, &outside);
    net.run(600_000);
    let held_gone = inside
        .iter()
        .filter(|&&index| net.state(outside[0], index) == Some(MemberState::Gone))
        .count();
    net.heal();
    let healed = net.run_until(300_000, SimNet::all_alive);
    println!(
        "zone cut off for 600 s: {held_gone} of {} held gone; all alive after the cut ends: {}",
        inside.len(),
        seconds(healed)
    );
}

fn seconds(took: Option<u64>) -> String {
    took.map_or("not within the limit".to_owned(), |ms| format!("{:.2} s", ms as f64 / 1_000.0))
}

fn spread(times: &[Option<u64>]) -> String {
    let known: Vec<u64> = times.iter().copied().flatten().collect();
    let missing = times.len() - known.len();
    let mean = known.iter().sum::<u64>() as f64 / known.len().max(1) as f64 / 1_000.0;
    let worst = known.iter().max().copied().unwrap_or(0) as f64 / 1_000.0;
    format!(
        "mean {mean:.2} s, worst {worst:.2} s of {} ({missing} not within the limit)",
        times.len()
    )
}
