//! What a request and an answer say, free of the names used on the wire.

use std::time::Duration;

use smol_str::SmolStr;

use super::directory::ServerId;
use crate::ids::ModelId;

/// Statuses that turn a request away for want of room.
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;

/// Id of a request, as its caller gave it.
pub type CallId = SmolStr;

/// One part of a prompt that may be kept in an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the content together with all parts before it.
    pub id: u64,
    /// Tokens in it.
    pub tokens: u32,
}

/// What the head of a request says.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Id that the caller gave; a repeat by the caller has another.
    pub id: CallId,
    /// Host that it names.
    pub host: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Key of its caller.
    pub key: Option<SmolStr>,
    /// Time that its caller will wait.
    pub deadline: Option<Duration>,
    /// Model that it names; none if it leaves the choice open.
    pub model: Option<ModelId>,
    /// Parts of its prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that its answer is thought to have; none if it does not say.
    pub answer_tokens: Option<u32>,
    /// Session that it belongs to.
    pub session: Option<SmolStr>,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
}

impl Head {
    /// Returns the last part that other requests share: the last of all is the
    /// request's own.
    pub fn shared_part(&self) -> Option<&PromptPart> {
        self.prompt.iter().rev().nth(1)
    }

    /// Returns the tokens of the prompt that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        let own = self.prompt.last().map(|part| part.tokens);
        own.unwrap_or(self.prompt_tokens)
    }
}

/// What is set on a request that goes to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing<'a> {
    /// Backend server for which it is meant; any other refuses it.
    pub server: &'a ServerId,
    /// Time that is left.
    pub deadline: Duration,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Rank from 0, the most urgent.
    pub rank: u8,
    /// Model to run, where the caller left the choice open.
    pub model: Option<&'a str>,
    /// Event after which the stream goes on.
    pub resume_after: Option<u64>,
}

/// Requests at a backend server, as it counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running.
    pub running: u32,
    /// Waiting for a slot.
    pub waiting: u32,
    /// Most that run together.
    pub slots: u32,
}

impl Load {
    /// Returns whether it leaves no room: all slots are taken, and as many requests
    /// wait. One that refuses with room to spare is ill and not full.
    pub fn is_full(&self) -> bool {
        self.running >= self.slots && self.waiting >= self.slots
    }
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Status code.
    pub status: u16,
    /// Id of the request that it answers.
    pub id: Option<CallId>,
    /// Whether the backend server states that the request did not run.
    pub not_run: bool,
    /// Whether another life of a backend server answered than was meant.
    pub misdirected: bool,
    /// Whether it bears the mark of a backend server's own answer.
    pub sealed: bool,
    /// Load when the answer began.
    pub load: Option<Load>,
    /// Requests a second that the backend server takes from all entries together, for
    /// as long as it says so.
    pub limit: Option<f64>,
    /// Time for which the backend server asks this entry to send it nothing, if it turns
    /// the request away.
    pub retry_after: Option<Duration>,
    /// Whether the backend server says that it leaves.
    pub leaving: bool,
    /// How sure the model is of its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// Whether the connection ends with this answer.
    pub closing: bool,
    /// Time for which the connection may stay idle.
    pub keep_alive: Option<Duration>,
}

impl AnswerHead {
    /// Returns whether it is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether its status turns a request away for want of room.
    pub fn turns_away(&self) -> bool {
        matches!(self.status, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE)
    }
}
