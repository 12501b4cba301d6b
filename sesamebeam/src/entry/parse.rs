//! Parses requests of callers.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{
    Method,
    Uri, //
};
use serde_json::{
    Map,
    Value, //
};
use sesamebeam_core::{
    entry::event::Wanted,
    ids::{
        Digest,
        PoolId, //
    }, //
};
use thiserror::Error;
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

/// Limit on generated tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Maximum number of tokens that a request may ask for.
const MAX_MAX_TOKENS: u64 = 32_768;

/// Approximate number of characters per token.
const CHARS_PER_TOKEN: usize = 4;

/// Number of bytes of the first message that are hashed as the prefix.
const PREFIX_BYTES: usize = 2048;

/// Maximum number of bytes of the prompt that are sent to the rating service.
const MAX_RATED_PROMPT_BYTES: usize = 4096;

/// Errors in the body of a chat request.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum ParseError {
    /// The body is not a JSON object in UTF-8.
    #[error("The body is not a JSON object: {0}.")]
    Json(String),
    /// A field is missing or of the wrong type.
    #[error("`{0}` is missing or is not {1}.")]
    Field(&'static str, &'static str),
}

/// A chat request.
#[derive(Debug)]
pub(crate) struct ChatRequest {
    /// Fields as received, to be forwarded.
    pub(crate) fields: Map<String, Value>,
    /// `model`, `model@version` or `auto`.
    pub(crate) model: String,
    /// Whether the caller reads the answer as it is generated.
    pub(crate) streamed: bool,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// Estimated number of tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Hash of the prompt's prefix.
    pub(crate) prefix: u64,
    /// Start of the last message, for the rating service.
    pub(crate) prompt: Arc<str>,
}

impl ChatRequest {
    /// Parses the body of a chat request.
    ///
    /// # Errors
    ///
    /// Fails if it is not a JSON object with the fields of a chat request.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, ParseError> {
        let fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|e| ParseError::Json(e.to_string()))?;
        let model = match fields.get("model") {
            None => "auto".to_owned(),
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            Some(_) => return Err(ParseError::Field("model", "a name")),
        };
        let messages = fields
            .get("messages")
            .and_then(Value::as_array)
            .filter(|messages| !messages.is_empty())
            .ok_or(ParseError::Field("messages", "a list of messages"))?;
        let chars: usize = messages.iter().map(|m| content(m).len()).sum();
        let first = messages.first().map(content).unwrap_or_default();
        let last = messages.last().map(content).unwrap_or_default();
        let prefix = xxh3_64(&first.as_bytes()[..first.len().min(PREFIX_BYTES)]);
        let prompt = Arc::from(truncate(last, MAX_RATED_PROMPT_BYTES));
        let prompt_tokens = u32::try_from(chars / CHARS_PER_TOKEN).unwrap_or(u32::MAX);
        Ok(Self {
            streamed: flag(&fields, "stream")?,
            max_tokens: max_tokens(&fields)?,
            model,
            prompt_tokens,
            prefix,
            prompt,
            fields,
        })
    }

    /// Returns the model or version that the caller requested.
    pub(crate) fn wanted(&self) -> Wanted {
        if self.model == "auto" {
            Wanted::Auto
        } else if self.model.contains('@') {
            Wanted::Version(self.model.as_str().into())
        } else {
            Wanted::Model(self.model.as_str().into())
        }
    }
}

/// Splits `/services/POOL/PATH` into the pool and the path with its query.
pub(crate) fn service_path(uri: &Uri) -> Option<(PoolId, String)> {
    let rest = uri.path_and_query()?.as_str().strip_prefix("/services/")?;
    let (pool, path) = rest.split_once('/').unwrap_or((rest, ""));
    (!pool.is_empty()).then(|| (pool.into(), format!("/{path}")))
}

/// Returns the digest of a request to a plain service.
pub(crate) fn service_call_digest(method: &Method, path: &str, body: &Bytes) -> Digest {
    let mut hash = Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(b" ");
    hash.update(path.as_bytes());
    hash.update(b"\n");
    hash.update(body);
    hash.digest128()
}

fn content(message: &Value) -> &str {
    message["content"].as_str().unwrap_or_default()
}

fn flag(fields: &Map<String, Value>, name: &'static str) -> Result<bool, ParseError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(ParseError::Field(name, "true or false")),
    }
}

fn max_tokens(fields: &Map<String, Value>) -> Result<u32, ParseError> {
    match fields.get("max_tokens") {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => value
            .as_u64()
            .filter(|n| (1..=MAX_MAX_TOKENS).contains(n))
            .and_then(|n| u32::try_from(n).ok())
            .ok_or(ParseError::Field("max_tokens", "a number from 1 to 32768")),
    }
}

fn truncate(text: &str, most: usize) -> &str {
    let mut end = text.len().min(most);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
