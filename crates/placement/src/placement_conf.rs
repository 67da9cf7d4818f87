//! Constants of the placement that a deployment may set.

/// Constants of the placement; `docs/design/placement.md` says how the defaults were found.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementConf {
    /// Tokens of prefill that a server computes in a millisecond, until it has been learned.
    pub prefill_tokens_per_ms: f64,
    /// What a request costs a server besides prefill, in tokens of prefill.
    pub request_tokens: f64,
    /// Time over which demand is averaged.
    pub demand_window_ms: f64,
    /// Servers of a group without a plan, as a multiple of its share of the fleet.
    pub width_factor: f64,
    /// Servers of such a group at least; more than there are means all.
    pub least_width: f64,
    /// Servers of a hot prefix besides the first, as a multiple of its share of the fleet.
    pub hot_factor: f64,
    /// Weight of recomputation against time, before the weights of the class.
    pub recompute_price: f64,
    /// Part of the uncached tokens that detours may add.
    pub detour_share: f64,
    /// Servers farther off than this serve only if no nearer one can.
    pub near_ms: f64,
    /// Slots of the hint table, a power of two.
    pub hint_slots: usize,
    /// Import of cached blocks; none if the engines cannot.
    pub import: Option<ImportConf>,
}

impl Default for PlacementConf {
    fn default() -> PlacementConf {
        PlacementConf {
            prefill_tokens_per_ms: 40.0,
            request_tokens: 250.0,
            demand_window_ms: 5_000.0,
            width_factor: 1.5,
            least_width: 12.0,
            hot_factor: 3.0,
            recompute_price: 30.0,
            detour_share: 0.1,
            near_ms: 5.0,
            hint_slots: 1 << 16,
            import: None,
        }
    }
}

/// What import of cached blocks costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImportConf {
    /// Time to ask the source, also when it has nothing.
    pub ask_ms: f64,
    /// Tokens that are taken in in a millisecond.
    pub tokens_per_ms: f64,
    /// Whether there is a store beside the servers.
    pub store: StoreUse,
}

/// Whether the KV store is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreUse {
    /// There is none.
    None,
    /// It is asked where a miss is likely enough.
    Ask,
}
