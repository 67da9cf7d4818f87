//! The streets and events utility.

use super::plan::Deployment;
use super::plan::DeploymentSeed;
use super::plan::ServiceCall;
use super::plan::TeamClass::Batch;
use super::plan::TeamClass::Urgent;
use super::plan::TeamSize::Large;
use super::plan::TeamSize::Small;

impl Deployment {
    /// The utility: long checking prompts that may wait, a desk that answers people, permits and
    /// notices through the plain service.
    pub fn utility() -> Deployment {
        Deployment::from_seed(DeploymentSeed {
            name: "utility",
            zones: ["te-aro-hall", "petone-hall", "porirua-hall"],
            model: "closure-model",
            service: "permits",
            calls: vec![
                ServiceCall { method: "POST", path: "/issue", repeatable: false },
                ServiceCall { method: "POST", path: "/notice", repeatable: false },
                ServiceCall { method: "POST", path: "/preview", repeatable: true },
            ],
            teams: [
                ("closure-checks", Batch, Large),
                ("bus-routes", Batch, Large),
                ("permit-desk", Urgent, Large),
                ("emergency-access", Urgent, Small),
                ("street-events", Batch, Small),
                ("cone-plans", Batch, Small),
                ("notices", Batch, Small),
                ("enquiries", Urgent, Small),
            ],
            load_ms: 450,
        })
    }
}
