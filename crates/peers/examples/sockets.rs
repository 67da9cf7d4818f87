//! Measures the overhead of HTTP/2 links: bytes at the sockets compared with bytes of frames.
//!
//! `cargo run --release -p fulmargate-peers --example sockets -- 6 24`

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ZoneName;
use fulmargate_peers::PeerConf;
use fulmargate_peers::PeerHandle;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNet;
use fulmargate_peers::PeerPace;
use tokio_util::sync::CancellationToken;

const WARM_UP: Duration = Duration::from_secs(5);
const MEASUREMENT_S: u64 = 30;

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![6, 24] } else { sizes };
    for hosts in sizes {
        actix_rt::System::new().block_on(measure(hosts));
    }
}

async fn measure(count: usize) {
    let token = CancellationToken::new();
    let mut hosts: Vec<PeerHandle> = Vec::new();
    for index in 0..count {
        let seeds: Vec<SocketAddr> = hosts.iter().map(PeerHandle::address).take(3).collect();
        let (handle, mut news) =
            PeerNet::start(&conf(index, seeds), token.clone()).expect("a free port");
        actix_rt::spawn(async move { while news.recv().await.is_some() {} });
        hosts.push(handle);
    }
    tokio::time::sleep(WARM_UP).await;
    let member_counts: Vec<usize> = hosts.iter().map(|host| host.members().len()).collect();
    println!(
        "\n== {count} hosts: {:?} to {:?} known members ==",
        member_counts.iter().min(),
        member_counts.iter().max()
    );
    let before = totals(&hosts);
    let started = std::time::Instant::now();
    for second in 0..MEASUREMENT_S {
        if second % 5 == 0 {
            hosts.iter().for_each(|handle| publish_version(handle, second));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let per_host_s = started.elapsed().as_secs_f64() * count as f64;
    let after = totals(&hosts);
    let labels = [
        "frame bytes sent",
        "frames sent",
        "wire bytes sent",
        "wire bytes received",
        "links opened",
    ];
    for ((label, after), before) in labels.iter().zip(&after).zip(&before) {
        println!("{label:<20} {:>10.2} per second and host", (after - before) as f64 / per_host_s);
    }
    let overhead = (after[2] - before[2]) as f64 - (after[0] - before[0]) as f64;
    println!(
        "HTTP/2 overhead      {:>10.2} bytes per frame",
        overhead / (after[1] - before[1]) as f64
    );
    token.cancel();
    tokio::time::sleep(Duration::from_millis(100)).await;
}

fn publish_version(handle: &PeerHandle, second: u64) {
    let members = handle.members();
    let own = members.into_iter().find(|member| member.address == handle.address());
    if let Some(own) = own {
        let version = ConfigVersion(second + 1);
        handle.put(PeerItem::ConfigInForce { host: own.host, version });
    }
}

fn totals(hosts: &[PeerHandle]) -> [u64; 5] {
    let mut sums = [0; 5];
    for host in hosts {
        let counters = host.counters();
        sums[0] += counters.rows().iter().map(|row| row.sent).sum::<u64>();
        sums[1] += counters.frames_sent.load(Ordering::Relaxed);
        sums[2] += counters.wire_sent.load(Ordering::Relaxed);
        sums[3] += counters.wire_received.load(Ordering::Relaxed);
        sums[4] += counters.links_opened.load(Ordering::Relaxed);
    }
    sums
}

fn conf(index: usize, seeds: Vec<SocketAddr>) -> PeerConf {
    PeerConf {
        fleet: "sockets".to_owned(),
        host: HostName::new(&format!("entry-host-{index}")),
        incarnation: Incarnation(1_700_000_000_000),
        zone: ZoneName::new(&format!("zone-{}", index % 3)),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertise: None,
        seeds,
        random_seed: index as u64,
        pace: PeerPace::default(),
    }
}
