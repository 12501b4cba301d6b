//! A file from `apply` to 720 subscribers.
//!
//! A subscriber is a bare loop of `Renew` requests: what an entry asks of the
//! control group, without the entry. Each has its own certificate, UDP socket
//! and QUIC connections, so that the group does all the work that it would do
//! for entries; what an entry spends on taking a file is measured elsewhere.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration,
};

use sesamebeam_core::{
    fleet::{
        Fleet,
        Model,
        Organisation, //
    },
    ids::Revision,
    message::{
        control::{
            ControlReply,
            ControlRequest,
            FleetChange,
            Renew, //
        },
        record::Claimant,
        wire,
    },
};
use smol_str::format_smolstr;
use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep, //
    },
};
use tokio_util::sync::CancellationToken;

use super::{
    CommitError,
    Replicas,
    entry, //
};
use crate::{
    daemons::control_name,
    fit::{
        Sample,
        fit, //
    },
    group::{
        Group,
        GroupError,
        PATIENCE, //
    },
    load::{
        bed::{
            DOMAINS,
            fleet, //
        },
        generator::{
            histogram,
            quantile,
            record, //
        },
        micros,
    },
    slopes::Found,
};

/// Subscribers at each step.
const STEPS: [usize; 4] = [0, 180, 360, 720];

/// Subscribers that join at a time, as a paced fleet does.
const JOIN: usize = 20;

/// Pause between two of those.
const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// Files that are applied at the last step.
const FILES: usize = 15;

/// Pause between two files.
const FILE_PAUSE: Duration = Duration::from_millis(400);

/// Models of the large file, with three versions each: 27 in all.
const MODELS: usize = 9;

/// Organisations of the large file.
const ORGANISATIONS: usize = 100;

/// Longest wait for the answer to a renewal, longer than the leader holds it.
const RENEW_TIMEOUT: Duration = Duration::from_secs(4);

/// Revisions that subscribers have.
struct Board {
    /// Highest revision of each.
    revisions: Vec<AtomicU64>,
    /// Renewals answered.
    renewals: AtomicU64,
    /// Bytes of the answers' messages, without QUIC's own.
    bytes: AtomicU64,
    /// Told of each answer with news.
    news: watch::Sender<u64>,
}

impl Board {
    fn all_have(&self, count: usize, revision: Revision) -> bool {
        let mut known = self.revisions[..count].iter();
        known.all(|known| known.load(Ordering::Relaxed) >= revision)
    }

    async fn until(&self, count: usize, revision: Revision) -> Result<(), GroupError> {
        let mut news = self.news.subscribe();
        let start = Instant::now();
        while !self.all_have(count, revision) {
            if start.elapsed() > PATIENCE {
                return Err(GroupError::Late("a revision at every subscriber", PATIENCE));
            }
            let _ = tokio::time::timeout(Duration::from_millis(20), news.changed()).await;
        }
        Ok(())
    }
}

pub(super) async fn run(length: Duration, data: &Path) -> Result<Vec<Found>, CommitError> {
    let most = STEPS[STEPS.len() - 1];
    println!("\n{most} subscribers, bare Renew loops with a link each in this process");
    let replicas = Replicas::start(0, data).await?;
    let mut large = large()?;
    let status = replicas.group.status().await?;
    let mut revision = replicas.group.apply(status.revision, &large).await?;
    let leader = control_name(status.node);
    let board = Arc::new(Board {
        revisions: (0..most).map(|_| AtomicU64::new(0)).collect(),
        renewals: AtomicU64::new(0),
        bytes: AtomicU64::new(0),
        news: watch::Sender::new(0),
    });
    let cancel = CancellationToken::new();
    println!(
        "  file of 27 versions and {ORGANISATIONS} organisations: {} bytes encoded",
        wire::encode(&large)?.len()
    );
    println!("  subscribers  joined in  leader's core  renewals/s  resident MB");
    let (mut cpu, mut memory) = (Vec::new(), Vec::new());
    let mut joined = 0;
    for step in STEPS {
        let at = Instant::now();
        join(&replicas, &board, joined..step, &cancel).await?;
        board.until(step, revision).await?;
        joined = step;
        let took = at.elapsed();
        sleep(Duration::from_secs(2)).await;
        let (used, renewals, at) = (
            replicas.daemons.processor_time(&leader)?,
            board.renewals.load(Ordering::Relaxed),
            Instant::now(),
        );
        sleep(length * 2).await;
        let wall = at.elapsed().as_secs_f64();
        let used = (replicas.daemons.processor_time(&leader)? - used).as_secs_f64();
        let renewals = board.renewals.load(Ordering::Relaxed) - renewals;
        let resident = replicas.daemons.resident(&leader)? as f64;
        println!(
            "  {step:11}  {took:>9.1?}  {:12.2}%  {:10.0}  {:11.1}",
            100.0 * used / wall,
            renewals as f64 / wall,
            resident / 1e6
        );
        cpu.push(Sample {
            counts: [wall, step as f64 * wall],
            cost: used,
        });
        memory.push(Sample {
            counts: [1.0, step as f64],
            cost: resident,
        });
    }
    let [_, core] = fit(&cpu)?.slopes;
    let [_, bytes] = fit(&memory)?.slopes;
    println!(
        "  {:.4}% of the leader's core and {:.1} KB for each subscriber",
        core * 100.0,
        bytes / 1e3
    );
    let told = files(&replicas, &board, &mut large, &mut revision, most, core).await?;
    cancel.cancel();
    Ok(vec![
        Found::new(
            "leader.subscriber",
            core,
            "s/s",
            "leader, an entry's renewals",
        ),
        Found::new(
            "leader.subscriber.memory",
            bytes,
            "bytes",
            "leader, resident for an entry",
        ),
        Found::new(
            "leader.subscriber.change",
            told.core,
            "s/change",
            "leader, telling one entry of a change",
        ),
        Found::new(
            "change.in_force",
            told.longest,
            "s",
            "apply to in force at 720 subscribers, longest",
        ),
        Found::new(
            "change.bytes",
            told.bytes,
            "bytes/change",
            "answer that tells one entry of a change",
        ),
        Found::new(
            "fleet.large",
            wire::encode(&large)?.len() as f64,
            "bytes",
            "file of 27 versions and 100 organisations, encoded",
        ),
    ])
}

/// What a change costs for each subscriber.
struct Told {
    /// Processor time of the leader in seconds.
    core: f64,
    /// Longest time from apply to in force, in seconds.
    longest: f64,
    /// Bytes of the answer.
    bytes: f64,
}

/// Applies files and measures what each subscriber costs the leader.
async fn files(
    replicas: &Replicas,
    board: &Board,
    large: &mut Fleet,
    revision: &mut Revision,
    count: usize,
    rest: f64,
) -> Result<Told, CommitError> {
    let leader = control_name(replicas.group.status().await?.node);
    let (mut told, mut in_force) = (histogram(), histogram());
    let before = replicas.daemons.processor_time(&leader)?;
    let (bytes, at) = (board.bytes.load(Ordering::Relaxed), Instant::now());
    for round in 0..FILES {
        large.organisations[0].share = 2.0 + (round % 2) as f64;
        let start = Instant::now();
        *revision = replicas.group.apply(*revision, large).await?;
        board.until(count, *revision).await?;
        record(&mut told, start.elapsed());
        let wanted = *revision;
        replicas
            .group
            .until("the file in force", |status| status.in_force >= wanted)
            .await?;
        record(&mut in_force, start.elapsed());
        sleep(FILE_PAUSE).await;
    }
    let used = (replicas.daemons.processor_time(&leader)? - before).as_secs_f64();
    let at_rest = rest * count as f64 * at.elapsed().as_secs_f64();
    let each = (used - at_rest).max(0.0) / (FILES * count) as f64;
    let bytes = (board.bytes.load(Ordering::Relaxed) - bytes) as f64;
    let bytes = bytes / (FILES * count) as f64;
    println!(
        "  from apply to every subscriber: p50 {} longest {}; to in force: p50 {} longest {}; {FILES} files",
        micros(quantile(&told, 0.5)),
        micros(quantile(&told, 1.0)),
        micros(quantile(&in_force, 0.5)),
        micros(quantile(&in_force, 1.0)),
    );
    println!(
        "  {:.1} us of the leader to tell one subscriber; answers of {:.0} bytes a change and subscriber",
        each * 1e6,
        bytes
    );
    Ok(Told {
        core: each,
        longest: quantile(&in_force, 1.0).as_secs_f64(),
        bytes,
    })
}

async fn join(
    replicas: &Replicas,
    board: &Arc<Board>,
    which: std::ops::Range<usize>,
    cancel: &CancellationToken,
) -> Result<(), CommitError> {
    for number in which {
        let name = format!("s-{number}");
        let group = entry(&replicas.daemons, &name)?;
        let (board, cancel) = (Arc::clone(board), cancel.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = subscribe(&group, number, &board) => {}
            }
            group.close();
        });
        if number % JOIN == JOIN - 1 {
            sleep(JOIN_PAUSE).await;
        }
    }
    Ok(())
}

async fn subscribe(group: &Group, number: usize, board: &Board) {
    let mut renew = Renew {
        entry: Claimant {
            instance: format_smolstr!("s-{number}"),
            incarnation: number as u64 + 1,
        },
        domain: DOMAINS[number % DOMAINS.len()].into(),
        revision: 0,
        live_at: 0,
        leaving: false,
    };
    loop {
        let reply = group
            .ask(&ControlRequest::Renew(renew.clone()), RENEW_TIMEOUT)
            .await;
        let Some(ControlReply::Renewed(renewed)) = &reply else {
            continue;
        };
        board.renewals.fetch_add(1, Ordering::Relaxed);
        let Some(update) = &renewed.update else {
            continue;
        };
        if let Some(FleetChange::Delta(delta)) = &update.fleet
            && delta.base != renew.revision
        {
            // A delta from another base must not be taken; the next renewal
            // says again what is known here.
            continue;
        }
        renew.revision = update.revision;
        if let Some(live) = &update.live {
            renew.live_at = live.at;
        }
        if let Ok(message) = wire::encode(&reply) {
            board
                .bytes
                .fetch_add(message.len() as u64, Ordering::Relaxed);
        }
        board.revisions[number].store(update.revision, Ordering::Relaxed);
        board.news.send_modify(|count| *count += 1);
    }
}

/// Makes a file of the two-year size.
pub(super) fn large() -> Result<Fleet, CommitError> {
    let mut large = fleet(32)?;
    let (model, org) = (large.models[0].clone(), large.organisations[0].clone());
    large.models = (0..MODELS).map(|number| model_of(&model, number)).collect();
    let all: Vec<_> = large
        .models
        .iter()
        .flat_map(|m| {
            m.versions
                .iter()
                .map(|v| format_smolstr!("{}@{}", m.name, v.name))
        })
        .collect();
    large.organisations = (0..ORGANISATIONS)
        .map(|number| Organisation {
            name: format_smolstr!("organisation-{number}"),
            key_sha256: sesamebeam::keys::sha256_hex(&format!("key-{number}")),
            allow: all.iter().skip(number % 3).step_by(3).cloned().collect(),
            ..org.clone()
        })
        .collect();
    Ok(large)
}

fn model_of(model: &Model, number: usize) -> Model {
    let versions = (1..=3).map(|version| {
        let mut made = model.versions[0].clone();
        made.name = format_smolstr!("v{version}");
        made
    });
    Model {
        name: format_smolstr!("modelo-{number}"),
        versions: versions.collect(),
        ..model.clone()
    }
}
