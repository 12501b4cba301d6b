//! Daemons at rest, and what a change of configuration costs them.

use std::time::Duration;

use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    LoadError,
    bed::Bed, //
};
use crate::{
    daemons::control_name,
    fit::{
        Sample,
        fit, //
    },
    slopes::Found,
};

/// Changes a second in each run; the first run is at rest.
const RATES: [f64; 4] = [0.0, 2.0, 5.0, 10.0];

/// Factor on the length of a run: a daemon at rest uses little.
const LONGER: u32 = 4;

/// Changes a day at the two-year size.
const CHANGES_A_DAY: f64 = 12_000.0;

/// Seconds of a day.
const DAY: f64 = 86_400.0;

/// Daemons that are looked at.
const DAEMONS: usize = 3;

pub(super) async fn run(bed: &mut Bed, length: Duration) -> Result<Vec<Found>, LoadError> {
    println!("\ndaemons at rest, and with changes of configuration");
    let leader = bed.group.status().await?.node;
    let follower = bed
        .daemons
        .settings
        .controls
        .iter()
        .find(|c| c.node != leader);
    let follower = follower.map_or(leader, |c| c.node);
    let names: [String; DAEMONS] = [
        bed.entry().to_owned(),
        control_name(leader),
        control_name(follower),
    ];
    println!("  changes/s   entry   leader   follower   (of a core)   entry to control B/s");
    let mut cpu: [Vec<Sample<2>>; DAEMONS] = Default::default();
    let mut bytes: Vec<Sample<2>> = Vec::new();
    for rate in RATES {
        let before = times(bed, &names)?;
        let (passed, at) = (bed.traffic.bytes(), Instant::now());
        let changes = changes(bed, rate, length * LONGER).await?;
        let wall = at.elapsed().as_secs_f64();
        let used = times(bed, &names)?;
        let passed = (bed.traffic.bytes() - passed) as f64;
        let counts = [wall, f64::from(changes)];
        let mut shares = [0.0; DAEMONS];
        for (at, samples) in cpu.iter_mut().enumerate() {
            let cost = (used[at] - before[at]).as_secs_f64();
            shares[at] = 100.0 * cost / wall;
            samples.push(Sample { counts, cost });
        }
        bytes.push(Sample {
            counts,
            cost: passed,
        });
        println!(
            "  {:9.1}  {:5.2}%  {:6.2}%  {:8.2}%  {:33.0}",
            f64::from(changes) / wall,
            shares[0],
            shares[1],
            shares[2],
            passed / wall
        );
    }
    tell(bed, &names, &cpu, &bytes)
}

fn tell(
    bed: &Bed,
    names: &[String; DAEMONS],
    cpu: &[Vec<Sample<2>>; DAEMONS],
    bytes: &[Sample<2>],
) -> Result<Vec<Found>, LoadError> {
    const ROLES: [&str; DAEMONS] = ["entry", "leader", "follower"];
    const NAMES: [[&str; 2]; DAEMONS] = [
        ["entry.rest", "entry.change"],
        ["leader.rest", "leader.change"],
        ["follower.rest", "follower.change"],
    ];
    let mut found = Vec::new();
    for (at, samples) in cpu.iter().enumerate() {
        let [rest, change] = fit(samples)?.slopes;
        println!(
            "  {}: {:.3}% of a core at rest, {:.2} ms a change, {:.3}% at 12,000 changes a day; \
             resident {:.1} MB",
            ROLES[at],
            rest * 100.0,
            change * 1e3,
            (rest + change * CHANGES_A_DAY / DAY) * 100.0,
            bed.daemons.resident(&names[at])? as f64 / 1e6,
        );
        found.push(Found {
            name: NAMES[at][0],
            value: rest,
            unit: "s/s",
            of: "processor time at rest, 3 entries and 3 runners",
        });
        found.push(Found {
            name: NAMES[at][1],
            value: change,
            unit: "s/change",
            of: "processor time of a change of configuration, 3 entries",
        });
    }
    let [rest, change] = fit(bytes)?.slopes;
    println!(
        "  entry to and from control: {rest:.0} B/s at rest, {change:.0} B a change, with headers"
    );
    found.push(Found {
        name: "entry.rest.bytes",
        value: rest,
        unit: "bytes/s",
        of: "entry to and from control at rest, with headers of IP and UDP",
    });
    found.push(Found {
        name: "entry.change.bytes",
        value: change,
        unit: "bytes/change",
        of: "entry to and from control for a small change",
    });
    found.push(Found {
        name: "control.idle.memory",
        value: bed.daemons.resident(&names[1])? as f64,
        unit: "bytes",
        of: "control replica, resident, almost no records",
    });
    Ok(found)
}

fn times(bed: &Bed, names: &[String; DAEMONS]) -> Result<[Duration; DAEMONS], LoadError> {
    let mut times = [Duration::ZERO; DAEMONS];
    for (time, name) in times.iter_mut().zip(names) {
        *time = bed.daemons.processor_time(name)?;
    }
    Ok(times)
}

/// Applies changes at a rate and returns how many.
async fn changes(bed: &mut Bed, rate: f64, length: Duration) -> Result<u32, LoadError> {
    let start = Instant::now();
    let mut count = 0;
    if rate > 0.0 {
        while start.elapsed() < length {
            bed.change().await?;
            count += 1;
            let due = start + Duration::from_secs_f64(f64::from(count) / rate);
            tokio::time::sleep_until(due).await;
        }
    }
    sleep((start + length).saturating_duration_since(Instant::now())).await;
    Ok(count)
}
