//! Prompt lengths, and the engine rank that is derived from them.

use std::collections::HashMap;

use super::{
    config::{
        Rank,
        RouteConfig,
        RouteId, //
    },
    table::RouteTable,
};

/// Number of ranks that an engine distinguishes.
const ENGINE_RANKS: usize = 10;

/// Number of length classes: short, medium and long.
const LENGTH_CLASSES: usize = 3;

/// Ratio to the mean length of its route from which a prompt counts as long, or below
/// whose inverse it counts as short.
const CLASS_RATIO: f64 = 2.0;

/// Weight of the latest prompt in the moving average of its route.
const MEAN_WEIGHT: f64 = 0.02;

/// Mean prompt lengths by route, in tokens.
#[derive(Debug, Default)]
pub(super) struct PromptLengths {
    means: HashMap<RouteId, f64>,
}

impl PromptLengths {
    /// Returns the rank to send to the engine.
    ///
    /// Within a rank, an engine prefills one prompt at a time: a prompt of 50,000 tokens
    /// ahead of one of 500 delays it by a second. Running shorter prompts first reduces
    /// the mean wait. A request never overtakes one of a more urgent rank. One that is
    /// `deferred` is ranked as if its prompt were long.
    pub(super) fn engine_rank(
        &mut self,
        table: &RouteTable,
        route: &RouteConfig,
        rank: Rank,
        tokens: u32,
        deferred: bool,
    ) -> Rank {
        let tokens = f64::from(tokens);
        let mean = self.means.entry(route.name.clone()).or_insert(tokens);
        *mean += MEAN_WEIGHT * (tokens - *mean);
        let mean = *mean;
        let (rank_index, ranks) = table.rank_index(rank);
        let classes = (ENGINE_RANKS / ranks.max(1)).clamp(1, LENGTH_CLASSES);
        let class = match tokens {
            _ if deferred => LENGTH_CLASSES - 1,
            t if t > mean * CLASS_RATIO => LENGTH_CLASSES - 1,
            t if t > mean / CLASS_RATIO => LENGTH_CLASSES - 2,
            _ => 0,
        };
        let engine_rank = rank_index * classes + class * classes / LENGTH_CLASSES;
        Rank::try_from(engine_rank.min(ENGINE_RANKS - 1)).unwrap_or(Rank::MAX)
    }
}
