//! Answers that are read as they are generated.

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
    _lease: ConnectionGuard,
}

impl Caller {
    /// Starts a chat request and hands over its stream.
    pub(crate) async fn stream(
        &self,
        class: &str,
        prompt: &str,
        headers: &[(&str, &str)],
    ) -> Streaming {
        let (body, headers) = chat(class, prompt, headers);
        let (answer, lease) = self
            .head("POST", "/v1/chat/completions", &headers, body)
            .await
            .expect("a head");
        assert_eq!(answer.status(), StatusCode::OK);
        let (parts, body) = answer.into_parts();
        Streaming {
            headers: parts.headers,
            body,
            _lease: lease,
        }
    }
}
