//! Since when weights are outdated, as known to a host that did not read each version as it was named.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;

const NOW: BootTime = BootTime(100_000);
/// Any age below this is within the bound of some deployment.
const MAX_BOUND: Duration = Duration::from_secs(8);

/// A host lists the newest of several versions and is told its age. Guards against taking that age for the time since
/// the first one, which the host has never read.
#[test]
fn the_age_of_the_newest_version_says_nothing_about_earlier_ones() {
    let model = ModelName::new("m");
    let mut weights = WeightsTable::default();
    weights.add_target(&model, WeightsVersion(5), BootTime::default());
    weights.set_reported_age(&model, WeightsVersion(5), Duration::from_secs(1), NOW);
    for version in 1..4 {
        let age = weights.outdated_for(&model, WeightsVersion(version), NOW);
        assert!(MAX_BOUND <= age, "version {version} counts as outdated for {age:?}");
    }
}

/// Guards against counting from the boot of the machine where the age of a version is not known: right after a boot
/// weights of any age would seem young.
#[test]
fn weights_of_unknown_age_are_old_also_right_after_a_boot() {
    let model = ModelName::new("m");
    let mut weights = WeightsTable::default();
    weights.add_target(&model, WeightsVersion(2), BootTime::default());
    let age = weights.outdated_for(&model, WeightsVersion(1), BootTime(500));
    assert!(MAX_BOUND <= age, "{age:?}");
}
