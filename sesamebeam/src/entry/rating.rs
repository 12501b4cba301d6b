//! Client of the rating service.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
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
use crate::http::{
    client::{
        Client,
        Reuse,
        SendOptions, //
    },
    received::read_whole,
};

/// Maximum number of samples waiting to be sent; further ones are dropped.
const MAX_WAITING: usize = 256;

/// Maximum number of ratings fetched at once.
const MAX_FETCHED: u32 = 256;

/// Maximum size of a response of the rating service, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Interval between two fetches of late ratings.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for requests to the rating service on which no caller waits.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the rating service.
#[derive(Debug)]
pub(crate) struct RatingClient {
    addr: SocketAddr,
    client: Client,
    tx: Sender<Vec<u8>>,
}

impl RatingClient {
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

    /// Queues an answer for a late rating; drops it if the queue is full.
    pub(crate) fn sample(
        &self,
        request: RequestId,
        class: ClassId,
        version: VersionId,
        prompt: &str,
        answer: String,
    ) {
        let body = rating_body(request, &class, &version, prompt, &answer);
        let _ = self.tx.try_send(body);
    }

    /// Requests an immediate rating of an answer; `None` if there is none within
    /// the timeout.
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
        let body = rating_body(request, class, version, prompt, answer);
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
        let options = SendOptions {
            reuse: Reuse::Any,
            header_timeout: patience,
            send_by: None,
        };
        let (response, conn) = self.client.send(self.addr, req.ok()?, options).await.ok()?;
        let ok = response.status().is_success();
        let body = read_whole(response, MAX_BODY, conn.long_answers())
            .await
            .ok()?;
        conn.release();
        if !ok {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }
}

async fn send_samples(
    ratings: Arc<RatingClient>,
    mut rx: Receiver<Vec<u8>>,
    cancel: CancellationToken,
) {
    loop {
        let body = tokio::select! {
            () = cancel.cancelled() => return,
            body = rx.recv() => body,
        };
        let Some(body) = body else {
            return;
        };
        let _: Option<serde_json::Value> = ratings
            .call("/v1/ratings", Some(body), BACKGROUND_TIMEOUT)
            .await;
    }
}

async fn fetch_ratings(ratings: Arc<RatingClient>, hub: Arc<Hub>, cancel: CancellationToken) {
    #[derive(Deserialize)]
    struct Late {
        next: u64,
        ratings: Vec<LateRating>,
    }
    let mut next = 0;
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = sleep(FETCH_INTERVAL) => {}
        }
        let path = format!("/v1/ratings?after={next}&limit={MAX_FETCHED}");
        let Some(late) = ratings.call::<Late>(&path, None, BACKGROUND_TIMEOUT).await else {
            continue;
        };
        next = late.next;
        for rating in late.ratings {
            if let Some(rating) = rating.parse() {
                hub.handle_event(EntryEvent::Rated(rating));
            }
        }
    }
}

/// A rating in the format of the rating service.
#[derive(Debug, Deserialize)]
struct LateRating {
    request: SmolStr,
    class: ClassId,
    version: VersionId,
    score: f64,
}

impl LateRating {
    fn parse(self) -> Option<Rating> {
        Some(Rating {
            request: u128::from_str_radix(&self.request, 16).ok()?,
            class: self.class,
            version: self.version,
            score: self.score,
            age: Duration::ZERO,
        })
    }
}

fn rating_body(
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
