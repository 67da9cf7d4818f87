//! The museum shop.

use super::plan::Deployment;
use super::plan::DeploymentSeed;
use super::plan::ServiceCall;
use super::plan::TeamClass::Batch;
use super::plan::TeamClass::Urgent;
use super::plan::TeamSize::Large;
use super::plan::TeamSize::Small;

impl Deployment {
    /// The museum shop: assistants are urgent, describers may wait, the storefront charges and
    /// reserves through the plain service.
    pub fn shop() -> Deployment {
        Deployment::from_seed(DeploymentSeed {
            name: "shop",
            zones: ["milano-nord", "brescia-est", "pavia-sud"],
            model: "shop-model",
            service: "checkout",
            calls: vec![
                ServiceCall { method: "POST", path: "/charge", repeatable: false },
                ServiceCall { method: "POST", path: "/reserve", repeatable: false },
                ServiceCall { method: "POST", path: "/quote", repeatable: true },
            ],
            teams: [
                ("brera-assistant", Urgent, Large),
                ("brera-describer", Batch, Large),
                ("storefront", Urgent, Large),
                ("carrara-assistant", Urgent, Small),
                ("carrara-describer", Batch, Small),
                ("sforzesco-assistant", Urgent, Small),
                ("malaspina-describer", Batch, Small),
                ("tosio-assistant", Urgent, Small),
            ],
            load_ms: 333,
        })
    }
}
