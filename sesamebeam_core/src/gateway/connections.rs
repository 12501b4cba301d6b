//! Connections that an entry keeps to a backend server.
//!
//! A backend server takes so many from all entries together and resets the others. An
//! entry that has had a surge keeps what it opened for seconds, and needs little of it;
//! nine that keep 24 each take up 216 of 110, and callers elsewhere find their connections
//! reset. So each keeps its part, and what is left is free for requests under way.

/// Share of the connections that a backend server takes which all entries together keep
/// idle.
const IDLE_SHARE: f64 = 0.5;

/// Most idle connections that are worth keeping to one backend server.
const MOST: usize = 24;

/// Returns how many idle connections one of some entries keeps to a backend server that
/// takes this many from all of them.
///
/// With more entries than there are connections even one each may be too many; none are
/// kept then. A service that does not say how many it takes has 0.
pub fn most_idle(max_connections: u32, entries: u32) -> usize {
    if max_connections == 0 {
        return MOST;
    }
    let part = IDLE_SHARE * f64::from(max_connections) / f64::from(entries.max(1));
    (part as usize).min(MOST)
}
