//! Measurements of the daemons and the capacity that follows from them.
//!
//! The daemons run as processes of their own beside the bench; whatever the
//! bench itself spends does not count.

pub mod capacity;
pub mod commit;
pub mod daemons;
pub mod fit;
pub mod group;
pub mod homes;
pub mod load;
pub mod machine;
pub mod options;
pub mod process;
pub mod relay;
pub mod slopes;
