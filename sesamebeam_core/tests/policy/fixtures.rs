//! Fixtures for the policy tests.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use sesamebeam_core::{
    fleet::{
        Class,
        Fleet,
        Model,
        Organisation,
        Pool,
        PoolKind,
        Priority,
        Rollout,
        Target,
        Version,
        VersionState,
        WhenCut, //
    },
    ids::RequestId,
    message::server::{
        Announcement,
        Load,
        Rating, //
    },
};

/// Versions of the test fleet: name, cost, prior, state.
const VERSIONS: [(&str, f64, f64, VersionState); 4] = [
    ("cheap", 1.0, 0.8, VersionState::Settled),
    ("mid", 3.0, 0.9, VersionState::Settled),
    ("best", 10.0, 0.97, VersionState::Settled),
    ("next", 2.0, 0.9, VersionState::Rolling),
];

pub(crate) fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub(crate) fn class(name: &str, priority: Priority, idempotent: bool) -> Class {
    Class {
        name: name.into(),
        service: None,
        idempotent,
        priority,
        deadline: secs(30),
        cascade: true,
    }
}

pub(crate) fn target(class: &str, quality: f64) -> Target {
    Target {
        class: class.into(),
        quality,
        confidence: 0.9,
        latency: secs(2),
        latency_share: 0.95,
        whole: 0.99,
    }
}

pub(crate) fn fleet() -> Fleet {
    let version = |(name, cost, prior, state): (&str, f64, f64, VersionState)| Version {
        name: name.into(),
        state,
        cost,
        prior,
        weight_bytes: 0,
    };
    let pool = |name: &str, kind| Pool {
        name: name.into(),
        kind,
        checks_fencing: false,
        lookup: false,
        slots: 4,
    };
    Fleet {
        name: "test".into(),
        domains: vec!["hall-1".into(), "hall-2".into()],
        pools: vec![
            pool("pool", PoolKind::Engine),
            pool("api", PoolKind::Service),
        ],
        models: vec![Model {
            name: "beam".into(),
            pool: "pool".into(),
            versions: VERSIONS.into_iter().map(version).collect(),
        }],
        classes: vec![
            class("ask", Priority::Normal, true),
            class("status", Priority::Urgent, true),
            class("sheet", Priority::Urgent, false),
            class("roster", Priority::Deferrable, true),
        ],
        organisations: vec![organisation("large", 1.0), organisation("small", 1.0)],
        rollouts: vec![Rollout {
            version: "beam@next".into(),
            steps: vec![0.1, 1.0],
            gate: 40,
            dwell: secs(60),
            copies: 1,
        }],
    }
}

fn organisation(name: &str, share: f64) -> Organisation {
    Organisation {
        name: name.into(),
        key_sha256: "".into(),
        allow: VERSIONS
            .iter()
            .map(|v| format!("beam@{}", v.0).into())
            .collect(),
        share,
        targets: vec![target("ask", 0.85)],
        when_cut: WhenCut::default(),
    }
}

pub(crate) fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8000))
}

pub(crate) fn announcement(number: u16, seq: u64) -> Announcement {
    Announcement {
        pool: "pool".into(),
        domain: "hall-1".into(),
        addr: addr(number),
        incarnation: 7,
        seq,
        leaving: false,
        load: Load::default(),
        versions: VERSIONS
            .iter()
            .map(|v| format!("beam@{}", v.0).into())
            .collect(),
        cache: Vec::new(),
        speed: 40.0,
    }
}

pub(crate) fn rating(request: RequestId, version: &str, score: f64) -> Rating {
    Rating {
        request,
        class: "ask".into(),
        version: version.into(),
        score,
        age: Duration::ZERO,
    }
}
