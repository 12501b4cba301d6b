//! Tests of differences between fleet files.

use proptest::{
    prelude::*,
    sample::{
        Index,
        subsequence, //
    },
    test_runner::{
        Config,
        RngSeed, //
    },
};
use sesamebeam_core::{
    fleet::{
        Fleet,
        VersionState, //
    },
    message::control::FleetChange,
    state::delta::{
        self,
        DeltaError, //
    },
};
use smol_str::format_smolstr;

use crate::fixtures::{
    Group,
    fleet,
    fleet_with_state, //
};

/// Generates a file with a subset of six items in each list, in any order, each
/// with one of two contents.
fn any_fleet() -> impl Strategy<Value = Fleet> {
    let subset = || subsequence((0..6).collect::<Vec<usize>>(), 0..=6).prop_shuffle();
    let lists = (subset(), subset(), subset(), subset(), subset());
    (lists, any::<[bool; 6]>(), any::<bool>()).prop_map(|(lists, contents, name)| {
        let base = fleet();
        let mut made = Fleet {
            name: format_smolstr!("fleet-{name}"),
            ..Fleet::default()
        };
        for n in lists.0 {
            let mut pool = base.pools[0].clone();
            pool.name = format_smolstr!("pool-{n}");
            pool.lookup = contents[n];
            made.pools.push(pool);
        }
        for n in lists.1 {
            let mut model = base.models[0].clone();
            model.name = format_smolstr!("model-{n}");
            model.versions.truncate(1 + usize::from(contents[n]));
            made.models.push(model);
        }
        for n in lists.2 {
            let mut class = base.classes[0].clone();
            class.name = format_smolstr!("class-{n}");
            class.cascade = contents[n];
            made.classes.push(class);
        }
        for n in lists.3 {
            let mut org = base.organisations[0].clone();
            org.name = format_smolstr!("org-{n}");
            org.share = f64::from(u8::from(contents[n]));
            made.organisations.push(org);
        }
        for n in lists.4 {
            let mut rollout = base.rollouts[0].clone();
            rollout.version = format_smolstr!("model@{n}");
            rollout.gate = u32::from(contents[n]);
            made.rollouts.push(rollout);
        }
        made
    })
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn applying_difference_gives_new_file(old in any_fleet(), new in any_fleet()) {
        let difference = delta::compute(1, &old, &new);
        prop_assert_eq!(delta::apply(&old, &difference), Ok(new.clone()));
        prop_assert_eq!(delta::differences(&old, &new).is_empty(), old == new);
    }

    #[test]
    fn duplicate_names_send_whole_file(old in any_fleet(), at in any::<Index>()) {
        let mut new = fleet();
        new.pools.extend(old.pools.clone());
        let duplicate = new.pools[at.index(new.pools.len())].clone();
        new.pools.push(duplicate);
        let whole = matches!(delta::change(1, &old, &new), FleetChange::Whole(_));
        prop_assert!(whole);
    }
}

/// Changes arrive at an entry out of order. If an older change were applied
/// after a newer one, it would undo the withdrawal of a version.
#[test]
fn stale_change_rejected() {
    let mut group = Group::with_fleet();
    let first = group.state.change_from(0).unwrap();
    group.accept(fleet_with_state("v1", VersionState::Withdrawn));
    let second = group.state.change_from(1).unwrap();
    let one = delta::install(0, &Fleet::default(), 1, &first).unwrap();
    let two = delta::install(1, &one, 2, &second).unwrap();
    assert_eq!(two, *group.state.fleet());
    let late = delta::install(2, &two, 1, &first);
    assert_eq!(
        late,
        Err(DeltaError::NotNewer {
            offered: 1,
            found: 2
        })
    );
    let gap = delta::install(0, &Fleet::default(), 2, &second);
    assert_eq!(
        gap,
        Err(DeltaError::Base {
            expected: 1,
            found: 0
        })
    );
}

#[test]
fn lagging_entry() {
    let mut group = Group::with_fleet();
    for _ in 0..20 {
        group.accept(fleet());
    }
    assert!(matches!(
        group.state.change_from(2),
        Some(FleetChange::Whole(_))
    ));
    assert!(matches!(
        group.state.change_from(20),
        Some(FleetChange::Delta(_))
    ));
    assert_eq!(group.state.change_from(21), None);
}
