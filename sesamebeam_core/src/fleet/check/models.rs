//! Checks of models and their versions.

use super::{
    Faults,
    Seen,
    Step,
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
        let key = |key| [Step::Key("model"), Step::At(at), Step::Key(key)];
        faults.name(&key("name"), "model", &model.name);
        seen.once(faults, &key("name"), "model", &model.name);
        check_pool(fleet, model, &key("pool"), faults);
        check_versions(model, at, faults);
    }
}

fn check_pool(fleet: &Fleet, model: &Model, path: &[Step], faults: &mut Faults) {
    let fault = match fleet.pool(&model.pool).map(|pool| pool.kind) {
        Some(PoolKind::Engine) => return,
        Some(PoolKind::Service) => "is of plain services, which load no model",
        None => "is not listed",
    };
    faults.unknown(
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
            &[Step::Key("model"), Step::At(at), Step::Key("name")],
            format!("model `{}` has no version", model.name),
        );
    }
    let mut seen = Seen::default();
    for (n, version) in model.versions.iter().enumerate() {
        let key = |key| {
            [
                Step::Key("model"),
                Step::At(at),
                Step::Key("version"),
                Step::At(n),
                Step::Key(key),
            ]
        };
        faults.name(&key("name"), "version", &version.name);
        let what = format!("version of model `{}`", model.name);
        seen.once(faults, &key("name"), &what, &version.name);
        check_version(model, version, key, faults);
    }
}

fn check_version(
    model: &Model,
    version: &Version,
    key: impl Fn(&'static str) -> [Step; 5],
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
    faults.share(&key("prior"), &format!("prior of `{full}`"), version.prior);
}
