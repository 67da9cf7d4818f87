//! The fold over a stream of leases.

use fulmargate_fleet::LONGEST_TTL_MS;
use fulmargate_fleet::LeaseChange;
use fulmargate_fleet::LeaseFold;
use fulmargate_fleet::LeaseHolder;
use fulmargate_fleet::LeaseRecord;
use fulmargate_names::ConfigVersion;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const TTL_MS: u64 = 6_000;
const SEEDS: u64 = 60;

fn holder(host: &str) -> LeaseHolder {
    LeaseHolder { host: HostName::new(host), incarnation: Incarnation(1) }
}

fn take(host: &str) -> LeaseRecord {
    LeaseRecord::Take { holder: holder(host), ttl_ms: TTL_MS, config: ConfigVersion(1) }
}

fn renew(host: &str, fence: u64, config: u64) -> LeaseRecord {
    LeaseRecord::Renew {
        holder: holder(host),
        fence: FencingNumber(fence),
        ttl_ms: TTL_MS,
        config: ConfigVersion(config),
    }
}

fn give_up(host: &str, fence: u64) -> LeaseRecord {
    LeaseRecord::GiveUp { holder: holder(host), fence: FencingNumber(fence) }
}

/// Records with their log times, what each does, and who holds the lease under which number then.
struct FoldCase {
    what: &'static str,
    records: Vec<(u64, LeaseRecord, LeaseChange)>,
    held: Option<(&'static str, u64)>,
}

impl FoldCase {
    fn check(&self) {
        let mut fold = LeaseFold::default();
        for (offset, (time_ms, record, change)) in self.records.iter().enumerate() {
            let done = fold.apply(LogOffset(offset as u64), *time_ms, &record.to_data());
            assert_eq!(done, *change, "{}: record {offset}", self.what);
        }
        let held = fold.held().map(|held| (held.holder.host.as_str(), held.fence.0));
        assert_eq!(held, self.held, "{}", self.what);
    }
}

#[test]
fn the_lower_offset_wins() {
    use LeaseChange::*;
    let cases = [
        FoldCase {
            what: "the second of two takes is void",
            records: vec![(0, take("a"), Taken), (1, take("b"), Void)],
            held: Some(("a", 1)),
        },
        FoldCase {
            what: "a take at the very end of the lease is void, one after it wins",
            records: vec![
                (0, take("a"), Taken),
                (TTL_MS, take("b"), Void),
                (TTL_MS + 1, take("c"), Taken),
            ],
            held: Some(("c", 3)),
        },
        FoldCase {
            what: "a renewal prolongs",
            records: vec![
                (0, take("a"), Taken),
                (TTL_MS, renew("a", 1, 1), Renewed),
                (TTL_MS + 1, take("b"), Void),
            ],
            held: Some(("a", 1)),
        },
        FoldCase {
            what: "a renewal that comes late is void, even while nobody took the lease",
            records: vec![(0, take("a"), Taken), (TTL_MS + 1, renew("a", 1, 1), Void)],
            held: Some(("a", 1)),
        },
        FoldCase {
            what: "a renewal with another lease's number is void",
            records: vec![
                (0, take("a"), Taken),
                (TTL_MS + 1, take("a"), Taken),
                (TTL_MS + 2, renew("a", 1, 1), Void),
            ],
            held: Some(("a", 2)),
        },
        FoldCase {
            what: "a lease that was given up may be taken at once",
            records: vec![
                (0, take("a"), Taken),
                (1, give_up("b", 1), Void),
                (2, give_up("a", 1), GivenUp),
                (3, take("b"), Taken),
            ],
            held: Some(("b", 4)),
        },
    ];
    cases.iter().for_each(FoldCase::check);
}

#[test]
fn the_newest_configuration_named_by_a_holder_counts() {
    let mut fold = LeaseFold::default();
    fold.apply(LogOffset(0), 0, &take("a").to_data());
    fold.apply(LogOffset(1), 1, &renew("a", 1, 7).to_data());
    fold.apply(LogOffset(2), 2, &renew("b", 1, 9).to_data());
    fold.apply(LogOffset(3), 3, &renew("a", 1, 5).to_data());
    assert_eq!(fold.config(), ConfigVersion(7));
}

#[test]
fn what_cannot_be_read_does_nothing() {
    let mut fold = LeaseFold::default();
    assert_eq!(fold.apply(LogOffset(0), 0, "{\"kind\":\"other\"}"), LeaseChange::Void);
    assert_eq!(fold.apply(LogOffset(0), 0, &take("a").to_data()), LeaseChange::Void);
    assert_eq!(fold.next(), LogOffset(1));
}

/// Two readers would name two holders, and both would give orders. A reader whose beginning of the
/// stream was lost to retention meets a take without knowing whether a lease was in force: it must
/// never hold a take valid that a reader of the whole stream holds void. Histories are drawn by
/// chance; holders renew as they do in use, and records of lapsed holders come late.
#[test]
fn a_reader_with_a_gap_agrees_on_each_take() {
    let mut judged = 0;
    for seed in 0..SEEDS {
        let history = draw_history(&mut Gen::from_size_and_seed(50, seed));
        for start in (1..history.len() / 2).step_by(5) {
            let mut whole = LeaseFold::default();
            let mut late = LeaseFold::default();
            for (offset, (time_ms, data)) in history.iter().enumerate() {
                let offset = LogOffset(offset as u64);
                let truth = whole.apply(offset, *time_ms, data);
                if offset.0 < start as u64 {
                    continue;
                }
                let said = late.apply(offset, *time_ms, data);
                if said == LeaseChange::Taken {
                    judged += 1;
                    assert_eq!(truth, said, "seed {seed}, read from {start}, offset {offset}");
                }
            }
        }
    }
    assert!(1_000 < judged, "only {judged} takes were judged after a gap");
}

/// About 200 records of three hosts, the holder among them renewing in time or falling silent.
fn draw_history(random: &mut Gen) -> Vec<(u64, String)> {
    let mut fold = LeaseFold::default();
    let mut history = Vec::new();
    let mut old_renewal = None;
    let mut time_ms = 0;
    for offset in 0..200 {
        let held = fold.held().filter(|held| time_ms <= held.until_ms).cloned();
        let host = ["a", "b", "c"][usize::arbitrary(random) % 3];
        let record = match (u8::arbitrary(random) % 8, held) {
            (0 | 1, _) | (_, None) => take(host),
            (2, Some(held)) => match old_renewal.take() {
                Some(late) => late,
                None => renew(held.holder.host.as_str(), held.fence.0, 1),
            },
            (3, Some(held)) if host == "a" => give_up(held.holder.host.as_str(), held.fence.0),
            (_, Some(held)) => renew(held.holder.host.as_str(), held.fence.0, 1),
        };
        if let LeaseRecord::Renew { .. } = &record
            && bool::arbitrary(random)
        {
            old_renewal = Some(record.clone());
        }
        let data = record.to_data();
        fold.apply(LogOffset(offset), time_ms, &data);
        history.push((time_ms, data));
        // A holder renews thrice in its lease, so that a pause ends it seldom.
        let is_pause = u8::arbitrary(random) % 16 == 0;
        time_ms += if is_pause { TTL_MS + 500 } else { 1 + u64::arbitrary(random) % (TTL_MS / 3) };
    }
    assert!(LONGEST_TTL_MS * 2 < time_ms);
    history
}
