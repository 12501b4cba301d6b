//! A small HTTP client for tests: one connection, whole answers or event by event.

use std::{
    io,
    net::SocketAddr, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    StatusCode,
    body::Incoming,
    client::conn::http1::{
        self,
        SendRequest, //
    },
    header::HOST, //
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Why a call gave no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection could not be made.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Http(#[from] hyper::Error),
    /// Nothing came in time.
    #[error("no answer in time")]
    Timeout,
}

/// A call before it is sent.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl Call {
    /// Begins a call.
    pub fn new(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Begins a `GET`.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path, Bytes::new())
    }

    /// Begins a `DELETE`.
    pub fn delete(path: impl Into<String>) -> Self {
        Self::new(Method::DELETE, path, Bytes::new())
    }

    /// Begins a `POST`.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, path, body)
    }

    /// Begins a chat completion of one message.
    pub fn chat(version: &str, prompt: &str, max_tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": version,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        Self::post("/v1/chat/completions", body.to_string())
            .header("content-type", "application/json")
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds the request id in the form that backend servers expect.
    #[must_use]
    pub fn request_id(self, id: u128) -> Self {
        self.header("x-request-id", &format!("{id:032x}"))
    }

    fn into_request(self, host: SocketAddr) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, host.to_string());
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(self.body))
            .expect("tests build well-formed calls")
    }
}

/// A whole answer, or as much of it as came.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the connection broke before the end of the body.
    pub truncated: bool,
}

impl Reply {
    /// Reads the body as JSON; anything else gives null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Reads the body as server-sent events.
    pub fn events(&self) -> Vec<Event> {
        parse_events(&self.body)
    }

    /// Text of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, 0 if it has none.
    pub id: u64,
    /// Data of the event.
    pub data: String,
}

impl Event {
    /// Text that the event adds to the answer.
    pub fn content(&self) -> String {
        let chunk: Value = serde_json::from_str(&self.data).unwrap_or(Value::Null);
        let content = &chunk["choices"][0]["delta"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }

    /// Whether it is the last event of a whole stream.
    pub fn is_done(&self) -> bool {
        self.data == "[DONE]"
    }
}

/// Splits a body into whole events; a half event at the end is left out.
pub fn parse_events(body: &[u8]) -> Vec<Event> {
    let text = String::from_utf8_lossy(body);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    whole
        .split("\n\n")
        .filter(|event| !event.is_empty())
        .map(parse_event)
        .collect()
}

/// Joins the text of all events.
pub fn text_of(events: &[Event]) -> String {
    events.iter().map(Event::content).collect()
}

/// One connection.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Fails if nobody listens at the address.
    pub async fn connect(addr: SocketAddr) -> Result<Self, ClientError> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // The sender sees the error too.
            let _ = conn.await;
        });
        Ok(Self {
            addr,
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Sends a call and gives the head of the answer with its body still to come.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the head.
    pub async fn open(&mut self, call: Call) -> Result<Opened, ClientError> {
        self.sender.ready().await?;
        let answer = self
            .sender
            .send_request(call.into_request(self.addr))
            .await?;
        let (head, body) = answer.into_parts();
        Ok(Opened {
            status: head.status,
            headers: head.headers,
            body,
            buf: Vec::new(),
            truncated: false,
        })
    }

    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the head; a break after it is told
    /// by [`Reply::truncated`].
    pub async fn call(&mut self, call: Call) -> Result<Reply, ClientError> {
        Ok(self.open(call).await?.finish().await)
    }
}

/// An answer whose body is still coming.
#[derive(Debug)]
pub struct Opened {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    buf: Vec<u8>,
    truncated: bool,
}

impl Opened {
    /// Reads until at least this many whole events have come, or the body ends.
    pub async fn events(&mut self, count: usize) -> Vec<Event> {
        while parse_events(&self.buf).len() < count {
            if !self.read_frame().await {
                break;
            }
        }
        parse_events(&self.buf)
    }

    /// Reads to the end.
    pub async fn finish(mut self) -> Reply {
        while self.read_frame().await {}
        Reply {
            status: self.status,
            headers: self.headers,
            body: Bytes::from(self.buf),
            truncated: self.truncated,
        }
    }

    /// Reads to the end without keeping anything, and tells whether it came.
    pub async fn discard(mut self) -> bool {
        while self.read_frame().await {
            self.buf.clear();
        }
        !self.truncated
    }

    async fn read_frame(&mut self) -> bool {
        match self.body.frame().await {
            None => false,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.buf.extend_from_slice(data);
                }
                true
            }
            Some(Err(_)) => {
                self.truncated = true;
                false
            }
        }
    }
}

/// Sends one call over a connection of its own.
///
/// # Errors
///
/// Fails if nobody listens or the connection breaks before the head.
pub async fn call(addr: SocketAddr, call: Call) -> Result<Reply, ClientError> {
    Client::connect(addr).await?.call(call).await
}

fn parse_event(event: &str) -> Event {
    let mut id = 0;
    let mut data = String::new();
    for line in event.lines() {
        if let Some(text) = line.strip_prefix("id: ") {
            id = text.parse().unwrap_or(0);
        } else if let Some(text) = line.strip_prefix("data: ") {
            data.push_str(text);
        }
    }
    Event { id, data }
}
