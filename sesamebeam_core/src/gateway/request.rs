//! Contents of request and response heads, independent of the header names on the wire.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::{
    directory::ServerId,
    engines::Slowdown, //
};
use crate::ids::ModelId;

/// Status codes that reject a request for lack of capacity.
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;

/// Other status codes of a request that has not run.
const REQUEST_TIMEOUT: u16 = 408;
const MISDIRECTED_REQUEST: u16 = 421;

/// Maximum number of shared parts of a prompt that are told apart. Prompts have a few.
const MAX_SHARED_PARTS: usize = 32;

/// Id of a request, set by its caller.
pub type CallId = SmolStr;

/// Identifies the content of a part of a prompt, whatever parts are before it.
pub type PartId = u64;

/// A part of a prompt that an engine may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Contents of a request head.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Id set by the caller. A retry by the caller has a different one.
    pub id: CallId,
    /// Requested host.
    pub host: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// API key of the caller.
    pub key: Option<SmolStr>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Requested model, or `None` to leave the choice to the entry.
    pub model: Option<ModelId>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Expected length of the response in tokens, if stated.
    pub response_tokens: Option<u32>,
    /// Session of the request.
    pub session: Option<SmolStr>,
    /// Id of the last event that the caller has received of a stream to resume.
    pub resume_after: Option<u64>,
}

impl Head {
    /// Returns the last part of the prompt that is shared with other requests. The final
    /// part is always specific to this request.
    pub fn shared_part(&self) -> Option<&PromptPart> {
        self.prompt.iter().rev().nth(1)
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> Vec<PartId> {
        let shared = self.prompt.split_last().map(|(_, shared)| shared);
        let ids = shared.unwrap_or_default().iter().map(|part| part.id);
        ids.take(MAX_SHARED_PARTS).collect()
    }

    /// Returns the number of prompt tokens that are not shared with other requests.
    pub fn unshared_tokens(&self) -> u32 {
        let last = self.prompt.last().map(|part| part.tokens);
        last.unwrap_or(self.prompt_tokens)
    }
}

/// Headers that are set on a request to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing<'a> {
    /// Intended backend server. Any other one rejects the request.
    pub server: &'a ServerId,
    /// Remaining time.
    pub deadline: Duration,
    /// Organisation of the caller, if known.
    pub organisation: Option<&'a str>,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Model to run, if the caller left the choice to the entry.
    pub model: Option<&'a str>,
    /// Id of the event after which a stream resumes.
    pub resume_after: Option<u64>,
}

/// Number of requests at a backend server, by its own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub slots: u32,
    /// Time that work takes relative to usual, if the backend server states it.
    pub slowdown: Option<Slowdown>,
}

impl Load {
    /// Returns whether the backend server has no capacity left: all slots are in use, and
    /// as many requests are queued. One that rejects requests with capacity left is
    /// faulty rather than full.
    pub fn is_full(&self) -> bool {
        self.running >= self.slots && self.waiting >= self.slots
    }
}

/// How far the answer to a request had come when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerStage {
    /// Nothing of it had come.
    Awaited,
    /// Its head had come.
    Begun,
    /// Some of its events had come.
    UnderWay {
        /// Number of events since the request was sent to this backend server.
        events: u32,
    },
}

impl AnswerStage {
    /// Returns the number of events that had come.
    pub fn events(self) -> u32 {
        match self {
            Self::Awaited | Self::Begun => 0,
            Self::UnderWay { events } => events,
        }
    }
}

/// How far a backend server has brought an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AnswerProgress {
    /// It has sent this many events.
    Events(u32),
    /// The answer is complete.
    Complete,
}

impl AnswerProgress {
    /// Returns whether this is clearly more than an answer that ended with its backend server
    /// after `events`. Events on their way are lost in a crash, so that a few more or less of
    /// them say nothing.
    pub fn is_beyond(self, events: u32) -> bool {
        match self {
            Self::Events(count) => count >= events.saturating_mul(2).saturating_add(2),
            Self::Complete => true,
        }
    }
}

/// Contents of a response head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Id of the request that this responds to.
    pub id: Option<CallId>,
    /// Whether the backend server states that the request was not executed.
    pub not_run: bool,
    /// Whether the response came from another incarnation of a backend server than
    /// intended.
    pub misdirected: bool,
    /// Whether the response carries the seal of a backend server, which marks it as its
    /// own.
    pub sealed: bool,
    /// Load at the start of the response.
    pub load: Option<Load>,
    /// Requests a second that the backend server accepts from all entries together, for
    /// as long as it states this limit.
    pub limit: Option<f64>,
    /// Rejections a second beyond which the backend server crashes, for as long as it
    /// states this.
    pub max_rejections: Option<u32>,
    /// How long the backend server asks this entry to send it no requests, if it rejects
    /// the request.
    pub retry_after: Option<Duration>,
    /// Whether the backend server announces that it is leaving.
    pub leaving: bool,
    /// Confidence of the model in its response, from 0 to 100.
    pub confidence: Option<u8>,
    /// Whether the connection is closed after this response.
    pub closing: bool,
    /// How long the connection may stay idle.
    pub keep_alive: Option<Duration>,
}

impl ResponseHead {
    /// Returns whether the status code is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the status code promises that the request has not run.
    pub fn promises_not_run(&self) -> bool {
        self.rejects_for_capacity() || matches!(self.status, REQUEST_TIMEOUT | MISDIRECTED_REQUEST)
    }

    /// Returns whether the status code rejects the request for lack of capacity.
    pub fn rejects_for_capacity(&self) -> bool {
        matches!(self.status, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE)
    }
}
