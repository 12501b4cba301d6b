//! Placeholder until the parts land.
