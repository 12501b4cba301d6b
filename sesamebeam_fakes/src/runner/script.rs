//! All events of a stream, built before the first is sent.

use std::fmt::Write;

use bytes::Bytes;
use sesamebeam_core::ids::RequestId;

use crate::answer::Answer;

/// Events after the tokens: the chunk with the usage, and the end mark.
pub(crate) const CLOSING_EVENTS: usize = 2;

/// Bytes that one event takes, roughly.
const EVENT_SIZE: usize = 224;

/// Tokens used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Tokens of the prompt.
    pub(crate) prompt: u32,
    /// Tokens of the prompt that the prefix cache covered.
    pub(crate) cached: u32,
    /// Tokens generated.
    pub(crate) completion: u32,
}

/// Events of one stream.
#[derive(Debug)]
pub(crate) struct Script {
    bytes: Bytes,
    /// End of each event in `bytes`.
    ends: Vec<u32>,
}

impl Script {
    /// Builds the events of an answer.
    pub(crate) fn new(id: RequestId, version: &str, answer: Answer, usage: Usage) -> Self {
        let version = json_text(version);
        let head = format!(
            "data: {{\"id\":\"{id:032x}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
             \"model\":{version},\"choices\":[{{\"index\":0,\"delta\":{{"
        );
        let events = answer.tokens() as usize + CLOSING_EVENTS;
        let mut script = ScriptBuilder {
            buf: String::with_capacity(events * EVENT_SIZE),
            ends: Vec::with_capacity(events),
        };
        for token in 0..answer.tokens() {
            let space = if token == 0 { "" } else { " " };
            script.push(&[
                &head,
                "\"content\":\"",
                space,
                answer.word(token),
                "\"},\"finish_reason\":null}]}",
            ]);
        }
        let usage = usage.json();
        script.push(&[
            &head,
            "},\"finish_reason\":\"stop\"}],\"usage\":",
            &usage,
            "}",
        ]);
        script.push(&["data: [DONE]"]);
        Self {
            bytes: Bytes::from(script.buf),
            ends: script.ends,
        }
    }

    /// Bytes of the events after the first `from` up to and with event `to`.
    pub(crate) fn slice(&self, from: usize, to: usize) -> Bytes {
        self.bytes.slice(self.end(from)..self.end(to))
    }

    fn end(&self, events: usize) -> usize {
        events
            .checked_sub(1)
            .map_or(0, |last| self.ends[last] as usize)
    }
}

impl Usage {
    /// Writes the usage as a chat-completions answer has it.
    pub(crate) fn json(self) -> String {
        let Self {
            prompt,
            cached,
            completion,
        } = self;
        let total = prompt.saturating_add(completion);
        format!(
            "{{\"prompt_tokens\":{prompt},\"completion_tokens\":{completion},\
             \"total_tokens\":{total},\"prompt_tokens_details\":{{\"cached_tokens\":{cached}}}}}"
        )
    }
}

/// Writes a whole answer that is not streamed.
pub(crate) fn whole_answer(id: RequestId, version: &str, answer: Answer, usage: Usage) -> Bytes {
    let version = json_text(version);
    let text = json_text(&answer.text());
    let usage = usage.json();
    Bytes::from(format!(
        "{{\"id\":\"{id:032x}\",\"object\":\"chat.completion\",\"created\":0,\"model\":{version},\
         \"choices\":[{{\"index\":0,\"message\":{{\"role\":\"assistant\",\"content\":{text}}},\
         \"finish_reason\":\"stop\"}}],\"usage\":{usage}}}"
    ))
}

struct ScriptBuilder {
    buf: String,
    ends: Vec<u32>,
}

impl ScriptBuilder {
    fn push(&mut self, parts: &[&str]) {
        let number = self.ends.len() + 1;
        writeln!(self.buf, "id: {number}").expect("a string takes every write");
        parts.iter().for_each(|part| self.buf.push_str(part));
        self.buf.push_str("\n\n");
        let end = u32::try_from(self.buf.len()).expect("MAX_TOKENS bounds a stream to megabytes");
        self.ends.push(end);
    }
}

fn json_text(text: &str) -> String {
    serde_json::to_string(text).expect("a string is always JSON")
}
