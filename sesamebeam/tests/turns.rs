//! A loop that stops, and its process that notices.

use std::{
    sync::{
        Arc,
        mpsc::channel, //
    },
    thread,
    time::Duration,
};

use sesamebeam::turns::{
    Turns,
    Watch, //
};
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

#[test]
fn stalled_loop() {
    // A task holds the only thread of its process for good, as by a lock that it
    // takes twice. The watch says so within a quarter of a minute.
    let turns = Turns::default();
    let (tx, stopped) = channel();
    turns
        .watch(move || tx.send(()).expect("the test listens"))
        .expect("a thread");
    let counted = turns.clone();
    thread::spawn(move || {
        let rt = Builder::new_current_thread().enable_all().build();
        rt.expect("a runtime").block_on(async move {
            let halt = CancellationToken::new();
            tokio::spawn(counted.count(Arc::default(), halt));
            tokio::time::sleep(Duration::from_millis(500)).await;
            loop {
                thread::park();
            }
        });
    });
    stopped
        .recv_timeout(Duration::from_secs(15))
        .expect("the stop is noticed");
}

#[test]
fn suspended_process() {
    // A process was suspended, and its loop has not turned yet when the watch runs
    // again. It turns before the watch has looked often enough.
    let mut watch = Watch::default();
    assert!((1..50).all(|turns| !watch.look(turns)));
    assert!((0..9).all(|_| !watch.look(49)));
    assert!(!watch.look(50));
    assert!((0..9).all(|_| !watch.look(50)));
    assert!(watch.look(50));
}
