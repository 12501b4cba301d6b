//! Limit on idle connections from an entry to a backend server.
//!
//! A backend server accepts a limited number of connections from all entries together and
//! resets the others. After a burst, an entry keeps its connections for seconds although
//! it needs few of them: nine entries with 24 idle connections each would hold 216 where
//! the limit is 110, and requests of other entries would be reset. Each entry therefore
//! keeps only its share, which leaves connections for requests in flight.

/// Share of a backend server's connections that all entries together may keep idle.
const IDLE_SHARE: f64 = 0.5;

/// Maximum number of idle connections per backend server that are worth keeping.
const MAX_IDLE: usize = 24;

/// Returns how many idle connections an entry may keep to a backend server.
///
/// `max_connections` is the number that the backend server accepts from all entries, or 0
/// if it is unknown. With more entries than connections even one each may be too many,
/// and none are kept.
pub fn max_idle(max_connections: u32, entries: u32) -> usize {
    if max_connections == 0 {
        return MAX_IDLE;
    }
    let share = IDLE_SHARE * f64::from(max_connections) / f64::from(entries.max(1));
    (share as usize).min(MAX_IDLE)
}
