//! Counters of refused and failed handshakes and messages.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use quinn::ConnectionError;

/// Range of transport error codes that carry a TLS alert (RFC 9001, section 4.8).
const TLS_ALERTS: std::ops::Range<u64> = 0x100..0x200;

/// Counts of handshakes and messages that failed since the link was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Handshakes that ended with a TLS alert, since a certificate was rejected.
    pub certificates_refused: u64,
    /// Handshakes that failed for other reasons.
    pub handshakes_failed: u64,
    /// Handshakes refused because too many were in progress.
    pub handshakes_refused: u64,
    /// Streams dropped because a message was too long or truncated.
    pub messages_broken: u64,
}

#[derive(Debug, Default)]
pub(super) struct LinkCounters {
    certificates_refused: AtomicU64,
    handshakes_failed: AtomicU64,
    handshakes_refused: AtomicU64,
    messages_broken: AtomicU64,
}

impl LinkCounters {
    pub(super) fn counts(&self) -> LinkCounts {
        LinkCounts {
            certificates_refused: self.certificates_refused.load(Ordering::Relaxed),
            handshakes_failed: self.handshakes_failed.load(Ordering::Relaxed),
            handshakes_refused: self.handshakes_refused.load(Ordering::Relaxed),
            messages_broken: self.messages_broken.load(Ordering::Relaxed),
        }
    }

    /// Counts a failed handshake by its cause.
    pub(super) fn handshake_failed(&self, e: &ConnectionError) {
        let code = match e {
            ConnectionError::TransportError(e) => Some(u64::from(e.code)),
            ConnectionError::ConnectionClosed(e) => Some(u64::from(e.error_code)),
            _ => None,
        };
        let by_tls = code.is_some_and(|code| TLS_ALERTS.contains(&code));
        let counter = if by_tls {
            &self.certificates_refused
        } else {
            &self.handshakes_failed
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn handshake_timed_out(&self) {
        self.handshakes_failed.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn handshake_refused(&self) {
        self.handshakes_refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn message_broken(&self) {
        self.messages_broken.fetch_add(1, Ordering::Relaxed);
    }
}
