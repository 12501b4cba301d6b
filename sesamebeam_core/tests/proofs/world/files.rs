//! Fleet files of the simulation.

use std::time::Duration;

use sesamebeam_core::{
    fleet::{
        Class,
        Fleet,
        Model,
        Organisation,
        Pool,
        PoolKind,
        Priority,
        Target,
        Version,
        VersionState, //
    },
    ids::DomainId, //
};

/// Returns the name of a failure domain.
pub(crate) fn domain(at: usize) -> DomainId {
    ["hall-petrzalka", "hall-ruzinov", "hall-devin"][at].into()
}

/// Creates a fleet file with two organisations, a model with two versions and a
/// service.
pub(crate) fn fleet() -> Fleet {
    Fleet {
        name: "vazna".into(),
        domains: (0..3).map(domain).collect(),
        pools: vec![
            pool("beam-pool", PoolKind::Engine),
            pool("dispatch-api", PoolKind::Service),
        ],
        models: vec![Model {
            name: "beam".into(),
            pool: "beam-pool".into(),
            versions: vec![version("v1", 1.0, 0.8), version("v2", 3.0, 0.95)],
        }],
        classes: vec![
            class("question", true, Priority::Normal),
            class("confirmation", false, Priority::Urgent),
            Class {
                cascade: true,
                ..class("roster", true, Priority::Deferrable)
            },
            Class {
                service: Some("dispatch-api".into()),
                ..class("booking", false, Priority::Urgent)
            },
            class("status", true, Priority::Urgent),
        ],
        organisations: vec![
            organisation("vazna", '0', &["beam@v1", "beam@v2"]),
            organisation("huallaga", '1', &["beam@v1"]),
        ],
        rollouts: Vec::new(),
    }
}

/// Returns the fleet file with a version withdrawn.
pub(crate) fn withdraw(mut fleet: Fleet, name: &str) -> Fleet {
    for version in &mut fleet.models[0].versions {
        if version.name == name {
            version.state = VersionState::Withdrawn;
        }
    }
    fleet
}

fn pool(name: &str, kind: PoolKind) -> Pool {
    Pool {
        name: name.into(),
        kind,
        checks_fencing: kind == PoolKind::Engine,
        lookup: kind == PoolKind::Service,
        slots: 2,
    }
}

fn version(name: &str, cost: f64, prior: f64) -> Version {
    Version {
        name: name.into(),
        state: VersionState::Settled,
        cost,
        prior,
        weight_bytes: 0,
    }
}

fn class(name: &str, idempotent: bool, priority: Priority) -> Class {
    Class {
        name: name.into(),
        service: None,
        idempotent,
        priority,
        deadline: Duration::from_secs(8),
        cascade: false,
    }
}

fn organisation(name: &str, key: char, allow: &[&str]) -> Organisation {
    Organisation {
        name: name.into(),
        key_sha256: key.to_string().repeat(64).into(),
        allow: allow.iter().map(|v| (*v).into()).collect(),
        share: 1.0,
        targets: vec![Target {
            class: "roster".into(),
            quality: 0.9,
            confidence: 0.5,
            latency: Duration::from_secs(8),
            latency_share: 0.9,
            whole: 0.9,
        }],
        when_cut: Default::default(),
    }
}
