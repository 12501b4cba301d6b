//! Claims as an entry writes them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use sesamebeam_core::message::record::{
    ClaimEnd,
    ClaimKey,
    ClaimRequest,
    Claimant,
    CompleteRequest,
    Completed,
    ServerIncarnation,
    Usage, //
};
use smol_str::format_smolstr;

use crate::group::unix_millis;

/// Life of every instance and backend server here.
const INCARNATION: u64 = 0x1f2e_3d4c_5b6a_7988;

/// Makes the claim of one key by an entry.
pub(super) fn claim(entry: &str, number: u64) -> ClaimRequest {
    ClaimRequest {
        key: key(entry, number),
        digest: u128::from(number) << 64 | 0x55aa,
        request: request(number),
        claimant: Claimant {
            instance: entry.into(),
            incarnation: INCARNATION,
        },
        target: ServerIncarnation {
            addr: SocketAddr::from(([10, 0, 0, 1], 8000)),
            incarnation: INCARNATION,
        },
        version: Some("ligero@v4".into()),
        class: "job-sheet".into(),
        window: Duration::from_secs(1),
        replaces: 0,
    }
}

/// Makes the end of that claim with a body of a length, or none.
pub(super) fn complete(entry: &str, number: u64, body: Option<usize>) -> CompleteRequest {
    CompleteRequest {
        key: key(entry, number),
        generation: 1,
        request: request(number),
        end: ClaimEnd::Completed(Completed {
            status: 200,
            content_type: "text/event-stream".into(),
            digest: request(number),
            length: body.unwrap_or(0) as u64,
            body: body.map(|length| vec![b'x'; length]),
        }),
        usage: Usage {
            prompt_tokens: 120,
            completion_tokens: 272,
        },
        at: unix_millis(),
    }
}

fn key(entry: &str, number: u64) -> ClaimKey {
    ClaimKey {
        org: "bench".into(),
        // As long as the customary random key.
        key: format_smolstr!("{entry:>8.8}-{number:028x}"),
    }
}

fn request(number: u64) -> u128 {
    u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835) | 1
}
