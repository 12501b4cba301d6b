//! Server-sent events: counting whole events without parsing their content.

use bytes::{
    Bytes,
    BytesMut, //
};
use serde_json::Value;

/// Most bytes of one event that are kept while it is incomplete.
const MAX_EVENT: usize = 1 << 20;

/// Last event of a whole answer.
const DONE: &[u8] = b"data: [DONE]";

/// Cuts a stream of bytes into whole events and counts them.
///
/// A stream that breaks in the middle of an event is resumed after the last
/// whole one; passing the piece on would give the caller that event twice.
#[derive(Debug, Default)]
pub struct EventCutter {
    /// Start of an event that is not yet whole.
    rest: BytesMut,
    /// Whole events seen.
    events: u64,
    /// Whether the last event of a whole answer was seen.
    done: bool,
}

/// What a piece of the stream gave.
#[derive(Debug, PartialEq, Eq)]
pub enum Cut {
    /// Whole events to pass on.
    Events(Bytes),
    /// Whole events to pass on, the last of them `[DONE]`.
    Done(Bytes),
    /// No whole event yet.
    Nothing,
    /// An event is longer than any engine sends.
    TooLong,
}

impl EventCutter {
    /// Starts after events that the caller already has.
    pub fn after(events: u64) -> Self {
        Self {
            events,
            ..Self::default()
        }
    }

    /// Number of whole events seen, counting those before a resume.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Takes the next piece of the stream.
    pub fn push(&mut self, piece: Bytes) -> Cut {
        let whole = if self.rest.is_empty() {
            let Some(end) = last_boundary(&piece) else {
                return self.hold(&piece);
            };
            self.rest.extend_from_slice(&piece[end..]);
            piece.slice(..end)
        } else {
            self.rest.extend_from_slice(&piece);
            let Some(end) = last_boundary(&self.rest) else {
                return self.hold(&[]);
            };
            self.rest.split_to(end).freeze()
        };
        self.count(&whole);
        if self.done {
            Cut::Done(whole)
        } else {
            Cut::Events(whole)
        }
    }

    fn hold(&mut self, piece: &[u8]) -> Cut {
        if self.rest.len() + piece.len() > MAX_EVENT {
            return Cut::TooLong;
        }
        self.rest.extend_from_slice(piece);
        Cut::Nothing
    }

    fn count(&mut self, whole: &[u8]) {
        let mut from = 0;
        while let Some(end) = boundary(&whole[from..]) {
            self.events += 1;
            let event = &whole[from..from + end];
            // The id line may stand before or after the data line.
            if event.len() < 64 && event.windows(DONE.len()).any(|w| w == DONE) {
                self.done = true;
            }
            from += end;
        }
    }
}

/// Finds the end of the first event, behind its blank line.
fn boundary(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|w| w == b"\n\n").map(|at| at + 2)
}

/// Finds the end of the last whole event.
pub(crate) fn last_boundary(buf: &[u8]) -> Option<usize> {
    buf.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2)
}

/// What the chunks of a whole answer say.
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
    /// Id that the engine gave.
    pub id: Option<String>,
    /// Model that the engine names.
    pub model: Option<String>,
}

/// Reads the chunks of a whole answer.
pub fn assemble(events: &[u8]) -> Assembled {
    let mut out = Assembled::default();
    for line in events.split(|&b| b == b'\n') {
        let Some(data) = line.strip_prefix(b"data: ") else {
            continue;
        };
        if let Ok(chunk) = serde_json::from_slice::<Value>(data) {
            take_chunk(&mut out, &chunk);
        }
    }
    out
}

/// Finds the usage in the last chunk without parsing the others.
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

/// Turns a whole streamed answer into the unstreamed form.
pub fn unstreamed(events: &[u8]) -> Vec<u8> {
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

/// Turns a whole answer in the unstreamed form into a stream of one piece.
pub fn streamed(answer: &[u8]) -> Vec<u8> {
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

fn take_chunk(out: &mut Assembled, chunk: &Value) {
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
