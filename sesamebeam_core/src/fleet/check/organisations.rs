//! Checks of organisations, their allowed versions and their objectives.

use std::collections::BTreeMap;

use super::{
    Faults,
    PathSegment,
    Seen, //
};
use crate::{
    fleet::{
        Fleet,
        Organisation,
        Target, //
    },
    ids::join_version,
};

/// Number of hex digits of a SHA-256 digest.
const SHA256_HEX_DIGITS: usize = 64;

pub(super) fn check(fleet: &Fleet, faults: &mut Faults) {
    let mut seen = Seen::default();
    let mut hashes = BTreeMap::new();
    for (at, org) in fleet.organisations.iter().enumerate() {
        let key = |key| {
            [
                PathSegment::Key("organisation"),
                PathSegment::Index(at),
                PathSegment::Key(key),
            ]
        };
        let name = &org.name;
        faults.check_name(&key("name"), "organisation", name);
        seen.check_unique(faults, &key("name"), "organisation", name);
        if !is_sha256_hex(&org.key_sha256) {
            faults.add(
                &key("key_sha256"),
                format!(
                    "key of organisation `{name}` is not {SHA256_HEX_DIGITS} lower-case hex digits"
                ),
            );
        } else if let Some(other) = hashes.insert(&org.key_sha256, name) {
            faults.add(
                &key("key_sha256"),
                format!("organisations `{other}` and `{name}` have the same key"),
            );
        }
        if !org.share.is_finite() || org.share <= 0.0 {
            faults.add(
                &key("share"),
                format!(
                    "share of organisation `{name}` is {}, not above 0",
                    org.share
                ),
            );
        }
        check_allowed(fleet, org, at, faults);
        check_targets(fleet, org, at, faults);
    }
}

fn is_sha256_hex(text: &str) -> bool {
    let digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(digit)
}

fn check_allowed(fleet: &Fleet, org: &Organisation, at: usize, faults: &mut Faults) {
    let path = [
        PathSegment::Key("organisation"),
        PathSegment::Index(at),
        PathSegment::Key("allow"),
    ];
    if org.allow.is_empty() {
        faults.add(
            &path,
            format!("organisation `{}` is allowed no version", org.name),
        );
    }
    let listed: Vec<_> = fleet
        .models
        .iter()
        .flat_map(|model| {
            model
                .versions
                .iter()
                .map(|v| join_version(&model.name, &v.name))
        })
        .collect();
    let mut seen = Seen::default();
    for (n, version) in org.allow.iter().enumerate() {
        let path = [path[0], path[1], path[2], PathSegment::Index(n)];
        let what = format!("version allowed to organisation `{}`", org.name);
        seen.check_unique(faults, &path, &what, version);
        if fleet.version(version).is_none() {
            faults.add_unknown(
                &path,
                format!(
                    "organisation `{}` allows `{version}`, which no model lists",
                    org.name
                ),
                version,
                listed.iter().map(|name| name.as_str()),
            );
        }
    }
}

fn check_targets(fleet: &Fleet, org: &Organisation, at: usize, faults: &mut Faults) {
    let mut seen = Seen::default();
    for (n, target) in org.targets.iter().enumerate() {
        let key = |key| {
            [
                PathSegment::Key("organisation"),
                PathSegment::Index(at),
                PathSegment::Key("target"),
                PathSegment::Index(n),
                PathSegment::Key(key),
            ]
        };
        let what = format!("target of organisation `{}` for class", org.name);
        seen.check_unique(faults, &key("class"), &what, &target.class);
        if fleet.class(&target.class).is_none() {
            faults.add_unknown(
                &key("class"),
                format!(
                    "organisation `{}` has a target for class `{}`, which is not listed",
                    org.name, target.class
                ),
                &target.class,
                fleet.classes.iter().map(|class| class.name.as_str()),
            );
        }
        check_target(org, target, key, faults);
    }
}

fn check_target(
    org: &Organisation,
    target: &Target,
    key: impl Fn(&'static str) -> [PathSegment; 5],
    faults: &mut Faults,
) {
    let of = format!(
        "of organisation `{}` for class `{}`",
        org.name, target.class
    );
    faults.check_share(
        &key("quality"),
        &format!("quality target {of}"),
        target.quality,
    );
    faults.check_share(
        &key("latency_share"),
        &format!("latency share {of}"),
        target.latency_share,
    );
    faults.check_share(
        &key("whole"),
        &format!("share of whole answers {of}"),
        target.whole,
    );
    if !(target.confidence > 0.0 && target.confidence < 1.0) {
        // A confidence of 1 would require infinite evidence.
        faults.add(
            &key("confidence"),
            format!(
                "confidence {of} is {}, not between 0 and 1",
                target.confidence
            ),
        );
    }
    if target.latency.is_zero() {
        faults.add(&key("latency"), format!("latency target {of} is zero"));
    }
}
