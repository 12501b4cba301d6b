//! Lengths of prompts, and the rank that an engine is told by them.

use std::collections::HashMap;

use super::{
    config::{
        Rank,
        RouteConfig,
        RouteId, //
    },
    table::Table,
};

/// Most that an engine tells ranks apart.
const ENGINE_RANKS: usize = 10;

/// Lengths of prompts that are told apart: short, usual and long.
const SIZES: usize = 3;

/// How many times longer or shorter than the mean of its route a prompt is to
/// count as long or short.
const SIZE_STEP: f64 = 2.0;

/// Weight of the newest prompt in the mean of its route.
const SIZE_WEIGHT: f64 = 0.02;

/// Mean lengths of prompts, in tokens.
#[derive(Debug, Default)]
pub(super) struct Lengths {
    means: HashMap<RouteId, f64>,
}

impl Lengths {
    /// Returns the rank that an engine is told.
    ///
    /// An engine reads prompts one after the other within a rank: one of 50,000
    /// tokens before one of 500 makes it wait for a second. Shorter ones first
    /// shortens the mean wait; a rank never passes a more urgent one.
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
