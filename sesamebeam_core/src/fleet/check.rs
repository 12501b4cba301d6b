//! Validation of a fleet file beyond the types of single keys.

mod models;
mod organisations;
mod rollouts;

use std::{
    collections::BTreeSet,
    fmt, //
};

use smol_str::SmolStr;

use super::{
    Class,
    Fleet,
    Pool,
    PoolKind, //
};

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Minimum Jaro-Winkler similarity of a suggested name (0 to 1).
const MIN_SIMILARITY: f64 = 0.8;

/// A fault in a fleet file.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Path to the faulty value.
    pub path: Vec<PathSegment>,
    /// Description of the fault in one sentence.
    pub message: String,
    /// Name that the operator may have meant.
    pub suggestion: Option<SmolStr>,
}

/// Segment of a path in a TOML file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PathSegment {
    /// Key of a table.
    Key(&'static str),
    /// Index in an array, counted from 0.
    Index(usize),
}

impl Fault {
    /// Creates a fault without a suggestion.
    pub fn new(path: &[PathSegment], message: impl Into<String>) -> Self {
        Self {
            path: path.to_vec(),
            message: message.into(),
            suggestion: None,
        }
    }

    /// Suggests the name that is most similar to `word`, if one is similar
    /// enough.
    #[must_use]
    pub fn with_suggestion<'a>(
        mut self,
        word: &str,
        names: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        self.suggestion = most_similar(word, names);
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        match &self.suggestion {
            Some(text) => write!(f, "; did you mean `{text}`?"),
            None => Ok(()),
        }
    }
}

/// Returns the name that is most similar to `word`, if one is similar enough.
pub fn most_similar<'a>(word: &str, names: impl IntoIterator<Item = &'a str>) -> Option<SmolStr> {
    names
        .into_iter()
        .map(|name| (strsim::jaro_winkler(word, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name.into())
}

/// Returns all faults of a fleet file. A file without faults can be applied.
pub fn check(fleet: &Fleet) -> Vec<Fault> {
    let mut faults = Faults::default();
    check_fleet(fleet, &mut faults);
    check_pools(fleet, &mut faults);
    models::check(fleet, &mut faults);
    check_classes(fleet, &mut faults);
    organisations::check(fleet, &mut faults);
    rollouts::check(fleet, &mut faults);
    faults.list
}

/// Faults found so far.
#[derive(Default)]
struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    fn add(&mut self, path: &[PathSegment], message: impl Into<String>) {
        self.list.push(Fault::new(path, message));
    }

    /// Adds a fault about an unknown name, with a similar one as the
    /// suggestion.
    fn add_unknown<'a>(
        &mut self,
        path: &[PathSegment],
        message: impl Into<String>,
        word: &str,
        names: impl IntoIterator<Item = &'a str>,
    ) {
        self.list
            .push(Fault::new(path, message).with_suggestion(word, names));
    }

    /// Checks that a name can be used in headers, logs and metrics.
    fn check_name(&mut self, path: &[PathSegment], what: &str, name: &str) {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(plain) {
            self.add(
                path,
                format!(
                    "{what} name `{name}` is not 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"
                ),
            );
        }
    }

    /// Checks that a share lies between 0 and 1.
    fn check_share(&mut self, path: &[PathSegment], what: &str, value: f64) {
        // NaN is in no range.
        if !(0.0..=1.0).contains(&value) {
            self.add(path, format!("{what} is {value}, outside 0 to 1"));
        }
    }
}

/// Names found so far in one list, to detect duplicates.
#[derive(Default)]
struct Seen<'a> {
    names: BTreeSet<&'a str>,
}

impl<'a> Seen<'a> {
    /// Adds a fault if the name is a duplicate.
    fn check_unique(
        &mut self,
        faults: &mut Faults,
        path: &[PathSegment],
        what: &str,
        name: &'a str,
    ) {
        if !self.names.insert(name) {
            faults.add(path, format!("{what} `{name}` is listed twice"));
        }
    }
}

fn check_fleet(fleet: &Fleet, faults: &mut Faults) {
    faults.check_name(&[PathSegment::Key("name")], "fleet", &fleet.name);
    if fleet.domains.is_empty() {
        faults.add(
            &[PathSegment::Key("domains")],
            "no failure domain is listed",
        );
    }
    let mut seen = Seen::default();
    for (at, domain) in fleet.domains.iter().enumerate() {
        let path = [PathSegment::Key("domains"), PathSegment::Index(at)];
        faults.check_name(&path, "failure domain", domain);
        seen.check_unique(faults, &path, "failure domain", domain);
    }
}

fn check_pools(fleet: &Fleet, faults: &mut Faults) {
    let mut seen = Seen::default();
    for (at, pool) in fleet.pools.iter().enumerate() {
        let key = |key| {
            [
                PathSegment::Key("pool"),
                PathSegment::Index(at),
                PathSegment::Key(key),
            ]
        };
        faults.check_name(&key("name"), "pool", &pool.name);
        seen.check_unique(faults, &key("name"), "pool", &pool.name);
        if pool.slots == 0 {
            faults.add(
                &key("slots"),
                format!("pool `{}` has zero slots and could run nothing", pool.name),
            );
        }
        check_kind(pool, key, faults);
    }
}

fn check_kind(pool: &Pool, key: impl Fn(&'static str) -> [PathSegment; 3], faults: &mut Faults) {
    match pool.kind {
        PoolKind::Engine if pool.lookup => faults.add(
            &key("lookup"),
            format!(
                "pool `{}` is of engines; `lookup` is for services",
                pool.name
            ),
        ),
        PoolKind::Service if pool.checks_fencing => faults.add(
            &key("checks_fencing"),
            format!(
                "pool `{}` is of services; `checks_fencing` is for engines",
                pool.name
            ),
        ),
        PoolKind::Engine | PoolKind::Service => {}
    }
}

fn check_classes(fleet: &Fleet, faults: &mut Faults) {
    if fleet.classes.is_empty() && !fleet.organisations.is_empty() {
        faults.add(
            &[PathSegment::Key("organisation")],
            "no class of requests is listed, so that no organisation could be served",
        );
    }
    let mut seen = Seen::default();
    for (at, class) in fleet.classes.iter().enumerate() {
        let key = |key| {
            [
                PathSegment::Key("class"),
                PathSegment::Index(at),
                PathSegment::Key(key),
            ]
        };
        faults.check_name(&key("name"), "class", &class.name);
        seen.check_unique(faults, &key("name"), "class", &class.name);
        check_class(fleet, class, key, faults);
    }
}

fn check_class(
    fleet: &Fleet,
    class: &Class,
    key: impl Fn(&'static str) -> [PathSegment; 3],
    faults: &mut Faults,
) {
    let name = &class.name;
    if class.deadline.is_zero() {
        faults.add(
            &key("deadline"),
            format!("class `{name}` has a deadline of zero"),
        );
    }
    if class.cascade && !class.idempotent {
        faults.add(
            &key("cascade"),
            format!("class `{name}` is not idempotent, so that a cascade would run it twice"),
        );
    }
    let Some(service) = &class.service else {
        return;
    };
    if class.cascade {
        faults.add(
            &key("cascade"),
            format!("class `{name}` goes to a plain service, which has no versions to cascade"),
        );
    }
    match fleet.pool(service).map(|pool| pool.kind) {
        Some(PoolKind::Service) => {}
        Some(PoolKind::Engine) => faults.add_unknown(
            &key("service"),
            format!("class `{name}` goes to pool `{service}`, which is of engines, not services"),
            service,
            pools_of(fleet, PoolKind::Service),
        ),
        None => faults.add_unknown(
            &key("service"),
            format!("class `{name}` goes to pool `{service}`, which is not listed"),
            service,
            pools_of(fleet, PoolKind::Service),
        ),
    }
}

fn pools_of(fleet: &Fleet, kind: PoolKind) -> impl Iterator<Item = &str> {
    let pools = fleet.pools.iter().filter(move |pool| pool.kind == kind);
    pools.map(|pool| pool.name.as_str())
}
