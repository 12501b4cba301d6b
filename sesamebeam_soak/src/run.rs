//! One run: daemons, callers, operators and a schedule of faults.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::AtomicU64, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use hyper::Method;
use rustix::process::Signal;
use sesamebeam::http::client::Client;
use tokio::{
    sync::{
        Mutex,
        watch, //
    },
    task::JoinSet,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{
    books::{
        Books,
        Verdict, //
    },
    callers::{
        self,
        CALLERS, //
    },
    fleet::{
        Fleet,
        targets, //
    },
    lives, operator,
    proxy::{
        self,
        Mode, //
    },
    schedule::{
        ENTRIES,
        Event,
        Fault,
        REPLICAS,
        SERVERS,
        Schedule,
        Target, //
    },
    server::{
        self,
        Life, //
    },
};

/// Failure domain of the daemons and most backend servers, and of the one that is
/// evacuated at times.
const DOMAIN: &str = "hall-1";
const FAR_DOMAIN: &str = "hall-2";

/// Longest wait for the first answers, and for the last ones after all faults:
/// an election, a restart, and a replica that asks for a new place.
const RECOVERY: Duration = Duration::from_secs(15);

/// Answers that show that service is back.
const RECOVERED: u64 = 60;

/// Pause between two looks at something that should happen.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// What the tasks of a run share.
struct Stage {
    fleet: Mutex<Fleet>,
    modes: Vec<watch::Sender<Mode>>,
    books: Arc<Books>,
}

/// Runs a schedule and returns what came of it. Logs of a run that broke a
/// promise are kept in `logs`, if it is given.
///
/// # Errors
///
/// Fails if a process or port cannot be had.
pub async fn run(
    program: &Path,
    slot: u8,
    schedule: &Schedule,
    logs: Option<&Path>,
) -> io::Result<Verdict> {
    let books = Arc::new(Books::default());
    let fleet = Fleet::start(program, slot).await?;
    let controls: Vec<SocketAddr> = (0..REPLICAS).map(|n| fleet.control(n)).collect();
    let fronts: Vec<SocketAddr> = (0..ENTRIES).map(|n| fleet.front(n)).collect();
    let cancel = CancellationToken::new();
    let mut tasks = JoinSet::new();
    let mut modes = Vec::new();
    for number in 0..SERVERS {
        let (tx, mode) = watch::channel(Mode::Pass);
        modes.push(tx);
        let life = Arc::new(Life::new(format!("server-{number}")));
        let domain = match life.id.as_str() {
            server::EVACUATED => FAR_DOMAIN,
            _ => DOMAIN,
        };
        let ended = cancel.child_token();
        let addr = server::start(Arc::clone(&life), Arc::clone(&books), ended).await?;
        let addr = proxy::start(addr, mode).await?;
        tasks.spawn(operator::announce(
            life.id.clone(),
            domain,
            addr,
            controls.clone(),
            cancel.clone(),
        ));
    }
    let brief = lives::succeed(
        schedule.seed,
        DOMAIN,
        controls.clone(),
        Arc::clone(&books),
        cancel.clone(),
    );
    let b = Arc::clone(&books);
    tasks.spawn(async move {
        if let Err(e) = brief.await {
            b.broke(format!("a backend server cannot be started: {e}"));
        }
    });
    let next = Arc::new(AtomicU64::new(1));
    for _ in 0..2 {
        let (next, books) = (Arc::clone(&next), Arc::clone(&books));
        tasks.spawn(operator::change(
            controls.clone(),
            next,
            books,
            cancel.clone(),
        ));
    }
    let (c, b) = (controls.clone(), Arc::clone(&books));
    tasks.spawn(operator::evacuate(FAR_DOMAIN, c, b, cancel.clone()));
    let (c, b) = (controls.clone(), Arc::clone(&books));
    tasks.spawn(operator::read(c, b, cancel.clone()));
    for (entry, &front) in fronts.iter().enumerate() {
        for number in 0..CALLERS {
            let number = entry as u64 * CALLERS + number;
            let books = Arc::clone(&books);
            tasks.spawn(callers::call(
                number,
                schedule.seed,
                front,
                books,
                cancel.clone(),
            ));
        }
    }
    let stage = Arc::new(Stage {
        fleet: Mutex::new(fleet),
        modes,
        books: Arc::clone(&books),
    });
    wait_for_answers(&stage, 0, "at the start").await;
    play(&stage, schedule).await;
    wait_for_answers(&stage, books.answers(), "after all faults").await;
    cancel.cancel();
    while tasks.join_next().await.is_some() {}
    read_back(&controls, &books).await;
    let verdict = books.verdict();
    let fleet = match Arc::into_inner(stage) {
        Some(stage) => stage.fleet.into_inner(),
        None => return Err(io::Error::other("a task of the run goes on")),
    };
    if let (false, Some(logs)) = (verdict.broken.is_empty(), logs) {
        fleet.keep_logs(logs)?;
    }
    fleet.end().await;
    Ok(verdict)
}

/// Waits until callers are served, and writes down if they are not.
async fn wait_for_answers(stage: &Stage, before: u64, when: &str) {
    let until = Instant::now() + RECOVERY;
    while stage.books.answers() < before + RECOVERED {
        if Instant::now() >= until {
            stage.books.broke(format!("no service {when}"));
            return;
        }
        restart_ended(stage).await;
        sleep(LOOK_EVERY).await;
    }
}

/// Plays the events, each in a task of its own, so that they overlap.
async fn play(stage: &Arc<Stage>, schedule: &Schedule) {
    let start = Instant::now();
    let mut faults = JoinSet::new();
    for &event in &schedule.events {
        let at = start + Duration::from_millis(event.at_ms);
        sleep(at.saturating_duration_since(Instant::now())).await;
        faults.spawn(cause(Arc::clone(stage), event));
        restart_ended(stage).await;
    }
    let end = start + Duration::from_millis(schedule.length_ms);
    sleep(end.saturating_duration_since(Instant::now())).await;
    while faults.join_next().await.is_some() {}
    let mut fleet = stage.fleet.lock().await;
    for target in targets() {
        fleet.signal(target, Signal::CONT);
        if let Err(e) = fleet.boot(target).await {
            stage
                .books
                .broke(format!("{target:?} cannot be started: {e}"));
        }
    }
}

async fn cause(stage: Arc<Stage>, event: Event) {
    let lasting = Duration::from_millis(event.for_ms);
    match event.fault {
        Fault::Kill(target) => {
            forget(&stage, target);
            stage.fleet.lock().await.kill(target).await;
            sleep(lasting).await;
            boot(&stage, target).await;
        }
        Fault::Stop(target) => {
            forget(&stage, target);
            let mut fleet = stage.fleet.lock().await;
            if !fleet.stop(target).await {
                stage
                    .books
                    .broke(format!("{target:?} did not stop in time"));
            }
            drop(fleet);
            boot(&stage, target).await;
        }
        Fault::Pause(target) => {
            stage.fleet.lock().await.signal(target, Signal::STOP);
            sleep(lasting).await;
            stage.fleet.lock().await.signal(target, Signal::CONT);
            if let Target::Entry(number) = target {
                stage.books.froze(number);
            }
        }
        Fault::Reload(target) => stage.fleet.lock().await.signal(target, Signal::HUP),
        Fault::KillAll => {
            let mut fleet = stage.fleet.lock().await;
            for number in 0..REPLICAS {
                fleet.kill(Target::Replica(number)).await;
            }
            drop(fleet);
            for number in 0..REPLICAS {
                boot(&stage, Target::Replica(number)).await;
            }
        }
        Fault::Delay(n) => spoil(&stage, n, Mode::Delay, lasting).await,
        Fault::Reset(n) => spoil(&stage, n, Mode::Reset, lasting).await,
        Fault::CutAnswers(n) => spoil(&stage, n, Mode::CutAnswers, lasting).await,
        Fault::Silence(n) => spoil(&stage, n, Mode::Silence, lasting).await,
    }
}

async fn boot(stage: &Stage, target: Target) {
    if let Err(e) = stage.fleet.lock().await.boot(target).await {
        stage
            .books
            .broke(format!("{target:?} cannot be started: {e}"));
    }
    forget(stage, target);
}

/// Notes that an entry that ends, or has started, knows nothing of what it passed on.
fn forget(stage: &Stage, target: Target) {
    if let Target::Entry(number) = target {
        stage.books.forgot(number);
    }
}

async fn spoil(stage: &Stage, server: usize, mode: Mode, lasting: Duration) {
    if let Some(tx) = stage.modes.get(server) {
        tx.send_replace(mode);
        sleep(lasting).await;
        tx.send_replace(Mode::Pass);
    }
}

/// Starts daemons that ended by themselves again. Entries have no reason to;
/// a replica has one, when its place was given to another.
async fn restart_ended(stage: &Stage) {
    match stage.fleet.lock().await.restart_ended().await {
        Ok(ended) => {
            for target in ended {
                if let Target::Entry(_) = target {
                    stage.books.broke(format!("{target:?} ended by itself"));
                }
            }
        }
        Err(e) => stage
            .books
            .broke(format!("a daemon cannot be started: {e}")),
    }
}

/// Reads the configuration back: what was acknowledged must be there.
async fn read_back(controls: &[SocketAddr], books: &Books) {
    let client = Client::new(Duration::from_millis(500));
    let until = Instant::now() + RECOVERY;
    while Instant::now() < until {
        for addr in controls {
            let answer = operator::call(&client, *addr, &Method::GET, "/config", "").await;
            if let Some((200, body)) = answer {
                let read = operator::version_of(&body);
                if read.is_none_or(|version| version < books.newest()) {
                    books.broke(format!("{read:?} was read back after {}", books.newest()));
                }
                return;
            }
        }
        sleep(LOOK_EVERY).await;
    }
    books.broke("the configuration cannot be read back");
}
