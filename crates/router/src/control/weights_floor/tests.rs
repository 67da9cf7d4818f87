use fulmargate_names::WeightsVersion;

use super::WeightsFloor;

/// What is wanted and what servers tell (0 for nothing yet), step by step, and the oldest weights
/// that may answer after each.
struct FloorCase {
    what: &'static str,
    steps: &'static [(u64, &'static [u64], u64)],
}

impl FloorCase {
    fn check(&self) {
        let mut floor = WeightsFloor::default();
        for (number, (wanted, told, oldest)) in self.steps.iter().enumerate() {
            let told: Vec<Option<WeightsVersion>> =
                told.iter().map(|told| (0 < *told).then_some(WeightsVersion(*told))).collect();
            let found = floor.step(WeightsVersion(*wanted), &told);
            assert_eq!(found, WeightsVersion(*oldest), "{}: step {number}", self.what);
        }
    }
}

#[test]
fn older_weights_answer_until_most_servers_have_the_wanted_ones() {
    let cases = [
        FloorCase {
            what: "a rollout",
            steps: &[
                (1, &[1, 1, 1, 1], 1),
                (2, &[1, 1, 1, 1], 1),
                (2, &[2, 1, 1, 1], 1),
                (2, &[2, 2, 1, 1], 1),
                (2, &[2, 2, 2, 1], 2),
                (2, &[2, 2, 2, 2], 2),
            ],
        },
        FloorCase { what: "nothing told yet", steps: &[(2, &[0, 0], 0), (2, &[], 0)] },
        FloorCase {
            what: "servers that restart with older weights",
            steps: &[(2, &[2, 2, 2, 2], 2), (2, &[1, 1, 1, 2], 2)],
        },
        FloorCase {
            what: "a rollback lets older weights answer at once",
            steps: &[(2, &[2, 2], 2), (1, &[2, 2], 1), (1, &[1, 2], 1)],
        },
        FloorCase {
            what: "servers ahead of the wanted weights have them",
            steps: &[(2, &[3, 3, 2, 2], 2)],
        },
    ];
    cases.iter().for_each(FloorCase::check);
}
