//! The example files of both deployments.

use std::{
    collections::BTreeSet,
    path::{
        Path,
        PathBuf, //
    },
};

use sesamebeam::{
    fleet_file::FleetFile,
    keys::sha256_hex,
    settings::{
        ControlSettings,
        EntrySettings,
        OperatorSettings, //
    },
};
use sesamebeam_core::fleet::{
    PoolKind,
    Priority, //
};
use yare::parameterized;

/// Entries in each failure domain.
const ENTRIES_A_DOMAIN: usize = 3;

fn example(deployment: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(deployment)
}

/// Files of a deployment whose names start with `prefix`.
fn files(deployment: &str, prefix: &str) -> Vec<PathBuf> {
    let mut paths: Vec<_> = std::fs::read_dir(example(deployment))
        .unwrap()
        .map(|f| f.unwrap().path())
        .filter(|path| {
            let name = path.file_name().unwrap().to_string_lossy();
            name.starts_with(prefix)
        })
        .collect();
    paths.sort();
    paths
}

#[parameterized(
    huallaga = { "huallaga", &["lima-ate", "lima-surco", "lima-callao"], "asistente-partes", "registro-partes" },
    vazna = { "vazna", &["hall-petrzalka", "hall-ruzinov", "hall-devin"], "beam-pool", "dispatch-api" },
)]
fn fleet_read(deployment: &str, domains: &[&str], engines: &str, service: &str) {
    let file = FleetFile::read(&example(deployment).join("fleet.toml")).unwrap();
    let fleet = file.fleet;
    assert_eq!(fleet.domains, domains);
    assert_eq!(fleet.pool(engines).unwrap().kind, PoolKind::Engine);
    assert_eq!(fleet.pool(service).unwrap().kind, PoolKind::Service);
    assert_eq!(fleet.organisations.len(), 10);
    assert!(fleet.organisations.iter().any(|org| org.share > 1.0));
    for org in &fleet.organisations {
        assert_eq!(org.key_sha256, sha256_hex(&format!("example-{}", org.name)));
    }
}

#[test]
fn huallaga_classes() {
    let fleet = FleetFile::read(&example("huallaga").join("fleet.toml"))
        .unwrap()
        .fleet;
    assert!(fleet.class("question").unwrap().cascade);
    assert!(!fleet.class("job-sheet").unwrap().idempotent);
    assert_eq!(
        fleet.class("material").unwrap().service.as_deref(),
        Some("registro-partes")
    );
    assert_eq!(
        fleet.class("approval-summary").unwrap().priority,
        Priority::Deferrable
    );
}

#[test]
fn vazna_classes() {
    let fleet = FleetFile::read(&example("vazna").join("fleet.toml"))
        .unwrap()
        .fleet;
    for name in ["convoy-roster", "cargo-note", "lock-slot-draft"] {
        assert_eq!(fleet.class(name).unwrap().priority, Priority::Deferrable);
    }
    let status = fleet.class("berth-status").unwrap();
    assert!(status.idempotent && status.priority == Priority::Urgent);
    for name in ["berth-confirmation", "delivery-confirmation"] {
        let class = fleet.class(name).unwrap();
        assert!(!class.idempotent && class.priority == Priority::Urgent);
    }
}

#[parameterized(huallaga = { "huallaga" }, vazna = { "vazna" })]
fn daemons_fit(deployment: &str) {
    let fleet = FleetFile::read(&example(deployment).join("fleet.toml"))
        .unwrap()
        .fleet;
    let entries: Vec<_> = files(deployment, "entry-")
        .iter()
        .map(|path| EntrySettings::read(path).unwrap())
        .collect();
    let controls: Vec<_> = files(deployment, "control-")
        .iter()
        .map(|path| ControlSettings::read(path).unwrap())
        .collect();
    let operator = OperatorSettings::read(&example(deployment).join("operator.toml")).unwrap();

    assert_eq!(entries.len(), ENTRIES_A_DOMAIN * fleet.domains.len());
    for domain in &fleet.domains {
        let there = entries.iter().filter(|entry| entry.domain == *domain);
        assert_eq!(there.count(), ENTRIES_A_DOMAIN);
        let there = controls.iter().filter(|control| control.domain == *domain);
        assert_eq!(there.count(), 1);
    }
    for control in &controls {
        assert_eq!(control.replicas, operator.control);
        let own = control
            .replicas
            .iter()
            .find(|replica| replica.node == control.node);
        assert_eq!(own.unwrap().addr, control.listen);
    }
    let links: BTreeSet<_> = entries.iter().map(|entry| entry.listen.link).collect();
    for entry in &entries {
        assert_eq!(entry.control, operator.control);
        let mut known: BTreeSet<_> = entry.peers.iter().map(|peer| peer.addr).collect();
        assert!(known.insert(entry.listen.link));
        assert_eq!(known, links);
        assert_eq!(entry.announce_key_sha256, sha256_hex("example-announce"));
    }
    assert_eq!(
        operator
            .entries
            .iter()
            .map(|e| e.addr)
            .collect::<BTreeSet<_>>(),
        links
    );
}
