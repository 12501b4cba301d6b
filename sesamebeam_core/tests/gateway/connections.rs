//! Idle connections of entries to a backend server.

use sesamebeam_core::gateway::connections::max_idle;
use yare::parameterized;

#[parameterized(
    small_site = { 110, 9, 6 },
    small_engine = { 500, 9, 24 },
    middle = { 600, 81, 3 },
    large = { 1800, 295, 3 },
    more_entries = { 110, 300, 0 },
    unknown_entries = { 110, 0, 24 },
    unknown_limit = { 0, 300, 24 },
)]
fn share_per_entry(max_connections: u32, entries: u32, expected: usize) {
    // The idle connections of all entries leave half of the limit for requests in flight.
    assert_eq!(max_idle(max_connections, entries), expected);
    if max_connections > 0 {
        assert!(expected * entries as usize <= max_connections as usize / 2);
    }
}
