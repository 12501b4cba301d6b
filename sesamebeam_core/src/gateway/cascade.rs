//! Choice among the models of a route, smallest first.
//!
//! A small model answers many requests as well as a large one, in a fraction of
//! the time and cost, and tells in its answer how sure it is. An answer below
//! the threshold is dropped before the caller has seen any of it, and a larger
//! model is asked.

use crate::ids::ModelId;

/// Confidence from 0 to 100 from which an answer is kept.
///
/// The confidence is the model's own opinion and says "as likely good as not"
/// at 50.
pub const KEEP_FROM: u8 = 50;

/// Which model to ask next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The answer goes to the caller.
    Keep,
    /// The answer is dropped and this model is asked.
    Ask(ModelId),
}

/// Judges the answer of a model by the confidence that it states.
///
/// `may_repeat` tells whether one more send is allowed.
pub fn judge(sizes: &[ModelId], asked: &str, confidence: Option<u8>, may_repeat: bool) -> Step {
    let (Some(confidence), Some(largest)) = (confidence, sizes.last()) else {
        return Step::Keep;
    };
    if !may_repeat || asked == largest.as_str() || confidence >= KEEP_FROM {
        return Step::Keep;
    }
    Step::Ask(largest.clone())
}
