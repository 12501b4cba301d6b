//! Server-sent events: splits and counts events without parsing their data, and
//! converts between streamed and unstreamed answers.

use bytes::{
    Bytes,
    BytesMut, //
};
use serde_json::Value;

use super::received::{
    Allowance,
    MAX_SHORT,
    ReadError, //
};

/// What may be received until an event with data or an id is complete: engines send events of
/// some hundred bytes.
const EVENT_ALLOWANCE: Allowance = Allowance::new(MAX_SHORT);

/// Last event of a complete answer.
const DONE: &[u8] = b"data: [DONE]";

/// Holds back the start of an incomplete event.
#[derive(Debug)]
pub(crate) struct EventBuffer {
    partial: BytesMut,
    /// What may still be received before the next event. Comments are none.
    allowance: Allowance,
}

impl Default for EventBuffer {
    fn default() -> Self {
        Self {
            partial: BytesMut::new(),
            allowance: EVENT_ALLOWANCE,
        }
    }
}

impl EventBuffer {
    /// Adds a chunk of the stream and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Fails if too much was received since the last event.
    pub(crate) fn push(&mut self, chunk: Bytes) -> Result<Bytes, ReadError> {
        let events = if self.partial.is_empty() {
            let end = last_boundary(&chunk).unwrap_or(0);
            self.partial.extend_from_slice(&chunk[end..]);
            chunk.slice(..end)
        } else {
            // A boundary is two bytes long, and none is in what was received before.
            let from = self.partial.len() - 1;
            self.partial.extend_from_slice(&chunk);
            let end = last_boundary(&self.partial[from..]).map_or(0, |end| from + end);
            self.partial.split_to(end).freeze()
        };
        if has_event(&events) {
            self.allowance = EVENT_ALLOWANCE;
            self.allowance.take(&self.partial)?;
        } else {
            self.allowance.take(&chunk)?;
        }
        Ok(events)
    }

    /// Returns whether no incomplete event is held back.
    pub(crate) fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards an incomplete event, before another run of the stream.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Returns whether any of these complete events has data or an id.
fn has_event(events: &[u8]) -> bool {
    let mut lines = events.split(|&b| b == b'\n');
    lines.any(|line| line.starts_with(b"data:") || line.starts_with(b"id:"))
}

/// Splits a byte stream into complete events and counts them.
///
/// A stream that breaks within an event is resumed after the last complete one.
/// Forwarding the incomplete event would send its start to the caller twice.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: EventBuffer,
    /// Number of complete events.
    events: u64,
    /// Whether the last event of a complete answer was received.
    done: bool,
}

/// Result of adding a chunk of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum SplitResult {
    /// Complete events to forward.
    Events(Bytes),
    /// Complete events to forward, the last of which is `[DONE]`.
    Done(Bytes),
    /// No complete event yet.
    Incomplete,
    /// More was received than any event of an engine has.
    TooLong,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after `events` events.
    pub fn resume_after(events: u64) -> Self {
        Self {
            events,
            ..Self::default()
        }
    }

    /// Returns the number of complete events, including those before a resume.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Adds the next chunk of the stream.
    pub fn push(&mut self, chunk: Bytes) -> SplitResult {
        let complete = match self.buf.push(chunk) {
            Ok(complete) if complete.is_empty() => return SplitResult::Incomplete,
            Ok(complete) => complete,
            Err(_) => return SplitResult::TooLong,
        };
        self.count_events(&complete);
        if self.done {
            SplitResult::Done(complete)
        } else {
            SplitResult::Events(complete)
        }
    }

    fn count_events(&mut self, complete: &[u8]) {
        let mut from = 0;
        while let Some(end) = boundary(&complete[from..]) {
            self.events += 1;
            let event = &complete[from..from + end];
            // The `id` line may precede or follow the `data` line.
            if event.len() < 64 && event.windows(DONE.len()).any(|w| w == DONE) {
                self.done = true;
            }
            from += end;
        }
    }
}

/// Finds the end of the first event, after its blank line.
fn boundary(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|w| w == b"\n\n").map(|at| at + 2)
}

/// Finds the end of the last complete event.
fn last_boundary(buf: &[u8]) -> Option<usize> {
    buf.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2)
}

/// Content of the chunks of a complete answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assembled {
    /// Text of the answer.
    pub text: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Why generation ended.
    pub finish_reason: Option<String>,
    /// Id assigned by the engine.
    pub id: Option<String>,
    /// Model named by the engine.
    pub model: Option<String>,
}

/// Parses the chunks of a complete answer.
pub fn assemble(events: &[u8]) -> Assembled {
    let mut out = Assembled::default();
    for line in events.split(|&b| b == b'\n') {
        let Some(data) = line.strip_prefix(b"data: ") else {
            continue;
        };
        if let Ok(chunk) = serde_json::from_slice::<Value>(data) {
            merge_chunk(&mut out, &chunk);
        }
    }
    out
}

/// Returns the prompt and completion tokens from the last chunk that has them,
/// without parsing the others.
pub fn usage(tail: &[u8]) -> Option<(u32, u32)> {
    let line = tail
        .split(|&b| b == b'\n')
        .rev()
        .find(|line| line.starts_with(b"data: {") && contains(line, b"\"usage\""))?;
    let chunk = serde_json::from_slice::<Value>(line.strip_prefix(b"data: ")?).ok()?;
    Some((
        number(&chunk["usage"]["prompt_tokens"]),
        number(&chunk["usage"]["completion_tokens"]),
    ))
}

/// Converts a complete streamed answer to the unstreamed form.
pub fn to_unstreamed(events: &[u8]) -> Vec<u8> {
    let answer = assemble(events);
    let body = serde_json::json!({
        "id": answer.id,
        "object": "chat.completion",
        "model": answer.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": answer.text},
            "finish_reason": answer.finish_reason,
        }],
        "usage": {
            "prompt_tokens": answer.prompt_tokens,
            "completion_tokens": answer.completion_tokens,
            "total_tokens": answer.prompt_tokens + answer.completion_tokens,
        },
    });
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Converts an unstreamed answer to a stream with all of its text in one chunk.
pub fn to_streamed(answer: &[u8]) -> Vec<u8> {
    let answer: Value = serde_json::from_slice(answer).unwrap_or_default();
    let choice = &answer["choices"][0];
    let chunk = |delta: Value, finish_reason: &Value, usage: &Value| {
        serde_json::json!({
            "id": answer["id"],
            "object": "chat.completion.chunk",
            "model": answer["model"],
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
            "usage": usage,
        })
    };
    let text = serde_json::json!({"content": choice["message"]["content"]});
    let first = chunk(text, &Value::Null, &Value::Null);
    let last = chunk(
        serde_json::json!({}),
        &choice["finish_reason"],
        &answer["usage"],
    );
    format!("id: 1\ndata: {first}\n\nid: 2\ndata: {last}\n\nid: 3\ndata: [DONE]\n\n").into_bytes()
}

fn merge_chunk(out: &mut Assembled, chunk: &Value) {
    let choice = &chunk["choices"][0];
    if let Some(text) = choice["delta"]["content"].as_str() {
        out.text.push_str(text);
    }
    if let Some(reason) = choice["finish_reason"].as_str() {
        out.finish_reason = Some(reason.to_owned());
    }
    if chunk["usage"].is_object() {
        out.prompt_tokens = number(&chunk["usage"]["prompt_tokens"]);
        out.completion_tokens = number(&chunk["usage"]["completion_tokens"]);
    }
    if out.id.is_none() {
        out.id = chunk["id"].as_str().map(str::to_owned);
        out.model = chunk["model"].as_str().map(str::to_owned);
    }
}

fn number(value: &Value) -> u32 {
    value
        .as_u64()
        .and_then(|n| u32::try_from(n).ok())
        .unwrap_or(0)
}

fn contains(hay: &[u8], needle: &[u8]) -> bool {
    hay.windows(needle.len()).any(|w| w == needle)
}
