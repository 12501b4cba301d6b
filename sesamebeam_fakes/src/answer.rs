//! Answers that a test can foretell.
//!
//! The text of an answer depends on the version, the prompt and the number of
//! tokens alone, so that a caller that is given another request's answer, or
//! only a part of its own, is found out.

use serde::Deserialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_128, //
};

use sesamebeam_core::ids::Digest;

/// Tokens of an answer if the request says nothing.
pub const DEFAULT_TOKENS: u32 = 16;

/// Most tokens of one answer.
pub const MAX_TOKENS: u32 = 8192;

/// First token of each answer by a version that was made bad.
pub const BAD_MARK: &str = "[poor]";

/// Bytes of prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Odd constant that spreads token numbers over 64 bits.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// Words of the answers. Their number is a power of two.
const WORDS: [&str; 32] = [
    "anchor", "barge", "berth", "board", "breaker", "buoy", "cable", "cargo", "circuit", "conduit",
    "copper", "deck", "fuse", "ground", "hatch", "hull", "junction", "lamp", "lock", "meter",
    "panel", "phase", "pier", "relay", "river", "sheet", "socket", "switch", "tow", "voltage",
    "wharf", "wire",
];

/// A chat-completions body, as far as the fakes read it.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatBody {
    /// Full name of the version.
    pub model: SmolStr,
    /// Conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Text of the message.
    pub content: String,
}

impl ChatBody {
    /// Joins the texts of all messages by newlines: the prompt.
    pub fn prompt(&self) -> String {
        let texts: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
        texts.join("\n")
    }
}

/// An answer before it is spelt out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    seed: u64,
    tokens: u32,
    bad: bool,
}

impl Answer {
    /// Determines the answer of a version to a prompt.
    pub fn new(version: &str, prompt: &str, tokens: u32, bad: bool) -> Self {
        let mut hash = Xxh3::new();
        hash.update(version.as_bytes());
        hash.update(&[0]);
        hash.update(prompt.as_bytes());
        let seed = hash.digest();
        Self { seed, tokens, bad }
    }

    /// Number of tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Word of one token, counted from 0.
    pub fn word(&self, token: u32) -> &'static str {
        if self.bad && token == 0 {
            return BAD_MARK;
        }
        let mixed = mix(self
            .seed
            .wrapping_add(u64::from(token).wrapping_mul(GOLDEN)));
        WORDS[mixed as usize % WORDS.len()]
    }

    /// Spells out the whole text.
    pub fn text(&self) -> String {
        let words: Vec<&str> = (0..self.tokens).map(|token| self.word(token)).collect();
        words.join(" ")
    }
}

/// Answer of a version to a prompt, with [`DEFAULT_TOKENS`] tokens.
pub fn expected_answer(version: &str, prompt: &str) -> String {
    expected_answer_of(version, prompt, DEFAULT_TOKENS)
}

/// Answer of a version to a prompt, for a request with that `max_tokens`.
pub fn expected_answer_of(version: &str, prompt: &str, max_tokens: u32) -> String {
    Answer::new(version, prompt, max_tokens, false).text()
}

/// Answer of a version that was made bad.
pub fn expected_bad_answer(version: &str, prompt: &str, max_tokens: u32) -> String {
    Answer::new(version, prompt, max_tokens, true).text()
}

/// Tokens of a prompt, as the fakes count them.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Digest under which the books keep a prompt or a body.
pub fn digest(text: &[u8]) -> Digest {
    xxh3_128(text)
}

/// Share between 0 and 1 that depends on the seed and the parts alone.
pub fn share(seed: u64, parts: &[&str]) -> f64 {
    let mut hash = Xxh3::with_seed(seed);
    for part in parts {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    // The upper 53 bits fill the mantissa of a double.
    (hash.digest() >> 11) as f64 / (1u64 << 53) as f64
}

/// Finalizer of the splitmix64 generator.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
