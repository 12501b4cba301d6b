//! Switches off one mechanism after the other.

use sesamebeam_core::policy::PolicyConfig;

use super::{
    Options,
    PolicyError,
    deployment::Deployment,
    replay,
    result::Run,
    router::Strategy,
    table::render,
    world::Fault, //
};

/// A mechanism with the replay that shows what it brings.
struct Switch {
    name: &'static str,
    fault: Fault,
    load: f64,
    off: fn(&mut PolicyConfig),
}

const SWITCHES: [Switch; 21] = [
    Switch {
        name: "learning",
        fault: Fault::None,
        load: 0.8,
        off: |cfg| cfg.quality.learn = false,
    },
    Switch {
        name: "cascades",
        fault: Fault::None,
        load: 0.8,
        off: |cfg| cfg.plan.cascades = false,
    },
    Switch {
        name: "trials",
        fault: Fault::None,
        load: 0.8,
        off: |cfg| cfg.plan.trial_share = 0.0,
    },
    Switch {
        name: "judging the rater",
        fault: Fault::RaterWrong,
        load: 0.8,
        off: |cfg| cfg.quality.detect_rater_fault = false,
    },
    Switch {
        name: "order of trust",
        fault: Fault::BadRollout,
        load: 0.8,
        off: |cfg| cfg.exposure.staged = false,
    },
    Switch {
        name: "sequential test",
        fault: Fault::BadRollout,
        load: 0.8,
        off: |cfg| cfg.exposure.sequential_test = false,
    },
    Switch {
        name: "sequential test",
        fault: Fault::TurnsBad,
        load: 0.8,
        off: |cfg| cfg.exposure.sequential_test = false,
    },
    Switch {
        name: "few choices",
        fault: Fault::None,
        load: 1.0,
        off: |cfg| cfg.balance.sample_size = 1,
    },
    Switch {
        name: "reported load",
        fault: Fault::PoolLoss,
        load: 0.8,
        off: |cfg| cfg.balance.reported_load = false,
    },
    Switch {
        name: "prefix hints",
        fault: Fault::None,
        load: 0.8,
        off: |cfg| cfg.balance.prefix_hints = false,
    },
    Switch {
        name: "slow start",
        fault: Fault::PoolLoss,
        load: 0.8,
        off: |cfg| cfg.balance.slow_start = std::time::Duration::ZERO,
    },
    Switch {
        name: "fair shares",
        fault: Fault::None,
        load: 1.5,
        off: |cfg| cfg.admission.fair = false,
    },
    Switch {
        name: "priorities",
        fault: Fault::None,
        load: 1.5,
        off: |cfg| cfg.admission.priorities = false,
    },
    Switch {
        name: "slots for urgent",
        fault: Fault::None,
        load: 1.5,
        off: |cfg| cfg.admission.urgent_reserve = 0.0,
    },
    Switch {
        name: "refusing early",
        fault: Fault::None,
        load: 1.5,
        off: |cfg| cfg.admission.refuse_early = false,
    },
    Switch {
        name: "retry budget",
        fault: Fault::Outage,
        load: 0.8,
        off: |cfg| cfg.retry.enforce_budget = false,
    },
    Switch {
        name: "hedging",
        fault: Fault::None,
        load: 0.8,
        off: |cfg| cfg.retry.hedges_per_request = 0.0,
    },
    Switch {
        name: "hedging",
        fault: Fault::Silent,
        load: 0.8,
        off: |cfg| cfg.retry.hedges_per_request = 0.0,
    },
    Switch {
        name: "crash tracing",
        fault: Fault::Killer,
        load: 0.8,
        off: |cfg| cfg.suspects.attribute_crashes = false,
    },
    Switch {
        name: "isolation",
        fault: Fault::Killer,
        load: 0.8,
        off: |cfg| cfg.suspects.isolate = false,
    },
    Switch {
        name: "seeing cuts",
        fault: Fault::Cut,
        load: 0.8,
        off: |cfg| cfg.servers.detect_partitions = false,
    },
];

/// Title of a figure and how it is read.
type Figure = (&'static str, fn(&Run) -> f64);

/// Figures that a mechanism may move.
const FIGURES: [Figure; 10] = [
    ("cost", |run| run.cost()),
    ("margin", |run| run.margin()),
    ("whole", |run| run.whole()),
    ("tokens/s", |run| run.useful()),
    ("conf p99", |run| run.confirmations(0.99)),
    ("urgent p99", |run| run.urgent(0.99)),
    ("fairness", |run| run.fairness()),
    ("attempts", |run| {
        run.attempts().max(run.attempts_in_fault())
    }),
    ("to bad", |run| run.shown_to_bad as f64),
    ("crashes", |run| run.crashes as f64),
];

/// Prints each figure with and without each mechanism, as means over seeds.
///
/// # Errors
///
/// Fails if a deployment cannot be read.
pub(crate) fn run(options: &Options) -> Result<(), PolicyError> {
    let mut body = Vec::new();
    for name in &options.deployments {
        let deployment = Deployment::load(name)?;
        for switch in &SWITCHES {
            let with = means(options, &deployment, switch, |_| {});
            let without = means(options, &deployment, switch, switch.off);
            let mut cells = vec![
                name.to_string(),
                switch.name.to_owned(),
                switch.fault.name().to_owned(),
                switch.load.to_string(),
            ];
            cells.extend(with.iter().zip(without).map(
                |(with, without)| match (with - without).abs() > 0.005 * with.abs().max(0.01) {
                    true => format!("{with:.3} / {without:.3}"),
                    false => "=".to_owned(),
                },
            ));
            body.push(cells);
        }
    }
    let mut head = vec!["deployment", "mechanism", "fault", "load"];
    head.extend(FIGURES.iter().map(|(title, _)| *title));
    let head = head.into_iter().map(str::to_owned).collect();
    print!("{}", render(head, body, options.markdown));
    Ok(())
}

/// Seeds whose figures are averaged.
const SEEDS: u64 = 3;

fn means(
    options: &Options,
    deployment: &Deployment,
    switch: &Switch,
    change: fn(&mut PolicyConfig),
) -> Vec<f64> {
    let mut sums = vec![0.0; FIGURES.len()];
    for nth in 0..SEEDS {
        let mut setting = options.setting(
            Strategy::Sesamebeam,
            switch.load,
            switch.fault,
            options.seed + nth,
        );
        change(&mut setting.cfg);
        let run = replay(deployment, &setting);
        for (sum, (_, value)) in sums.iter_mut().zip(FIGURES) {
            *sum += value(&run) / SEEDS as f64;
        }
    }
    sums
}
