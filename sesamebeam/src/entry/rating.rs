//! Client of the rating service.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    Request,
    header, //
};
use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use sesamebeam_core::{
    entry::event::EntryEvent,
    ids::{
        ClassId,
        RequestId,
        VersionId, //
    },
    message::server::Rating,
};
use smol_str::SmolStr;
use tokio::{
    sync::mpsc::{
        Receiver,
        Sender,
        channel, //
    },
    time::sleep, //
};
use tokio_util::sync::CancellationToken;

use super::hub::Hub;
use crate::http::client::{
    Client,
    Reuse,
    Terms, //
};

/// Answers waiting to be sent; more are not sampled.
const MAX_WAITING: usize = 256;

/// Most ratings fetched at once.
const FETCH: u32 = 256;

/// Largest answer of the rating service, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Time between two fetches of late ratings.
const FETCH_EVERY: Duration = Duration::from_millis(500);

/// Longest wait for the rating service, where nothing waits for it.
const PATIENCE: Duration = Duration::from_secs(5);

/// Sends answers to the rating service.
#[derive(Debug)]
pub(crate) struct Ratings {
    addr: SocketAddr,
    client: Client,
    tx: Sender<Vec<u8>>,
}

impl Ratings {
    /// Starts the tasks that send samples and fetch late ratings.
    pub(crate) fn start(
        addr: SocketAddr,
        client: Client,
        hub: Arc<Hub>,
        cancel: CancellationToken,
    ) -> Arc<Self> {
        let (tx, rx) = channel(MAX_WAITING);
        let ratings = Arc::new(Self { addr, client, tx });
        tokio::spawn(send_samples(Arc::clone(&ratings), rx, cancel.clone()));
        tokio::spawn(fetch_ratings(Arc::clone(&ratings), hub, cancel));
        ratings
    }

    /// Sends an answer for a late rating, unless too many wait already.
    pub(crate) fn sample(
        &self,
        request: RequestId,
        class: ClassId,
        version: VersionId,
        prompt: &str,
        answer: String,
    ) {
        let body = text(request, &class, &version, prompt, &answer);
        let _ = self.tx.try_send(body);
    }

    /// Has an answer rated at once; none if the service does not answer.
    pub(crate) async fn rate(
        &self,
        request: RequestId,
        class: &ClassId,
        version: &VersionId,
        prompt: &str,
        answer: &str,
        timeout: Duration,
    ) -> Option<f64> {
        #[derive(Deserialize)]
        struct Score {
            score: f64,
        }
        let body = text(request, class, version, prompt, answer);
        let call = self.call::<Score>("/v1/rate", Some(body), timeout);
        let score = tokio::time::timeout(timeout, call).await.ok().flatten()?;
        Some(score.score)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<Vec<u8>>,
        patience: Duration,
    ) -> Option<T> {
        let builder = Request::builder()
            .uri(path)
            .header(header::HOST, self.addr.to_string());
        let req = match body {
            Some(body) => builder
                .method("POST")
                .header(header::CONTENT_TYPE, "application/json")
                .body(Full::new(Bytes::from(body))),
            None => builder.body(Full::default()),
        };
        let terms = Terms {
            reuse: Reuse::Any,
            patience,
            send_by: None,
        };
        let (response, lease) = self.client.send(self.addr, req.ok()?, terms).await.ok()?;
        let ok = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_BODY)
            .collect()
            .await
            .ok()?;
        lease.give_back();
        if !ok {
            return None;
        }
        serde_json::from_slice(&body.to_bytes()).ok()
    }
}

async fn send_samples(ratings: Arc<Ratings>, mut rx: Receiver<Vec<u8>>, cancel: CancellationToken) {
    loop {
        let body = tokio::select! {
            () = cancel.cancelled() => return,
            body = rx.recv() => body,
        };
        let Some(body) = body else {
            return;
        };
        let _: Option<serde_json::Value> = ratings.call("/v1/ratings", Some(body), PATIENCE).await;
    }
}

async fn fetch_ratings(ratings: Arc<Ratings>, hub: Arc<Hub>, cancel: CancellationToken) {
    #[derive(Deserialize)]
    struct Late {
        next: u64,
        ratings: Vec<LateRating>,
    }
    let mut next = 0;
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = sleep(FETCH_EVERY) => {}
        }
        let path = format!("/v1/ratings?after={next}&limit={FETCH}");
        let Some(late) = ratings.call::<Late>(&path, None, PATIENCE).await else {
            continue;
        };
        next = late.next;
        for rating in late.ratings {
            if let Some(rating) = rating.typed() {
                hub.event(EntryEvent::Rated(rating));
            }
        }
    }
}

/// A rating as the service sends it.
#[derive(Debug, Deserialize)]
struct LateRating {
    request: SmolStr,
    class: ClassId,
    version: VersionId,
    score: f64,
}

impl LateRating {
    fn typed(self) -> Option<Rating> {
        Some(Rating {
            request: u128::from_str_radix(&self.request, 16).ok()?,
            class: self.class,
            version: self.version,
            score: self.score,
            age: Duration::ZERO,
        })
    }
}

fn text(
    request: RequestId,
    class: &ClassId,
    version: &VersionId,
    prompt: &str,
    answer: &str,
) -> Vec<u8> {
    let body = serde_json::json!({
        "request": format!("{request:032x}"),
        "class": class,
        "version": version,
        "prompt": prompt,
        "answer": answer,
    });
    serde_json::to_vec(&body).unwrap_or_default()
}
