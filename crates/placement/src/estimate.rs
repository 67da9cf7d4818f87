//! Latency and cost estimates for sending a request to a server.

use crate::Choice;
use crate::ChoiceReason;
use crate::ImportConf;
use crate::KvSource;
use crate::StoreUse;
use crate::choice::CachePrediction;
use crate::chooser::Chooser;
use crate::preference_list::PreferenceList;
use crate::warm_set::WarmServer;
use crate::warm_set::WarmSet;

/// Probability that an unexpired hint is correct.
const HINT_HIT_PROBABILITY: f64 = 0.95;
/// Probability that a group's prefix is cached on a server assigned to the group.
const GROUP_HIT_PROBABILITY: f64 = 0.9;

/// The estimated latency of a request at one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) wait_ms: f64,
    /// Tokens predicted to be in the server's cache.
    pub(crate) cached: f64,
    /// Tokens that remain to be computed.
    pub(crate) uncached: f64,
    compute_ms: f64,
    import_ms: f64,
    round_trip_ms: f64,
    source: Option<ImportSource>,
    prediction: CachePrediction,
}

#[derive(Clone, Copy, Debug)]
enum ImportSource {
    Server(u32),
    Store,
}

impl Estimate {
    /// Estimate for the owner of the prompt.
    pub(crate) fn at_owner(chooser: &Chooser<'_>, warm: &WarmSet, owner: u32) -> Estimate {
        if let Some(warm) = warm.get(owner) {
            return Estimate::at_warm(chooser, warm);
        }
        let tokens = chooser.chain.anchor().map_or(0, |anchor| anchor.tokens);
        let cached = f64::from(tokens) * chooser.view.server_at(owner).meter.owner_hit_ratio();
        Estimate::new(chooser, owner, cached, CachePrediction::Owner { tokens })
    }

    /// Estimate for a server named by a hint.
    pub(crate) fn at_warm(chooser: &Chooser<'_>, warm: WarmServer) -> Estimate {
        let cached = f64::from(warm.tokens) * HINT_HIT_PROBABILITY;
        Estimate::new(chooser, warm.index, cached, warm.prediction())
    }

    /// Estimate for a server other than the owner.
    pub(crate) fn elsewhere(
        chooser: &Chooser<'_>,
        warm: &WarmSet,
        preference: &PreferenceList,
        index: u32,
    ) -> Estimate {
        if let Some(warm) = warm.get(index) {
            return Estimate::at_warm(chooser, warm);
        }
        if !preference.members().contains(&index) {
            return Estimate::cold(chooser, index);
        }
        let group = chooser.chain.group().map_or(0, |group| group.tokens);
        let anchor = chooser.chain.anchor().map_or(0, |anchor| anchor.tokens);
        let cached = if group < anchor { f64::from(group) * GROUP_HIT_PROBABILITY } else { 0.0 };
        Estimate::new(chooser, index, cached, CachePrediction::None)
    }

    /// Estimate for a server that has none of the prompt cached.
    pub(crate) fn cold(chooser: &Chooser<'_>, index: u32) -> Estimate {
        Estimate::new(chooser, index, 0.0, CachePrediction::None)
    }

    fn new(
        chooser: &Chooser<'_>,
        index: u32,
        cached: f64,
        prediction: CachePrediction,
    ) -> Estimate {
        let server = chooser.view.server_at(index);
        let uncached = (f64::from(chooser.chain.tokens()) - cached).max(0.0);
        let band = chooser.weights().band();
        Estimate {
            wait_ms: server.meter.wait_ms(band, chooser.request.now_ms),
            cached,
            uncached,
            compute_ms: uncached / server.meter.prefill_rate(),
            import_ms: 0.0,
            round_trip_ms: server.zone_ms,
            source: None,
            prediction,
        }
    }

    /// Plans an import of the missing blocks if that is faster than computing them. Applied only
    /// after the server has been selected: an import may fail, and selecting servers on the
    /// assumption that it succeeds would scatter prompts over servers that then recompute them.
    pub(crate) fn imported(mut self, chooser: &Chooser<'_>, warm: &WarmSet) -> Estimate {
        let Some(import) = chooser.placer.conf().import else { return self };
        if matches!(self.prediction, CachePrediction::Hint { .. }) {
            // The server is predicted to have the blocks, so a lookup elsewhere only adds latency.
            return self;
        }
        let deepest = chooser.chain.levels().last().map_or(0, |level| level.tokens);
        let warmest = warm.iter().max_by_key(|warm| warm.tokens);
        let (tokens, source) = match (warmest, import.store) {
            (Some(warm), _) => (warm.tokens, ImportSource::Server(warm.index)),
            (None, StoreUse::Ask) => (deepest, ImportSource::Store),
            (None, StoreUse::None) => return self,
        };
        let missing = (f64::from(tokens) - self.cached).max(0.0);
        let saved_ms = missing * self.compute_ms / self.uncached.max(1.0);
        let import_ms = import_ms(import, missing);
        if import_ms < saved_ms {
            self.source = Some(source);
            self.import_ms = import_ms;
            self.uncached -= missing;
            self.compute_ms -= saved_ms;
        }
        self
    }

    /// The estimated cost, weighted by request class.
    pub(crate) fn cost(&self, chooser: &Chooser<'_>) -> f64 {
        let weights = chooser.weights();
        let price = chooser.placer.conf().recompute_price;
        weights.ttft * self.ttft_ms() + weights.recompute * price * self.compute_ms
    }

    pub(crate) fn choice(&self, chooser: &Chooser<'_>, index: u32, reason: ChoiceReason) -> Choice {
        let kv_source = self.source.map(|source| match source {
            ImportSource::Server(index) => {
                KvSource::Server(chooser.view.server_at(index).name().clone())
            }
            ImportSource::Store => KvSource::Store,
        });
        Choice {
            server: chooser.view.server_at(index).clone(),
            reason,
            predicted_cached: chooser.chain.tokens().saturating_sub(self.uncached as u32),
            predicted_ttft_ms: self.ttft_ms(),
            kv_source,
            prediction: self.prediction,
        }
    }

    fn ttft_ms(&self) -> f64 {
        self.wait_ms + self.compute_ms + self.import_ms + self.round_trip_ms
    }
}

fn import_ms(import: ImportConf, tokens: f64) -> f64 {
    import.ask_ms + tokens / import.tokens_per_ms
}
