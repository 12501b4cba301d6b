//! Streamed answers.

use hyper::{
    HeaderMap,
    StatusCode,
    body::Incoming, //
};
use sesamebeam::http::client::ConnectionGuard;

use super::caller::{
    Caller,
    chat, //
};

/// An answer that is being streamed.
pub(crate) struct Streaming {
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    _conn: ConnectionGuard,
}

impl Caller {
    /// Sends a chat request and returns its stream.
    pub(crate) async fn stream(
        &self,
        class: &str,
        prompt: &str,
        headers: &[(&str, &str)],
    ) -> Streaming {
        let (body, headers) = chat(class, prompt, headers);
        let (answer, conn) = self
            .send_request("POST", "/v1/chat/completions", &headers, body)
            .await
            .expect("a head");
        assert_eq!(answer.status(), StatusCode::OK);
        let (parts, body) = answer.into_parts();
        Streaming {
            headers: parts.headers,
            body,
            _conn: conn,
        }
    }
}
