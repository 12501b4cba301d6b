//! Backend servers that come one after the other, each for some seconds: one turns entries
//! away and asks them for a pause at times, says in its answers that it leaves, and ends.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use hyper::Method;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam::http::client::Client;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    books::Books,
    operator,
    server::{
        self,
        Life, //
    },
};

/// Time for which a life serves, and for which it is full, in milliseconds.
const SERVES_MS: std::ops::Range<u64> = 200..900;
const FULL_MS: std::ops::Range<u64> = 200..1800;

/// Pause that it asks for while it is full, in milliseconds: longer than the half second
/// that an answer is given to have an effect.
const PAUSE_MS: std::ops::Range<u64> = 700..2500;

/// Spells of being full in a life.
const SPELLS: usize = 2;

/// Time for which it says that it leaves and goes on serving.
const LEAVES_FOR: Duration = Duration::from_millis(1500);

/// Starts one life after the other until cancelled.
///
/// No life announces that it leaves before it ends: what entries know of it, they know
/// from its answers.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn succeed(
    seed: u64,
    domain: &'static str,
    controls: Vec<SocketAddr>,
    books: Arc<Books>,
    cancel: CancellationToken,
) -> io::Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    for number in 0.. {
        let life = Arc::new(Life::new(format!("brief-{number}")));
        let ended = cancel.child_token();
        let addr = server::start(Arc::clone(&life), Arc::clone(&books), ended.clone()).await?;
        let announced = ended.child_token();
        let announcing = tokio::spawn(operator::announce(
            life.id.clone(),
            operator::POOL,
            domain,
            addr,
            controls.clone(),
            announced.clone(),
        ));
        live(&life, &mut rng, &cancel).await;
        announced.cancel();
        if let Err(e) = announcing.await {
            books.broke(format!("{} cannot be announced: {e}", life.id));
        }
        leave(&life, &controls, &cancel).await;
        ended.cancel();
        if cancel.is_cancelled() {
            break;
        }
    }
    Ok(())
}

/// Plays one life up to its end.
async fn live(life: &Life, rng: &mut StdRng, cancel: &CancellationToken) {
    for _ in 0..SPELLS {
        rest(rng.random_range(SERVES_MS), cancel).await;
        life.ask_pause(Some(Duration::from_millis(rng.random_range(PAUSE_MS))));
        rest(rng.random_range(FULL_MS), cancel).await;
        life.ask_pause(None);
    }
    rest(rng.random_range(SERVES_MS), cancel).await;
    life.set_leaving();
    rest(LEAVES_FOR.as_millis() as u64, cancel).await;
}

async fn rest(ms: u64, cancel: &CancellationToken) {
    tokio::select! {
        () = cancel.cancelled() => {}
        () = sleep(Duration::from_millis(ms)) => {}
    }
}

/// Tells the replicas that a life ends, until one acknowledges it.
async fn leave(life: &Life, controls: &[SocketAddr], cancel: &CancellationToken) {
    let client = Client::new(Duration::from_millis(500));
    let path = format!("/instances/{}", life.id);
    for addr in controls.iter().cycle() {
        if cancel.is_cancelled() {
            return;
        }
        let answer = operator::call(&client, *addr, &Method::DELETE, &path, "").await;
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            return;
        }
        sleep(operator::PAUSE).await;
    }
}
