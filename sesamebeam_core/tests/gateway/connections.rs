//! Idle connections of entries to a backend server.

use sesamebeam_core::gateway::connections::most_idle;
use yare::parameterized;

#[parameterized(
    small_site = { 110, 9, 6 },
    small_engine = { 500, 9, 24 },
    middle = { 600, 81, 3 },
    large = { 1800, 295, 3 },
    more_entries = { 110, 300, 0 },
    nobody_counted = { 110, 0, 24 },
    not_said = { 0, 300, 24 },
)]
fn part_of_all(max_connections: u32, entries: u32, most: usize) {
    // The idle connections of all entries leave half of the limit for requests in flight.
    assert_eq!(most_idle(max_connections, entries), most);
    if max_connections > 0 {
        assert!(most * entries as usize <= max_connections as usize / 2);
    }
}
