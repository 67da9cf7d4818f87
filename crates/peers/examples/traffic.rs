//! Measures traffic and propagation times for several fleet sizes, simulated on a virtual clock.
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

const WARM_UP_S: u64 = 60;
const MEASUREMENT_S: u64 = 120;
/// Repetitions of each time measurement.
const REPETITIONS: usize = 5;
/// Larger fleets are distributed over ten zones.
const MAX_HOSTS_IN_THREE_ZONES: usize = 24;
/// Estimated overhead of IP, TCP and HTTP/2 per frame.
const ESTIMATED_FRAME_OVERHEAD_BYTES: u64 = 66;
/// Traffic budget of one host.
const BUDGET_BYTES_PER_S: f64 = 21_000.0;

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![6, 24, 96] } else { sizes };
    let results: Vec<(f64, f64)> =
        sizes.iter().map(|&hosts| (hosts as f64, measure(hosts))).collect();
    for pair in results.windows(2) {
        let (hosts, bytes) = (pair[1].0 - pair[0].0, pair[1].1 - pair[0].1);
        println!(
            "slope {} to {} hosts: {:.1} bytes/s per host for each additional host",
            pair[0].0,
            pair[1].0,
            bytes / hosts
        );
    }
}

fn measure(hosts: usize) -> f64 {
    let zones = if hosts <= MAX_HOSTS_IN_THREE_ZONES { 3 } else { 10 };
    let started = std::time::Instant::now();
    let mut net = SimNet::new(hosts, zones, 1);
    let joined = net.run_until(300_000, SimNet::all_alive);
    net.run(WARM_UP_S * 1_000);
    println!("\n== {hosts} hosts in {zones} zones ==");
    println!(
        "all hosts started at once, full membership on all hosts: {}",
        format_duration(joined)
    );
    let bytes = measure_bytes(&mut net, zones);
    report_resource_usage(&net, started.elapsed().as_secs_f64());
    measure_times(&mut net, zones);
    println!("elapsed real time: {:.1} s", started.elapsed().as_secs_f64());
    bytes
}

/// Reports CPU time and memory per host, including those of the simulation itself.
fn report_resource_usage(net: &SimNet, real_s: f64) {
    let simulated_s = (net.now_ms - SimNet::START_MS) as f64 / 1_000.0;
    let per_host_s = real_s / simulated_s / net.nodes.len() as f64;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages: u64 =
        statm.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let per_host_kb = resident_pages * 4 / net.nodes.len() as u64;
    println!(
        "including the simulation: {:.0} us of CPU time per host and second, {per_host_kb} KB per host",
        per_host_s * 1e6
    );
}

/// Simulates the load expected at 740 hosts, scaled to the fleet size: 1,000 each of host restarts,
/// leaving servers and new servers a day. Adds 0.19 configuration changes per second and the items
/// that every host publishes regularly.
fn measure_bytes(net: &mut SimNet, zones: usize) -> f64 {
    let hosts = net.nodes.len();
    let mut rng = StdRng::seed_from_u64(2);
    let before = totals(net);
    let frames = frame_total(net);
    let changes_per_s = 1_000.0 / 86_400.0 * hosts as f64 / 740.0;
    let mut version = 1;
    for second in 0..MEASUREMENT_S {
        if rng.random_bool(0.19) {
            version += 1;
            net.apply_config(rng.random_range(0..hosts), version);
        }
        if rng.random_bool(changes_per_s) {
            net.restart(rng.random_range(0..hosts));
        }
        if rng.random_bool(changes_per_s) {
            let server = ServerName::new(&format!("engine-{}", rng.random_range(0..12_000)));
            let incarnation = Incarnation(1_700_000_000_000 + second);
            net.publish(
                rng.random_range(0..hosts),
                PeerItem::ServerLeaving { server, incarnation },
            );
        }
        if rng.random_bool(changes_per_s) {
            let server = ServerName::new(&format!("engine-{}", rng.random_range(0..12_000)));
            let incarnation = Incarnation(1_700_000_000_000 + second);
            net.publish(rng.random_range(0..hosts), PeerItem::ServerSeen { server, incarnation });
        }
        publish_periodic_items(net, zones, second, &mut rng);
        net.run(1_000);
    }
    report_bytes(net, &before, frames)
}

/// Each host publishes the usage of 16 teams every second, and every 5 s the location of 16 of the
/// 64 hot prefixes of its zone, a tenth of which change every 10 s.
fn publish_periodic_items(net: &mut SimNet, zones: usize, second: u64, rng: &mut StdRng) {
    for index in net.running() {
        let host = net.nodes[index].conf.host.clone();
        let teams = (0..16).map(|_| TeamRate {
            team: TeamName::new(&format!("team-{}", rng.random_range(0..40))),
            milli_requests_per_s: rng.random_range(1_000..100_000),
            tokens_per_s: rng.random_range(1_000..400_000),
        });
        let teams = teams.collect();
        net.publish(index, PeerItem::TeamUsage { host, teams });
        if !(second + index as u64).is_multiple_of(5) {
            continue;
        }
        for _ in 0..16 {
            let slot = rng.random_range(0..64u64);
            let generation = second / 10 + slot / 7;
            let prefix =
                PromptHash(((slot << 32) | (generation / 10)).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let server = ServerName::new(&format!("engine-{}-{slot}", index % zones));
            net.publish(
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
    let per_host = |bytes: u64| bytes as f64 / MEASUREMENT_S as f64 / net.nodes.len() as f64;
    println!("{:<18}{:>12}{:>12}", "bytes/s per host", "sent", "received");
    let (mut sent, mut received) = (0.0, 0.0);
    for (row, previous) in totals(net).iter().zip(before) {
        let (sent_per_s, received_per_s) =
            (per_host(row.sent - previous.sent), per_host(row.received - previous.received));
        sent += sent_per_s;
        received += received_per_s;
        println!("{:<18}{sent_per_s:>12.1}{received_per_s:>12.1}", row.kind.name());
    }
    let frames = per_host(frame_total(net) - frames_before);
    let total = sent + received;
    let total_with_overhead = total + 2.0 * frames * ESTIMATED_FRAME_OVERHEAD_BYTES as f64;
    println!("{:<18}{sent:>12.1}{received:>12.1}", "all");
    println!(
        "frames/s sent {frames:.1}; both directions {total:.0} bytes/s, with {ESTIMATED_FRAME_OVERHEAD_BYTES} bytes of overhead per frame {total_with_overhead:.0}: {:.0}% of {BUDGET_BYTES_PER_S}",
        100.0 * total_with_overhead / BUDGET_BYTES_PER_S
    );
    total_with_overhead
}

fn measure_times(net: &mut SimNet, zones: usize) {
    let hosts = net.nodes.len();
    net.run(30_000);
    let mut leaving_times = Vec::new();
    let mut config_times = Vec::new();
    for repetition in 0..REPETITIONS {
        let server = ServerName::new(&format!("leaving-{repetition}"));
        let item = PeerItem::ServerLeaving { server, incarnation: Incarnation(1) };
        let all_hosts = net.running();
        net.publish(repetition % hosts, item.clone());
        leaving_times.push(net.run_until(60_000, |net| {
            net.all_have_item(&all_hosts, |held_item| *held_item == item)
        }));
        net.apply_config((repetition + 1) % hosts, 1_000 + repetition as u64);
        config_times
            .push(net.run_until(60_000, |net| net.all_have_config(1_000 + repetition as u64)));
        net.run(2_000);
    }
    println!("leaving server known on all hosts: {}", summarize_durations(&leaving_times));
    println!("configuration active on all hosts: {}", summarize_durations(&config_times));
    net.kill(hosts - 1);
    println!(
        "killed host gone on all hosts: {}",
        format_duration(
            net.run_until(120_000, |net| net.all_see_state(hosts - 1, MemberState::Gone))
        )
    );
    net.restart(hosts - 1);
    println!(
        "restarted host alive on all hosts: {}",
        format_duration(net.run_until(120_000, SimNet::all_alive))
    );
    net.run(20_000);
    measure_partition(net, zones);
    net.run(20_000);
    (0..hosts).for_each(|index| net.restart(index));
    println!(
        "all hosts restarted, full membership on all hosts: {}",
        format_duration(net.run_until(300_000, SimNet::all_alive))
    );
}

fn measure_partition(net: &mut SimNet, zones: usize) {
    let inside = net.zone_hosts(&format!("zone-{}", zones - 1));
    let outside: Vec<usize> =
        net.running().into_iter().filter(|index| !inside.contains(index)).collect();
    net.block_both(&inside, &outside);
    net.run(600_000);
    let seen_as_gone = inside
        .iter()
        .filter(|&&index| net.state(outside[0], index) == Some(MemberState::Gone))
        .count();
    net.heal();
    let healed = net.run_until(300_000, SimNet::all_alive);
    println!(
        "zone partitioned for 600 s: {seen_as_gone} of {} seen as gone; all alive after healing: {}",
        inside.len(),
        format_duration(healed)
    );
}

fn format_duration(duration_ms: Option<u64>) -> String {
    duration_ms.map_or("timed out".to_owned(), |ms| format!("{:.2} s", ms as f64 / 1_000.0))
}

fn summarize_durations(times: &[Option<u64>]) -> String {
    let completed: Vec<u64> = times.iter().copied().flatten().collect();
    let timed_out = times.len() - completed.len();
    let mean = completed.iter().sum::<u64>() as f64 / completed.len().max(1) as f64 / 1_000.0;
    let worst = completed.iter().max().copied().unwrap_or(0) as f64 / 1_000.0;
    format!("mean {mean:.2} s, worst {worst:.2} s of {} ({timed_out} timed out)", times.len())
}
