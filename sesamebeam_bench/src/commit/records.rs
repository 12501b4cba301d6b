//! Bytes and memory of records, on the core alone.

use std::time::Instant;

use sesamebeam_core::{
    message::{
        command::{
            Change,
            Command,
            Outcome,
            Retention, //
        },
        record::ClaimReply,
        wire, //
    },
    state::State,
};

use super::{
    CommitError,
    claims::{
        claim,
        complete, //
    },
};
use crate::{
    load::bed::fleet,
    process,
    slopes::Found, //
};

/// Claims that are kept.
const CLAIMS: u64 = 100_000;

/// Bytes of a kept answer.
const BODY: usize = 1024;

pub(super) fn run() -> Result<Vec<Found>, CommitError> {
    println!("\nrecords of the state, {CLAIMS} claims with their ends and billing entries");
    let bare = grow(None)?;
    let with_body = grow(Some(BODY))?;
    println!(
        "  log: {:.0} bytes a claim, {:.0} its end without a body",
        bare.claim, bare.end
    );
    println!(
        "  memory: {:.0} bytes a claim with its end and billing entry; {:.2} bytes for each byte of a kept answer",
        bare.memory,
        (with_body.memory - bare.memory) / BODY as f64
    );
    let at = Instant::now();
    let snapshot = bare.state.snapshot();
    let written = at.elapsed();
    let at = Instant::now();
    drop(State::restore(&snapshot));
    let read = at.elapsed();
    let snapshot = snapshot.len() as f64 / CLAIMS as f64;
    println!(
        "  snapshot: {snapshot:.0} bytes a claim, written in {written:.0?}, read in {read:.0?}"
    );
    Ok(vec![
        Found::new(
            "claim.log",
            bare.claim + bare.end,
            "bytes/claim",
            "log entries of a claim and its end, encoded",
        ),
        Found::new(
            "claim.memory",
            bare.memory,
            "bytes/claim",
            "claim with its end and billing entry, resident",
        ),
        Found::new(
            "claim.body.memory",
            (with_body.memory - bare.memory) / BODY as f64,
            "bytes/byte",
            "kept answer, resident for each byte",
        ),
        Found::new(
            "claim.snapshot",
            snapshot,
            "bytes/claim",
            "claim with its billing entry in a snapshot",
        ),
    ])
}

struct Grown {
    /// Kept until all is measured: memory that is given back is used again
    /// without growing the process.
    state: State,
    claim: f64,
    end: f64,
    memory: f64,
}

fn grow(body: Option<usize>) -> Result<Grown, CommitError> {
    let mut state = State::default();
    state.apply(1, &Command::Retention(wide()));
    state.apply(2, &Command::Apply(first_file()?));
    let me = std::process::id();
    let before = process::resident(me)?;
    let (mut claimed, mut ended) = (0, 0);
    let mut granted = 0;
    for number in 0..CLAIMS {
        let command = Command::Claim(claim("e", number));
        claimed += wire::encode(&command)?.len();
        let outcome = state.apply(3 + 2 * number, &command);
        granted += u64::from(matches!(outcome, Outcome::Claim(ClaimReply::Granted(_))));
        let command = Command::Complete(complete("e", number, body));
        ended += wire::encode(&command)?.len();
        state.apply(4 + 2 * number, &command);
    }
    if granted < CLAIMS {
        println!("  only {granted} of {CLAIMS} claims were granted");
    }
    let memory = (process::resident(me)?.saturating_sub(before)) as f64 / granted.max(1) as f64;
    let each = |bytes: usize| bytes as f64 / CLAIMS as f64;
    Ok(Grown {
        state,
        claim: each(claimed),
        end: each(ended),
        memory,
    })
}

/// Retention under which nothing expires or is denied here.
fn wide() -> Retention {
    let most = u32::MAX;
    Retention {
        max_claims: most,
        max_bills: most,
        bodies_cap: u64::MAX,
        ..Retention::default()
    }
}

fn first_file() -> Result<Change, CommitError> {
    Ok(Change {
        base: 0,
        digest: 1,
        fleet: Box::new(fleet(32)?),
        operator: "bench".into(),
        at: 0,
    })
}
