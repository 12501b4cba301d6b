//! Many roll-outs: false holds of a good version, and time to hold a bad one.

use std::time::Duration;

use super::{
    Options,
    PolicyError,
    deployment::Deployment,
    replay,
    router::Strategy,
    table::render,
    world::Fault, //
};

/// Runs roll-outs with as many seeds and prints what became of them.
///
/// # Errors
///
/// Fails if a deployment cannot be read.
pub(crate) fn run(options: &Options, count: u64) -> Result<(), PolicyError> {
    let mut body = Vec::new();
    for name in &options.deployments {
        let deployment = Deployment::load(name)?;
        for fault in [Fault::None, Fault::BadRollout, Fault::TurnsBad] {
            body.push(trial(options, name, &deployment, fault, count));
        }
    }
    let head = [
        "deployment",
        "version",
        "runs",
        "held",
        "good held",
        "shown p50",
        "shown p90",
        "shown max",
    ];
    let head = head.into_iter().map(str::to_owned).collect();
    print!("{}", render(head, body, options.markdown));
    Ok(())
}

fn trial(
    options: &Options,
    name: &str,
    deployment: &Deployment,
    fault: Fault,
    count: u64,
) -> Vec<String> {
    let load = options
        .loads
        .first()
        .copied()
        .filter(|_| options.loads.len() == 1)
        .unwrap_or(0.8);
    let mut shown = Vec::new();
    let mut good_held = 0;
    for nth in 0..count {
        let mut setting = options.setting(Strategy::Sesamebeam, load, fault, options.seed + nth);
        setting.rollout = fault != Fault::TurnsBad;
        setting.length = options.length.max(Duration::from_secs(60));
        let run = replay(deployment, &setting);
        good_held += u64::from(run.holds.iter().any(|(_, _, bad)| !bad));
        shown.extend(run.shown_until_held);
    }
    shown.sort_unstable();
    let at = |share: f64| match shown.len() {
        0 => "-".to_owned(),
        n => shown[((n - 1) as f64 * share).round() as usize].to_string(),
    };
    let what = match fault {
        Fault::BadRollout => "bad from the start",
        Fault::TurnsBad => "turns bad",
        _ => "good",
    };
    vec![
        name.to_owned(),
        what.to_owned(),
        count.to_string(),
        shown.len().to_string(),
        good_held.to_string(),
        at(0.5),
        at(0.9),
        at(1.0),
    ]
}
