//! Prompt lengths, and the engine rank that is derived from them.

use std::collections::HashMap;

use super::{
    config::{
        Rank,
        RouteConfig,
        RouteId, //
    },
    table::Table,
};

/// Number of ranks that an engine distinguishes.
const ENGINE_RANKS: usize = 10;

/// Number of length classes: short, medium and long.
const SIZES: usize = 3;

/// Ratio to the mean length of its route from which a prompt counts as long, or below
/// whose inverse it counts as short.
const SIZE_STEP: f64 = 2.0;

/// Weight of the latest prompt in the moving average of its route.
const SIZE_WEIGHT: f64 = 0.02;

/// Mean prompt lengths by route, in tokens.
#[derive(Debug, Default)]
pub(super) struct Lengths {
    means: HashMap<RouteId, f64>,
}

impl Lengths {
    /// Returns the rank to send to the engine.
    ///
    /// Within a rank, an engine prefills one prompt at a time: a prompt of 50,000 tokens
    /// ahead of one of 500 delays it by a second. Running shorter prompts first reduces
    /// the mean wait. A request never overtakes one of a more urgent rank.
    pub(super) fn engine_rank(
        &mut self,
        table: &Table,
        route: &RouteConfig,
        rank: Rank,
        tokens: u32,
    ) -> Rank {
        let tokens = f64::from(tokens);
        let mean = self.means.entry(route.name.clone()).or_insert(tokens);
        *mean += SIZE_WEIGHT * (tokens - *mean);
        let mean = *mean;
        let (place, ranks) = table.place(rank);
        let sizes = (ENGINE_RANKS / ranks.max(1)).clamp(1, SIZES);
        let size = match tokens {
            t if t > mean * SIZE_STEP => SIZES - 1,
            t if t > mean / SIZE_STEP => SIZES - 2,
            _ => 0,
        };
        let told = place * sizes + size * sizes / SIZES;
        Rank::try_from(told.min(ENGINE_RANKS - 1)).unwrap_or(Rank::MAX)
    }
}
