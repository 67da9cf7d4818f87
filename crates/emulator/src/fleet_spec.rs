//! The fleet that is played.

/// Sizes and rates. The default is the users' third deployment.
#[derive(Clone, Copy, Debug)]
pub struct FleetSpec {
    /// Engines.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub cache_tokens: u64,
    /// Tokens that the store of cached prompts holds.
    pub store_tokens: u64,
    /// Tokens of a prompt that are read in one step.
    pub chunk: f64,
    /// Tokens read in a millisecond.
    pub read_rate: f64,
    /// A step without reading, in milliseconds.
    pub step_ms: f64,
    /// And more for each request that runs.
    pub slot_ms: f64,
    /// Reading a million pairs of tokens takes this long, in milliseconds.
    pub pairs_ms: f64,
    /// Tokens that an event carries.
    pub event_tokens: u32,
    /// Between a request's first token and its first event, in milliseconds.
    pub first_ms: f64,
    /// Milliseconds that loading weights takes.
    pub load_ms: f64,
    /// Engines that load at once without slowing each other.
    pub loads_at_once: usize,
    /// Megabits a second of an engine's link.
    pub link_mbps: f64,
    /// Length of the day in seconds.
    pub length_s: f64,
}

impl Default for FleetSpec {
    fn default() -> FleetSpec {
        FleetSpec {
            engines: 18,
            routers: 8,
            slots: 64,
            cache_tokens: 185_014,
            store_tokens: 4_576_894,
            chunk: 1_024.0,
            read_rate: 49.6,
            step_ms: 5.18,
            slot_ms: 0.0367,
            pairs_ms: 0.368,
            event_tokens: 4,
            first_ms: 16.0,
            load_ms: 570.0,
            loads_at_once: 3,
            link_mbps: 550_000.0,
            length_s: 34.0,
        }
    }
}

impl FleetSpec {
    /// The same customer at a larger size: many routers, engines with few slots.
    pub fn grown() -> FleetSpec {
        FleetSpec {
            engines: 112,
            routers: 90,
            slots: 12,
            cache_tokens: 171_170,
            loads_at_once: 22,
            length_s: 8.0,
            ..FleetSpec::default()
        }
    }

    /// How much more traffic there is than on the small fleet.
    pub(crate) fn load_factor(&self) -> f64 {
        self.engines as f64 / FleetSpec::default().engines as f64
    }
}
