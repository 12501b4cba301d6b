//! Differences between fleet files.
//!
//! A difference identifies list items by name. Applying it keeps the order of
//! existing items and appends new items. A list whose resulting order would
//! differ from that in the new file also carries its complete order.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use smol_str::{
    SmolStr,
    format_smolstr, //
};
use thiserror::Error;

use crate::{
    fleet::{
        Class,
        Fleet,
        Model,
        Organisation,
        Pool,
        Rollout, //
    },
    ids::Revision,
    message::control::{
        FleetChange,
        FleetDelta,
        ListOrder,
        RemovedPart, //
    },
};

/// Reason why a change of the fleet file was not installed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The difference was computed from another revision.
    #[error("difference was computed from revision {expected}, but revision {found} is in force")]
    Base {
        /// Revision that the difference was computed from.
        expected: Revision,
        /// Revision in force.
        found: Revision,
    },
    /// The revision of the change is not newer than the one in force.
    #[error("revision {found} is in force and {offered} is not newer")]
    NotNewer {
        /// Revision of the change.
        offered: Revision,
        /// Revision in force.
        found: Revision,
    },
    /// The order of a list names an item that the file does not contain, or
    /// omits one.
    #[error("list order in the difference does not match the items of the file")]
    Order,
}

/// Computes the change from one file to the next: a difference if names are
/// unique in both files, otherwise the whole file.
pub fn change(base: Revision, old: &Fleet, new: &Fleet) -> FleetChange {
    if unique_names(old) && unique_names(new) {
        FleetChange::Delta(Box::new(compute(base, old, new)))
    } else {
        FleetChange::Whole(Box::new(new.clone()))
    }
}

/// Computes the difference between two files in which names are unique.
pub fn compute(base: Revision, old: &Fleet, new: &Fleet) -> FleetDelta {
    let pools = diff(&old.pools, &new.pools, pool_name);
    let models = diff(&old.models, &new.models, model_name);
    let classes = diff(&old.classes, &new.classes, class_name);
    let organisations = diff(&old.organisations, &new.organisations, organisation_name);
    let rollouts = diff(&old.rollouts, &new.rollouts, rollout_name);
    let mut removed = Vec::new();
    removed.extend(pools.removed.into_iter().map(RemovedPart::Pool));
    removed.extend(models.removed.into_iter().map(RemovedPart::Model));
    removed.extend(classes.removed.into_iter().map(RemovedPart::Class));
    removed.extend(
        organisations
            .removed
            .into_iter()
            .map(RemovedPart::Organisation),
    );
    removed.extend(rollouts.removed.into_iter().map(RemovedPart::Rollout));
    let mut orders = Vec::new();
    orders.extend(pools.order.map(ListOrder::Pools));
    orders.extend(models.order.map(ListOrder::Models));
    orders.extend(classes.order.map(ListOrder::Classes));
    orders.extend(organisations.order.map(ListOrder::Organisations));
    orders.extend(rollouts.order.map(ListOrder::Rollouts));
    FleetDelta {
        base,
        name: (old.name != new.name).then(|| new.name.clone()),
        domains: (old.domains != new.domains).then(|| new.domains.clone()),
        pools: pools.changed,
        models: models.changed,
        classes: classes.changed,
        organisations: organisations.changed,
        rollouts: rollouts.changed,
        removed,
        orders,
    }
}

/// Applies a difference to the file that it was computed from.
///
/// # Errors
///
/// Fails if the order of a list does not match the items of the file, which
/// means that the difference was computed from another file.
pub fn apply(old: &Fleet, delta: &FleetDelta) -> Result<Fleet, DeltaError> {
    let mut removed = RemovedNames::default();
    for part in &delta.removed {
        removed.add(part);
    }
    let mut new = Fleet {
        name: delta.name.clone().unwrap_or_else(|| old.name.clone()),
        domains: delta.domains.clone().unwrap_or_else(|| old.domains.clone()),
        pools: merge(&old.pools, &delta.pools, &removed.pools, pool_name),
        models: merge(&old.models, &delta.models, &removed.models, model_name),
        classes: merge(&old.classes, &delta.classes, &removed.classes, class_name),
        organisations: merge(
            &old.organisations,
            &delta.organisations,
            &removed.organisations,
            organisation_name,
        ),
        rollouts: merge(
            &old.rollouts,
            &delta.rollouts,
            &removed.rollouts,
            rollout_name,
        ),
    };
    for order in &delta.orders {
        match order {
            ListOrder::Pools(names) => reorder(&mut new.pools, names, pool_name)?,
            ListOrder::Models(names) => reorder(&mut new.models, names, model_name)?,
            ListOrder::Classes(names) => reorder(&mut new.classes, names, class_name)?,
            ListOrder::Organisations(names) => {
                reorder(&mut new.organisations, names, organisation_name)?;
            }
            ListOrder::Rollouts(names) => reorder(&mut new.rollouts, names, rollout_name)?,
        }
    }
    Ok(new)
}

/// Applies a change to the file in force.
///
/// A change that arrives late or twice must not return the configuration to an
/// older revision. Only a newer revision is accepted, and a difference only if
/// the file in force is the one it was computed from.
///
/// # Errors
///
/// Fails if the revision is not newer or the change was computed from another
/// file.
pub fn install(
    found: Revision,
    fleet: &Fleet,
    offered: Revision,
    change: &FleetChange,
) -> Result<Fleet, DeltaError> {
    if offered <= found {
        return Err(DeltaError::NotNewer { offered, found });
    }
    match change {
        FleetChange::Whole(new) => Ok((**new).clone()),
        FleetChange::Delta(delta) if delta.base == found => apply(fleet, delta),
        FleetChange::Delta(delta) => Err(DeltaError::Base {
            expected: delta.base,
            found,
        }),
    }
}

/// Returns descriptions of the parts in which two files differ.
pub fn differences(old: &Fleet, new: &Fleet) -> Vec<SmolStr> {
    let delta = compute(0, old, new);
    let mut names = Vec::new();
    names.extend(delta.name.map(|_| SmolStr::new("name")));
    names.extend(delta.domains.map(|_| SmolStr::new("domains")));
    let mut part = |kind: &str, name: &str| names.push(format_smolstr!("{kind} `{name}`"));
    delta.pools.iter().for_each(|p| part("pool", &p.name));
    delta.models.iter().for_each(|m| part("model", &m.name));
    delta.classes.iter().for_each(|c| part("class", &c.name));
    for org in &delta.organisations {
        part("organisation", &org.name);
    }
    for rollout in &delta.rollouts {
        part("rollout", &rollout.version);
    }
    for removed in &delta.removed {
        match removed {
            RemovedPart::Pool(name) => part("pool", name),
            RemovedPart::Model(name) => part("model", name),
            RemovedPart::Class(name) => part("class", name),
            RemovedPart::Organisation(name) => part("organisation", name),
            RemovedPart::Rollout(name) => part("rollout", name),
        }
    }
    for order in &delta.orders {
        names.push(SmolStr::new_static(match order {
            ListOrder::Pools(_) => "order of the pools",
            ListOrder::Models(_) => "order of the models",
            ListOrder::Classes(_) => "order of the classes",
            ListOrder::Organisations(_) => "order of the organisations",
            ListOrder::Rollouts(_) => "order of the rollouts",
        }));
    }
    names
}

/// Difference between two lists.
struct ListDelta<T> {
    changed: Vec<T>,
    removed: Vec<SmolStr>,
    order: Option<Vec<SmolStr>>,
}

fn diff<T: Clone + PartialEq>(old: &[T], new: &[T], name: fn(&T) -> &SmolStr) -> ListDelta<T> {
    let before: BTreeMap<_, _> = old.iter().map(|item| (name(item), item)).collect();
    let after: BTreeSet<_> = new.iter().map(name).collect();
    let changed: Vec<T> = new
        .iter()
        .filter(|item| before.get(name(item)) != Some(item))
        .cloned()
        .collect();
    let removed: Vec<SmolStr> = old
        .iter()
        .map(name)
        .filter(|n| !after.contains(n))
        .cloned()
        .collect();
    let removed_names = removed.iter().cloned().collect();
    let merged = merge(old, &changed, &removed_names, name);
    let same_order = merged.iter().map(name).eq(new.iter().map(name));
    ListDelta {
        changed,
        removed,
        order: (!same_order).then(|| new.iter().map(name).cloned().collect()),
    }
}

fn merge<T: Clone>(
    old: &[T],
    changed: &[T],
    removed: &BTreeSet<SmolStr>,
    name: fn(&T) -> &SmolStr,
) -> Vec<T> {
    let after: BTreeMap<_, _> = changed.iter().map(|item| (name(item), item)).collect();
    let before: BTreeSet<_> = old.iter().map(name).collect();
    let kept = old
        .iter()
        .filter(|item| !removed.contains(name(item)))
        .map(|item| after.get(name(item)).copied().unwrap_or(item));
    let added = changed.iter().filter(|item| !before.contains(name(item)));
    kept.chain(added).cloned().collect()
}

fn reorder<T>(
    items: &mut Vec<T>,
    names: &[SmolStr],
    name: fn(&T) -> &SmolStr,
) -> Result<(), DeltaError> {
    let mut by_name: BTreeMap<SmolStr, T> = std::mem::take(items)
        .into_iter()
        .map(|item| (name(&item).clone(), item))
        .collect();
    for wanted in names {
        items.push(by_name.remove(wanted).ok_or(DeltaError::Order)?);
    }
    if by_name.is_empty() {
        Ok(())
    } else {
        Err(DeltaError::Order)
    }
}

/// Names of the removed items of each list.
#[derive(Default)]
struct RemovedNames {
    pools: BTreeSet<SmolStr>,
    models: BTreeSet<SmolStr>,
    classes: BTreeSet<SmolStr>,
    organisations: BTreeSet<SmolStr>,
    rollouts: BTreeSet<SmolStr>,
}

impl RemovedNames {
    fn add(&mut self, part: &RemovedPart) {
        match part {
            RemovedPart::Pool(name) => self.pools.insert(name.clone()),
            RemovedPart::Model(name) => self.models.insert(name.clone()),
            RemovedPart::Class(name) => self.classes.insert(name.clone()),
            RemovedPart::Organisation(name) => self.organisations.insert(name.clone()),
            RemovedPart::Rollout(name) => self.rollouts.insert(name.clone()),
        };
    }
}

fn unique_names(fleet: &Fleet) -> bool {
    unique(&fleet.pools, pool_name)
        && unique(&fleet.models, model_name)
        && unique(&fleet.classes, class_name)
        && unique(&fleet.organisations, organisation_name)
        && unique(&fleet.rollouts, rollout_name)
}

fn unique<T>(items: &[T], name: fn(&T) -> &SmolStr) -> bool {
    let mut seen = BTreeSet::new();
    items.iter().all(|item| seen.insert(name(item)))
}

fn pool_name(pool: &Pool) -> &SmolStr {
    &pool.name
}

fn model_name(model: &Model) -> &SmolStr {
    &model.name
}

fn class_name(class: &Class) -> &SmolStr {
    &class.name
}

fn organisation_name(org: &Organisation) -> &SmolStr {
    &org.name
}

fn rollout_name(rollout: &Rollout) -> &SmolStr {
    &rollout.version
}
