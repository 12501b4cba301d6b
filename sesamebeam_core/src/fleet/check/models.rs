//! Checks of models and their versions.

use super::{
    Faults,
    PathSegment,
    Seen,
    pools_of, //
};
use crate::fleet::{
    Fleet,
    Model,
    PoolKind,
    Version, //
};

pub(super) fn check(fleet: &Fleet, faults: &mut Faults) {
    let mut seen = Seen::default();
    for (at, model) in fleet.models.iter().enumerate() {
        let key = |key| {
            [
                PathSegment::Key("model"),
                PathSegment::Index(at),
                PathSegment::Key(key),
            ]
        };
        faults.check_name(&key("name"), "model", &model.name);
        seen.check_unique(faults, &key("name"), "model", &model.name);
        check_pool(fleet, model, &key("pool"), faults);
        check_versions(model, at, faults);
    }
}

fn check_pool(fleet: &Fleet, model: &Model, path: &[PathSegment], faults: &mut Faults) {
    let fault = match fleet.pool(&model.pool).map(|pool| pool.kind) {
        Some(PoolKind::Engine) => return,
        Some(PoolKind::Service) => "is of plain services, which load no model",
        None => "is not listed",
    };
    faults.add_unknown(
        path,
        format!(
            "model `{}` runs on pool `{}`, which {fault}",
            model.name, model.pool
        ),
        &model.pool,
        pools_of(fleet, PoolKind::Engine),
    );
}

fn check_versions(model: &Model, at: usize, faults: &mut Faults) {
    if model.versions.is_empty() {
        faults.add(
            &[
                PathSegment::Key("model"),
                PathSegment::Index(at),
                PathSegment::Key("name"),
            ],
            format!("model `{}` has no version", model.name),
        );
    }
    let mut seen = Seen::default();
    for (n, version) in model.versions.iter().enumerate() {
        let key = |key| {
            [
                PathSegment::Key("model"),
                PathSegment::Index(at),
                PathSegment::Key("version"),
                PathSegment::Index(n),
                PathSegment::Key(key),
            ]
        };
        faults.check_name(&key("name"), "version", &version.name);
        let what = format!("version of model `{}`", model.name);
        seen.check_unique(faults, &key("name"), &what, &version.name);
        check_version(model, version, key, faults);
    }
}

fn check_version(
    model: &Model,
    version: &Version,
    key: impl Fn(&'static str) -> [PathSegment; 5],
    faults: &mut Faults,
) {
    let full = format!("{}@{}", model.name, version.name);
    if !version.cost.is_finite() || version.cost < 0.0 {
        faults.add(
            &key("cost"),
            format!(
                "cost of `{full}` is {}, not a number from 0 on",
                version.cost
            ),
        );
    }
    faults.check_share(&key("prior"), &format!("prior of `{full}`"), version.prior);
}
