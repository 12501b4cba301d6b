//! HTTP client that sends requests to an entry as a caller.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    HeaderMap,
    Request,
    StatusCode,
    body::Incoming,
    header, //
};
use serde_json::json;
use sesamebeam::http::{
    client::{
        Client,
        ConnectionGuard,
        Reuse,
        SendOptions, //
    },
    sse, //
};

/// Timeout for connecting and for the response head.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Sends requests to one entry with the API key of one organisation.
pub(crate) struct Caller {
    addr: SocketAddr,
    key: String,
    client: Client,
}

/// A completely read response.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Caller {
    pub(crate) fn new(addr: SocketAddr, key: &str) -> Self {
        Self {
            addr,
            key: key.to_owned(),
            client: Client::new(TIMEOUT),
        }
    }

    /// Sends a chat request and reads the complete response.
    pub(crate) async fn chat(&self, class: &str, prompt: &str, headers: &[(&str, &str)]) -> Answer {
        let (body, headers) = chat(class, prompt, headers);
        self.send("POST", "/v1/chat/completions", &headers, body)
            .await
            .expect("an answer")
    }

    /// Sends a request and reads the complete response; `None` if the connection
    /// failed.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Option<Answer> {
        let (answer, conn) = self.send_request(method, path, headers, body).await?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        conn.release();
        Some(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    pub(crate) async fn send_request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Option<(hyper::Response<Incoming>, ConnectionGuard)> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.addr.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let req = builder.body(Full::new(Bytes::from(body))).expect("request");
        let options = SendOptions {
            reuse: Reuse::Any,
            header_timeout: TIMEOUT,
            send_by: None,
        };
        self.client.send(self.addr, req, options).await.ok()
    }
}

impl Answer {
    /// Returns the text of a streamed answer, which must be complete.
    pub(crate) fn text(&self) -> String {
        assert!(
            self.body.ends_with(b"data: [DONE]\n\n") || self.ends_done(),
            "incomplete answer: {:?}",
            String::from_utf8_lossy(&self.body)
        );
        sse::assemble(&self.body).text
    }

    /// Returns the value of a header; empty if it is missing.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |v| v.to_str().expect("text"))
    }

    fn ends_done(&self) -> bool {
        let text = String::from_utf8_lossy(&self.body);
        text.trim_end()
            .lines()
            .rev()
            .take(2)
            .any(|line| line == "data: [DONE]")
    }
}

pub(crate) fn chat<'a>(
    class: &'a str,
    prompt: &str,
    headers: &[(&'a str, &'a str)],
) -> (Vec<u8>, Vec<(&'a str, &'a str)>) {
    let body = json!({
        "model": "auto",
        "stream": true,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": prompt}],
    });
    let mut all = vec![("x-class", class)];
    all.extend_from_slice(headers);
    (body.to_string().into_bytes(), all)
}
