//! Placement configuration.

/// Placement parameters. See `docs/design/placement.md` for the choice of defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementConf {
    /// Initial estimate of a server's prefill rate, in tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Fixed cost of a request, expressed in prefill tokens.
    pub request_tokens: f64,
    /// Time constant of the demand averages.
    pub demand_window_ms: f64,
    /// Number of servers for a group that has no plan, as a multiple of its share of the fleet.
    pub width_factor: f64,
    /// Minimum number of servers for a group that has no plan; limited by the size of the fleet.
    pub min_width: f64,
    /// Additional servers for a hot prefix, as a multiple of its share of the fleet.
    pub hot_factor: f64,
    /// Weight of recomputation relative to latency, before the class weights are applied.
    pub recompute_price: f64,
    /// Maximum tokens recomputed by detours, as a fraction of all uncached tokens.
    pub detour_share: f64,
    /// Servers with a higher round-trip time are used only if no nearer server is usable.
    pub max_near_ms: f64,
    /// Number of hint table slots, a power of two.
    pub hint_slots: usize,
    /// Settings for importing cached blocks; `None` if the engines do not support it.
    pub import: Option<ImportConf>,
}

impl Default for PlacementConf {
    fn default() -> PlacementConf {
        PlacementConf {
            prefill_tokens_per_ms: 40.0,
            request_tokens: 250.0,
            demand_window_ms: 5_000.0,
            width_factor: 1.5,
            min_width: 12.0,
            hot_factor: 3.0,
            recompute_price: 30.0,
            detour_share: 0.1,
            max_near_ms: 5.0,
            hint_slots: 1 << 16,
            import: None,
        }
    }
}

/// Cost model for importing cached blocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImportConf {
    /// Round-trip time of a lookup at the source, whether or not it has the blocks.
    pub ask_ms: f64,
    /// Import throughput, in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Whether to query the KV store.
    pub store: StoreUse,
}

/// Whether to query the KV store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreUse {
    /// There is no KV store.
    None,
    /// Query the store when a local cache miss is likely.
    Ask,
}
