//! Tests of the event loop watchdog.

use std::{
    sync::{
        Arc,
        mpsc::channel, //
    },
    thread,
    time::Duration,
};

use sesamebeam::watchdog::{
    TickCounter,
    Watchdog, //
};
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

#[test]
fn stalled_loop() {
    // A task blocks the only thread of its event loop forever, such as by locking a mutex
    // twice. The watchdog must report this within 15 seconds.
    let ticks = TickCounter::default();
    let (tx, stopped) = channel();
    ticks
        .spawn_watchdog(move || tx.send(()).expect("the receiver is alive"))
        .expect("the thread starts");
    let counter = ticks.clone();
    thread::spawn(move || {
        let rt = Builder::new_current_thread().enable_all().build();
        rt.expect("the runtime starts").block_on(async move {
            let halt = CancellationToken::new();
            tokio::spawn(counter.run(Arc::default(), halt));
            tokio::time::sleep(Duration::from_millis(500)).await;
            loop {
                thread::park();
            }
        });
    });
    stopped
        .recv_timeout(Duration::from_secs(15))
        .expect("the watchdog reports the stopped loop");
}

#[test]
fn suspended_process() {
    // After a process was suspended, the watchdog may run before its event loop ticks. It
    // must not report a loop that ticks within the allowed number of missed checks.
    let mut watchdog = Watchdog::default();
    assert!((1..50).all(|ticks| !watchdog.check(ticks)));
    assert!((0..9).all(|_| !watchdog.check(49)));
    assert!(!watchdog.check(50));
    assert!((0..9).all(|_| !watchdog.check(50)));
    assert!(watchdog.check(50));
}
