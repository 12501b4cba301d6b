//! Helpers for the tests of the state.

use std::time::Duration;

use sesamebeam_core::{
    fleet::{
        Class,
        Fleet,
        Model,
        Organisation,
        Pool,
        PoolKind,
        Rollout,
        Version,
        VersionState, //
    },
    ids::{
        Digest,
        Generation,
        Revision, //
    },
    message::{
        command::{
            Change,
            Command,
            Outcome,
            Verdict, //
        },
        record::{
            ClaimEnd,
            ClaimKey,
            ClaimRequest,
            Claimant,
            CompleteRequest,
            Completed,
            ServerIncarnation,
            Usage, //
        },
    },
    state::State,
};

/// A replicated state with the next log index.
pub(crate) struct Group {
    pub(crate) state: State,
    next: u64,
}

impl Group {
    pub(crate) fn new() -> Self {
        Self {
            state: State::default(),
            next: 1,
        }
    }

    /// Creates a group that has accepted the file returned by [`fleet`].
    pub(crate) fn with_fleet() -> Self {
        let mut group = Self::new();
        group.accept(fleet());
        group
    }

    pub(crate) fn apply(&mut self, command: &Command) -> Outcome {
        let outcome = self.state.apply(self.next, command);
        self.next += 1;
        outcome
    }

    /// Applies a file based on the newest revision and returns the new
    /// revision.
    pub(crate) fn accept(&mut self, fleet: Fleet) -> Revision {
        let base = self.state.revision();
        let digest = Digest::from(self.next);
        match self.apply(&Command::Apply(change(base, digest, fleet))) {
            Outcome::Verdict(Verdict::Accepted(revision)) => revision,
            other => panic!("the file was not accepted: {other:?}"),
        }
    }

    pub(crate) fn clock(&mut self, at: Duration) {
        self.apply(&Command::Clock { at });
    }

    /// Replaces the state by the one restored from its snapshot.
    pub(crate) fn restart(&mut self) {
        let faults = self.state.faults;
        let buf = self.state.snapshot();
        self.state = State::restore(&buf).expect("a snapshot restores");
        self.state.faults = faults;
        assert_eq!(self.state.snapshot(), buf, "a snapshot of a restored state");
    }
}

pub(crate) fn change(base: Revision, digest: Digest, fleet: Fleet) -> Change {
    Change {
        base,
        digest,
        fleet: Box::new(fleet),
        operator: "ana".into(),
        at: 0,
    }
}

pub(crate) fn version(name: &str, state: VersionState) -> Version {
    Version {
        name: name.into(),
        state,
        cost: 1.0,
        prior: 0.9,
        weight_bytes: 1000,
    }
}

/// Creates a fleet file with one model, whose versions `v1` and `v2` are
/// settled and `v3` is rolling.
pub(crate) fn fleet() -> Fleet {
    Fleet {
        name: "huallaga".into(),
        domains: vec!["lima-ate".into(), "lima-surco".into()],
        pools: vec![Pool {
            name: "registro-partes".into(),
            kind: PoolKind::Engine,
            checks_fencing: true,
            lookup: false,
            slots: 8,
        }],
        models: vec![Model {
            name: "partes".into(),
            pool: "registro-partes".into(),
            versions: vec![
                version("v1", VersionState::Settled),
                version("v2", VersionState::Settled),
                version("v3", VersionState::Rolling),
            ],
        }],
        classes: vec![Class {
            name: "sheet".into(),
            service: None,
            idempotent: false,
            priority: Default::default(),
            deadline: Duration::from_secs(30),
            cascade: false,
        }],
        organisations: vec![Organisation {
            name: "huallaga".into(),
            key_sha256: "00".into(),
            allow: vec!["partes@v1".into(), "partes@v2".into(), "partes@v3".into()],
            share: 1.0,
            targets: Vec::new(),
            when_cut: Default::default(),
        }],
        rollouts: vec![Rollout {
            version: "partes@v3".into(),
            steps: vec![0.1, 0.5, 1.0],
            gate: 10,
            dwell: Duration::from_secs(60),
            copies: 1,
        }],
    }
}

/// Returns the file of [`fleet`] with another state of one version.
pub(crate) fn fleet_with_state(name: &str, state: VersionState) -> Fleet {
    let mut fleet = fleet();
    for version in &mut fleet.models[0].versions {
        if version.name == name {
            version.state = state;
        }
    }
    fleet
}

pub(crate) fn key(name: &str) -> ClaimKey {
    ClaimKey {
        org: "huallaga".into(),
        key: name.into(),
    }
}

pub(crate) fn server(n: u16) -> ServerIncarnation {
    ServerIncarnation {
        addr: ([10, 0, 0, 1], n).into(),
        incarnation: u64::from(n),
    }
}

/// Creates a claim of entry number `entry` on the key `sheet`.
pub(crate) fn claim(entry: u64, replaces: Generation) -> ClaimRequest {
    ClaimRequest {
        key: key("sheet"),
        digest: 7,
        request: u128::from(entry),
        claimant: Claimant {
            instance: smol_str::format_smolstr!("entry-{entry}"),
            incarnation: entry,
        },
        target: server(entry as u16),
        version: Some("partes@v1".into()),
        class: "sheet".into(),
        window: Duration::from_secs(2),
        replaces,
    }
}

pub(crate) fn completed_end(body: &str) -> ClaimEnd {
    ClaimEnd::Completed(Completed {
        status: 200,
        content_type: "application/json".into(),
        digest: body.len() as Digest,
        length: body.len() as u64,
        body: Some(body.as_bytes().to_vec()),
    })
}

/// Creates the end of a claim of entry number `entry`.
pub(crate) fn end(entry: u64, generation: Generation, end: ClaimEnd) -> CompleteRequest {
    CompleteRequest {
        key: key("sheet"),
        generation,
        request: u128::from(entry),
        end,
        usage: Usage {
            prompt_tokens: 10,
            completion_tokens: 20,
        },
        at: 1,
    }
}
