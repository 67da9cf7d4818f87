//! When the records of a read were written at the earliest.

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::TopicProof;
use fulmargate_dispatch::TopicRead;

/// What happens to a reader; times in milliseconds.
#[derive(Clone, Copy)]
enum Step {
    /// Sent and received, with the time until which it proves that nothing is missing.
    Read(u64, u64, Option<u64>),
    Failure,
}

struct ProofCase {
    name: &'static str,
    steps: &'static [Step],
    /// The read with the records: sent and received.
    read: (u64, u64),
    written_after: Option<u64>,
}

const CASES: &[ProofCase] = &[
    ProofCase {
        name: "the first listing proves nothing about its records",
        steps: &[],
        read: (1_000, 1_010),
        written_after: None,
    },
    ProofCase {
        name: "records that arrive soon after the last proof were written just now",
        steps: &[Step::Read(1_000, 1_805, Some(1_800))],
        read: (1_805, 2_200),
        written_after: Some(2_200),
    },
    ProofCase {
        name: "an answer in time may have been on its way for a while",
        steps: &[Step::Read(1_000, 1_805, Some(1_000))],
        read: (1_805, 2_600),
        written_after: Some(1_600),
    },
    ProofCase {
        name: "the host was suspended while the records waited to be received",
        steps: &[Step::Read(1_000, 1_805, Some(1_800))],
        read: (1_805, 6_000),
        written_after: Some(1_800),
    },
    ProofCase {
        name: "the host was suspended while an empty answer waited to be received",
        steps: &[Step::Read(1_000, 1_805, Some(1_800)), Step::Read(1_805, 6_000, Some(2_605))],
        read: (6_000, 6_004),
        written_after: Some(2_605),
    },
    ProofCase {
        name: "a page before the last one proves nothing",
        steps: &[
            Step::Read(1_000, 1_805, Some(1_800)),
            Step::Failure,
            Step::Read(7_000, 7_020, None),
        ],
        read: (7_020, 7_040),
        written_after: Some(1_800),
    },
    ProofCase {
        name: "a read that failed, without a page in between",
        steps: &[Step::Read(1_000, 1_805, Some(1_800)), Step::Failure],
        read: (7_000, 7_020),
        written_after: Some(1_800),
    },
    ProofCase {
        name: "a read in time after a failure",
        steps: &[
            Step::Read(1_000, 1_805, Some(1_800)),
            Step::Failure,
            Step::Read(7_000, 7_020, Some(7_000)),
        ],
        read: (7_020, 7_100),
        written_after: Some(7_100),
    },
    ProofCase {
        name: "a zone reader that is behind",
        steps: &[Step::Read(3_000, 3_900, Some(2_000))],
        read: (3_900, 4_400),
        written_after: Some(2_600),
    },
    ProofCase {
        name: "an older proof takes nothing back",
        steps: &[Step::Read(1_000, 1_805, Some(1_800)), Step::Read(1_805, 1_900, Some(900))],
        read: (1_900, 2_000),
        written_after: Some(2_000),
    },
];

/// Guards against records that seem younger than they are: the host was suspended, read a backlog in several pages, or
/// read through a host that was behind.
#[test]
fn records_are_no_younger_than_the_last_proof_allows() {
    for case in CASES {
        let mut proof = TopicProof::default();
        for step in case.steps {
            match step {
                Step::Read(sent, received, complete_until) => {
                    let complete_until = complete_until.map(BootTime);
                    proof.record_read(topic_read(*sent, *received), complete_until);
                }
                Step::Failure => proof.record_failure(),
            }
        }
        let (sent, received) = case.read;
        let written_after = proof.written_after(topic_read(sent, received));
        assert_eq!(written_after, case.written_after.map(BootTime), "{}", case.name);
    }
}

fn topic_read(sent: u64, received: u64) -> TopicRead {
    TopicRead { sent: BootTime(sent), received: BootTime(received) }
}
