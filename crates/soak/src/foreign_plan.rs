//! Entries that no part of the system has written, in the list of servers.

use std::time::Duration;

use fulmargate_consortium_stand::StoreTopic;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::FaultPlan;
use crate::FaultStep;
use crate::SoakFault;
use crate::soak_world::SoakWorld;

/// Times that entries are written in a run that is drawn for them.
const WRITES: usize = 3;
/// Entries of one write: more than a page of a listing holds.
const ENTRIES: usize = 550;
/// Bytes of a large entry. A page has five.
const LARGE_BYTES: usize = 200_000;
const LARGE_ENTRIES: usize = 60;
/// All routers are killed this long after entries were written.
const KILLED_AFTER_MS: std::ops::RangeInclusive<u64> = 100..=1_500;
/// How long they are down.
const DOWN_MS: std::ops::RangeInclusive<u64> = 200..=1_000;
/// Nothing is written before.
const CALM_START_MS: u64 = 500;
/// Keeps these draws from those of other kinds.
const FOREIGN_DRAWS: u64 = 0x666f_7265;

/// What foreign entries look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignShape {
    /// Keys with characters that have a meaning in a call of the store.
    EncodedKeys,
    /// Keys that are not UTF-8.
    BinaryKeys,
    /// Values of many bytes.
    LargeValues,
    /// Entries of a server that no one is at.
    WellFormed,
}

const SHAPES: [ForeignShape; 4] = [
    ForeignShape::EncodedKeys,
    ForeignShape::BinaryKeys,
    ForeignShape::LargeValues,
    ForeignShape::WellFormed,
];

impl FaultPlan {
    /// Beside all else foreign entries are written to the list of servers, and all routers killed soon after.
    pub fn with_foreign_entries(mut self, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ FOREIGN_DRAWS);
        let mut push = |at: u64, lasts: u64, fault: SoakFault| {
            let (at, lasts) = (Duration::from_millis(at), Duration::from_millis(lasts));
            self.steps.push(FaultStep { at, lasts, fault });
        };
        for number in 0..WRITES {
            let at = rng.random_range(CALM_START_MS..length.as_millis() as u64);
            let shape = SHAPES[rng.random_range(0..SHAPES.len())];
            push(at, 0, SoakFault::ForeignEntries(number, shape));
            let killed_at = at + rng.random_range(KILLED_AFTER_MS);
            push(killed_at, rng.random_range(DOWN_MS), SoakFault::KillAll);
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }
}

/// Writes foreign entries. Their keys stand before those of all servers.
pub(crate) fn write_foreign_entries(world: &SoakWorld, number: usize, shape: ForeignShape) {
    let count = if shape == ForeignShape::LargeValues { LARGE_ENTRIES } else { ENTRIES };
    let nobody = "127.0.0.1:9".parse().expect("an address");
    for entry in 0..count {
        let key = match shape {
            ForeignShape::EncodedKeys => format!("a{number}&b=%21#+{entry:04}").into_bytes(),
            ForeignShape::BinaryKeys => {
                [b"a\xff", format!("{number}{entry:04}").as_bytes(), b"\xfe"].concat()
            }
            ForeignShape::LargeValues | ForeignShape::WellFormed => {
                format!("a{number}-{entry:04}").into_bytes()
            }
        };
        match shape {
            ForeignShape::WellFormed => {
                let name = String::from_utf8_lossy(&key);
                let service = if entry % 2 == 0 { "desk" } else { "engines" };
                world.store.put_server(&name, service, nobody, "ready");
            }
            ForeignShape::LargeValues => {
                let value = vec![b'x'; LARGE_BYTES];
                world.store.put_foreign(StoreTopic::Servers, &key, &value);
            }
            ForeignShape::EncodedKeys | ForeignShape::BinaryKeys => {
                world.store.put_foreign(StoreTopic::Servers, &key, b"{}");
            }
        }
    }
}
