//! Bound on the connections that clients keep open.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*, //
};
use sesamebeam_core::policy::open_connections::{
    Admission,
    ConnectionId,
    OpenConnections, //
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn open(connections: &mut OpenConnections, at: u64) -> (ConnectionId, Option<ConnectionId>) {
    match connections.add(ms(at)) {
        Admission::Open { id, closes } => (id, closes),
        Admission::Full => panic!("there is no room"),
    }
}

#[test]
fn longest_idle_closes() {
    // Guards against new callers who are refused because others keep connections open.
    let mut connections = OpenConnections::new(3);
    let ids = [0, 1, 2].map(|at| open(&mut connections, at).0);
    connections.begin_request(ids[0]);
    connections.end_request(ms(10), ids[0]);
    assert_eq!(open(&mut connections, 20).1, Some(ids[1]));
    assert_eq!(connections.count(), 3);
}

#[test]
fn requests_are_kept() {
    // Guards against closing a connection whose request may be running.
    let mut connections = OpenConnections::new(2);
    let ids = [0, 1].map(|at| open(&mut connections, at).0);
    ids.iter().for_each(|id| connections.begin_request(*id));
    assert_eq!(connections.add(ms(5)), Admission::Full);
    connections.end_request(ms(6), ids[1]);
    assert_eq!(open(&mut connections, 7).1, Some(ids[1]));
    connections.remove(ids[0]);
    assert_eq!(open(&mut connections, 8).1, None);
}

proptest! {
    #[test]
    fn never_over(steps in vec((0_u8..4, 0_usize..20), 1..300)) {
        // Guards against more connections than allowed, and room that is lost.
        let mut connections = OpenConnections::new(7);
        let mut ids: Vec<ConnectionId> = Vec::new();
        for (n, (step, at)) in steps.into_iter().enumerate() {
            let now = ms(n as u64);
            let chosen = ids.get(at % ids.len().max(1)).copied();
            match (step, chosen) {
                (1, Some(id)) => connections.begin_request(id),
                (2, Some(id)) => connections.end_request(now, id),
                (3, Some(id)) => {
                    connections.remove(id);
                    ids.retain(|i| *i != id);
                }
                _ => {
                    if let Admission::Open { id, closes } = connections.add(now) {
                        ids.retain(|i| Some(*i) != closes);
                        ids.push(id);
                    }
                }
            }
            prop_assert_eq!(connections.count(), ids.len());
            prop_assert!(connections.count() <= 7);
        }
        ids.into_iter().for_each(|id| connections.remove(id));
        prop_assert_eq!(connections.count(), 0);
    }
}
