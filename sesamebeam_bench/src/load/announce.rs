//! What announcements of backend servers cost the entry that takes them and
//! the entries that it tells.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::join_all;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    client::conn::http1::handshake,
    header, //
};
use hyper_util::rt::TokioIo;
use sesamebeam::local::ANNOUNCE_KEY;
use sesamebeam_core::message::server::{
    Announcement,
    Load, //
};
use smol_str::SmolStr;
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        sleep,
        sleep_until, //
    }, //
};

use super::{
    LoadError,
    bed::{
        Bed,
        BedPlan,
        DOMAINS, //
    },
};
use crate::{
    fit::{
        Sample,
        fit, //
    },
    slopes::Found,
};

/// Backend servers in each run, and announcements a second by all of them.
/// 667 is a failure domain's share at the two-year size.
const RUNS: [(usize, f64); 6] = [
    (100, 50.0),
    (100, 400.0),
    (667, 50.0),
    (667, 200.0),
    (667, 400.0),
    (667, 800.0),
];

/// Connections that carry them.
const CONNECTIONS: usize = 8;

/// Processor time and counts of one run.
struct Cost {
    taker: Duration,
    told: Duration,
    announcements: f64,
    wall: f64,
}

pub(super) async fn run(length: Duration, data: &Path) -> Result<Vec<Found>, LoadError> {
    println!(
        "\nannouncements: 667 backend servers are a failure domain's share at the two-year size"
    );
    let plan = BedPlan {
        entries: 1,
        runners: 1,
        slots: 32,
        workers: None,
    };
    let bed = Bed::start(plan, data).await?;
    let versions: Vec<SmolStr> = bed.runners[0].versions();
    println!("  servers   a second   taking entry   told entry   (of a core)   taking entry MB");
    let (mut taker, mut told) = (Vec::new(), Vec::new());
    let mut resident = Vec::new();
    let mut bytes = 0;
    for (servers, rate) in RUNS {
        let list = (0..servers).map(|number| announcement(number, &versions));
        let list: Vec<Announcement> = list.collect();
        bytes = serde_json::to_vec(&list[0]).map_or(0, |body| body.len());
        // Once round, so that all are known before the measurement.
        announce(&bed, &list, servers as f64 / 2.0, Duration::from_secs(2), 1).await;
        let cost = measure(&bed, &list, rate, length).await?;
        let memory = bed.daemons.resident(bed.entry())? as f64;
        println!(
            "  {servers:7}   {:8.0}   {:11.2}%   {:9.2}%   {:29.1}",
            cost.announcements / cost.wall,
            100.0 * cost.taker.as_secs_f64() / cost.wall,
            100.0 * cost.told.as_secs_f64() / cost.wall,
            memory / 1e6
        );
        let counts = [cost.wall, cost.announcements];
        taker.push(Sample {
            counts,
            cost: cost.taker.as_secs_f64(),
        });
        told.push(Sample {
            counts,
            cost: cost.told.as_secs_f64(),
        });
        resident.push(Sample {
            counts: [1.0, servers as f64],
            cost: memory,
        });
    }
    let [_, take] = fit(&taker)?.slopes;
    // Below what a run tells apart it may come out under nothing.
    let tell = fit(&told)?.slopes[1].max(0.0);
    let [_, memory] = fit(&resident)?.slopes;
    println!(
        "  {:.1} us to take an announcement, {:.2} us to be told of it; {:.1} KB a known server; {bytes} bytes of JSON",
        take * 1e6,
        tell * 1e6,
        memory / 1e3
    );
    Ok(vec![
        Found::new(
            "entry.announcement",
            take,
            "s/announcement",
            "entry, an announcement of a known backend server",
        ),
        Found::new(
            "entry.told",
            tell,
            "s/announcement",
            "another entry, told that it is alive",
        ),
        Found::new(
            "entry.server.memory",
            memory,
            "bytes/server",
            "entry, resident for a known backend server",
        ),
        Found::new(
            "announcement.bytes",
            bytes as f64,
            "bytes",
            "an announcement's JSON",
        ),
    ])
}

async fn measure(
    bed: &Bed,
    list: &[Announcement],
    rate: f64,
    length: Duration,
) -> Result<Cost, LoadError> {
    let other = bed.daemons.settings.entries[1].instance.clone();
    let before = (
        bed.daemons.processor_time(bed.entry())?,
        bed.daemons.processor_time(&other)?,
    );
    let at = Instant::now();
    let announcements = announce(bed, list, rate, length, 1_000).await;
    sleep(Duration::from_millis(200)).await;
    Ok(Cost {
        taker: bed.daemons.processor_time(bed.entry())? - before.0,
        told: bed.daemons.processor_time(&other)? - before.1,
        announcements: announcements as f64,
        wall: at.elapsed().as_secs_f64(),
    })
}

/// Announces round and round at a rate and returns how many were taken.
async fn announce(
    bed: &Bed,
    list: &[Announcement],
    rate: f64,
    length: Duration,
    first_seq: u64,
) -> u64 {
    let addr = bed.daemons.settings.entries[0].listen.announcements;
    let list: Arc<[Announcement]> = list.into();
    let seq = first_seq + crate::group::unix_millis();
    let tasks = (0..CONNECTIONS).map(|task| {
        let list = Arc::clone(&list);
        tokio::spawn(async move { connection(addr, &list, task, rate, length, seq).await })
    });
    let taken = join_all(tasks.collect::<Vec<_>>()).await;
    taken.into_iter().flatten().flatten().sum()
}

async fn connection(
    addr: SocketAddr,
    list: &[Announcement],
    task: usize,
    rate: f64,
    length: Duration,
    seq: u64,
) -> Option<u64> {
    let stream = TcpStream::connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, conn) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(conn);
    let start = Instant::now();
    let mut taken = 0;
    for round in 0.. {
        let number = round * CONNECTIONS + task;
        let due = start + Duration::from_secs_f64(number as f64 / rate);
        if due >= start + length {
            break;
        }
        sleep_until(due).await;
        let mut announcement = list[number % list.len()].clone();
        announcement.seq = seq + number as u64;
        let body = serde_json::to_vec(&announcement).ok()?;
        let req = Request::post("/announce")
            .header(header::HOST, addr.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {ANNOUNCE_KEY}"))
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        sender.ready().await.ok()?;
        let answer = sender.send_request(req).await.ok()?;
        taken += u64::from(answer.status().is_success());
        answer.into_body().collect().await.ok()?;
    }
    Some(taken)
}

/// A backend server that nobody can reach: no request is sent in these runs.
fn announcement(number: usize, versions: &[SmolStr]) -> Announcement {
    let [high, low] = (number as u16).to_be_bytes();
    Announcement {
        pool: "asistente-partes".into(),
        domain: DOMAINS[0].into(),
        addr: SocketAddr::from(([127, 9, high, low], 9)),
        incarnation: 0x1f2e_3d4c_5b6a_7988,
        seq: 1,
        leaving: false,
        load: Load {
            running: 12,
            waiting: 1,
            kv_used: 0.4,
            age_ms: 250,
        },
        versions: versions.to_vec(),
        cache: Vec::new(),
        speed: 40.0,
    }
}
