//! A class of requests made ready for traffic.

use std::sync::Arc;

use fulmargate_admission::ClassConf;
use fulmargate_config::ClassEntry;
use fulmargate_names::ClassName;
use fulmargate_placement::ClassWeights;

/// A class of requests made ready for traffic.
#[derive(Clone)]
pub(crate) struct ClassRoute {
    pub(crate) conf: Arc<ClassConf>,
    pub(crate) weights: ClassWeights,
}

impl ClassRoute {
    pub(crate) fn new(name: &ClassName, entry: &ClassEntry) -> ClassRoute {
        let conf = ClassConf {
            name: Arc::from(name.as_str()),
            priority: entry.priority,
            deadline: entry.deadline(),
            queue_limit: entry.queue_limit as usize,
        };
        let weights = ClassWeights {
            priority: entry.priority,
            ttft: entry.weight_ttft,
            recompute: entry.weight_recompute,
        };
        ClassRoute { conf: Arc::new(conf), weights }
    }
}
