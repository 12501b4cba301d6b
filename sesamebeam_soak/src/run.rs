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
    brittle,
    callers::{
        self,
        CALLERS, //
    },
    crowds::{
        self,
        Crowds, //
    },
    engines::{
        self,
        Engine, //
    },
    failing::{
        self,
        Failing, //
    },
    fleet::{
        Fleet,
        targets, //
    },
    fragile, lives,
    operator::{
        self,
        ConfigKind, //
    },
    proxy::{
        self,
        Mode, //
    },
    schedule::{
        CONTACT_MS,
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
    stream_callers::{
        Caller,
        ORGANISATIONS, //
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

/// Line of an entry's metrics that shows that it schedules by engine time.
const ENGINE_TIME_ON: &str = "sesamebeam_engine_time 1";

/// Pause between two looks at something that should happen.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// What the tasks of a run share.
struct Stage {
    fleet: Mutex<Fleet>,
    modes: Vec<watch::Sender<Mode>>,
    engines: Vec<Arc<Engine>>,
    books: Arc<Books>,
    crowds: Arc<Crowds>,
    /// How connections to the backend servers that fail requests are treated.
    hold: watch::Sender<Mode>,
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
    let engine_set = schedule.engines.as_ref();
    let has_engines = engine_set.is_some();
    let contention = engine_set.map_or([false; ENTRIES], |set| set.contention);
    let fleet = Fleet::start(program, slot, contention, schedule.link_bits_per_s).await?;
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
            operator::POOL,
            domain,
            addr,
            controls.clone(),
            cancel.clone(),
        ));
    }
    let mut engines = Vec::new();
    for (number, &slowdown) in engine_set.iter().flat_map(|s| &s.slowdowns).enumerate() {
        let (tx, mode) = watch::channel(Mode::Pass);
        modes.push(tx);
        let id = format!("engine-{number}");
        let engine = Arc::new(Engine::new(id.clone(), slowdown));
        engines.push(Arc::clone(&engine));
        let addr = engines::start(engine, Arc::clone(&books), cancel.child_token()).await?;
        let addr = proxy::start(addr, mode).await?;
        tasks.spawn(operator::announce(
            id,
            operator::MODELS_POOL,
            DOMAIN,
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
    for number in (0..fragile::SERVERS).filter(|_| schedule.fatal_part) {
        let (c, b) = (controls.clone(), Arc::clone(&books));
        let lives = fragile::succeed(
            number,
            schedule.fatal_after,
            DOMAIN,
            c,
            Arc::clone(&b),
            cancel.clone(),
        );
        tasks.spawn(async move {
            if let Err(e) = lives.await {
                b.broke(format!("a fragile backend server cannot be started: {e}"));
            }
        });
    }
    for number in (0..brittle::SERVERS).filter(|_| schedule.brittle) {
        let (c, b) = (controls.clone(), Arc::clone(&books));
        let lives = brittle::succeed(number, DOMAIN, c, Arc::clone(&b), cancel.clone());
        tasks.spawn(async move {
            if let Err(e) = lives.await {
                b.broke(format!("a brittle backend server cannot be started: {e}"));
            }
        });
    }
    let crowds = Arc::new(Crowds::default());
    let has_crowds = schedule.link_bits_per_s > 0;
    for number in (0..crowds::SERVERS).filter(|_| has_crowds) {
        let id = format!("crowd-{number}");
        let life = id.clone();
        let answer = move |req| crowds::answer(req, life.clone());
        let addr = server::listen(answer, cancel.child_token()).await?;
        tasks.spawn(operator::announce(
            id,
            operator::CROWD_POOL,
            DOMAIN,
            addr,
            controls.clone(),
            cancel.clone(),
        ));
    }
    let (hold, held) = watch::channel(Mode::Pass);
    let failing_servers = Arc::new(Failing::new());
    if schedule.fails_percent.is_some() {
        let addrs = failing::start(&failing_servers, &held, cancel.child_token()).await?;
        for (number, addr) in addrs.into_iter().enumerate() {
            tasks.spawn(operator::announce(
                format!("failing-{number}"),
                operator::FAILING_POOL,
                DOMAIN,
                addr,
                controls.clone(),
                cancel.clone(),
            ));
        }
    }
    let next = Arc::new(AtomicU64::new(1));
    for _ in 0..2 {
        let (next, books) = (Arc::clone(&next), Arc::clone(&books));
        tasks.spawn(operator::change(
            controls.clone(),
            next,
            books,
            ConfigKind {
                has_engines,
                extra_routes: schedule.extra_routes,
            },
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
    for &front in &fronts {
        for name in ["fatal", "kin", "sound"]
            .into_iter()
            .filter(|_| schedule.fatal_part)
        {
            let b = Arc::clone(&books);
            tasks.spawn(fragile::call(name, front, b, cancel.clone()));
        }
    }
    for &front in fronts.iter().filter(|_| schedule.brittle) {
        for number in 0..brittle::CALLERS {
            let b = Arc::clone(&books);
            tasks.spawn(brittle::call(number, front, b, cancel.clone()));
        }
    }
    for caller in stream_callers(&fronts).filter(|_| has_engines) {
        let books = Arc::clone(&books);
        tasks.spawn(caller.call(schedule.seed, books, cancel.clone()));
    }
    let metrics: Vec<SocketAddr> = (0..ENTRIES).map(|n| fleet.metrics(n)).collect();
    let stage = Arc::new(Stage {
        fleet: Mutex::new(fleet),
        modes,
        engines,
        books: Arc::clone(&books),
        crowds: Arc::clone(&crowds),
        hold,
    });
    wait_for_answers(&stage, (0, 0), "at the start").await;
    let crowd_halt = cancel.child_token();
    let fronts_of_bursts = fronts.clone();
    if has_crowds {
        sleep(Duration::from_millis(CONTACT_MS)).await;
        tasks.spawn(Arc::clone(&crowds).call(fronts, crowd_halt.clone()));
    }
    let bursts = schedule.all_bursts();
    let c = Arc::clone(&failing_servers);
    tasks.spawn(failing::call(fronts_of_bursts, bursts, c, cancel.clone()));
    play(&stage, schedule).await;
    crowd_halt.cancel();
    let before = (books.answers(), books.engine_answers());
    wait_for_answers(&stage, before, "after all faults").await;
    if has_engines {
        check_engine_time(&metrics, &books).await;
    }
    cancel.cancel();
    while tasks.join_next().await.is_some() {}
    read_back(&controls, &books).await;
    for line in crowds.broken() {
        books.broke(line);
    }
    if let Some(line) = failing_servers.broken() {
        books.broke(line);
    }
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

/// Returns the callers of engines at all entries.
fn stream_callers(fronts: &[SocketAddr]) -> impl Iterator<Item = Caller> {
    let fronts = fronts.iter().copied().enumerate();
    fronts.flat_map(|(entry, front)| {
        ORGANISATIONS
            .into_iter()
            .flat_map(move |(organisation, key, count)| {
                (0..count).map(move |number| Caller {
                    entry,
                    front,
                    organisation,
                    key,
                    number,
                })
            })
    })
}

/// Checks that every entry schedules by engine time.
async fn check_engine_time(metrics: &[SocketAddr], books: &Books) {
    let client = Client::new(Duration::from_millis(500));
    let until = Instant::now() + RECOVERY;
    for addr in metrics {
        loop {
            let answer = operator::call(&client, *addr, &Method::GET, "/metrics", "").await;
            let text = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
            if text.is_some_and(|text| text.lines().any(|line| line == ENGINE_TIME_ON)) {
                break;
            }
            if Instant::now() >= until {
                books.broke(format!("engine time is not on at {addr}"));
                break;
            }
            sleep(LOOK_EVERY).await;
        }
    }
}

/// Waits until callers are served, and writes down if they are not.
async fn wait_for_answers(stage: &Stage, before: (u64, u64), when: &str) {
    let until = Instant::now() + RECOVERY;
    let (books, has_engines) = (&stage.books, !stage.engines.is_empty());
    while books.answers() < before.0 + RECOVERED
        || has_engines && books.engine_answers() < before.1 + RECOVERED
    {
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
    let hits_daemons = event.fault.hits_daemons();
    let from_ms = stage.crowds.now_ms();
    if hits_daemons {
        stage.books.daemons_hit(true);
    }
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
            disturb(&stage, target);
            stage.fleet.lock().await.signal(target, Signal::STOP);
            sleep(lasting).await;
            stage.fleet.lock().await.signal(target, Signal::CONT);
            disturb(&stage, target);
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
        Fault::LoseDisk(n) => {
            if let Err(e) = stage.fleet.lock().await.lose_disk(n).await {
                stage
                    .books
                    .broke(format!("the disk of replica {n} cannot be emptied: {e}"));
            }
            sleep(lasting).await;
            boot(&stage, Target::Replica(n)).await;
        }
        Fault::Delay(n) => spoil(&stage, n, Mode::Delay, lasting).await,
        Fault::Reset(n) => spoil(&stage, n, Mode::Reset, lasting).await,
        Fault::CutAnswers(n) => spoil(&stage, n, Mode::CutAnswers, lasting).await,
        Fault::Hold => {
            stage.hold.send_replace(Mode::Hold);
            sleep(lasting).await;
            stage.hold.send_replace(Mode::Pass);
        }
        Fault::Silence(n) => spoil(&stage, n, Mode::Silence, lasting).await,
        Fault::CutEntry { entry, how } => {
            stage.books.cut_began(entry);
            stage.fleet.lock().await.set_cut(entry, Some(how));
            sleep(lasting).await;
            stage.fleet.lock().await.set_cut(entry, None);
            stage.books.cut_ended(entry);
        }
        Fault::Crowd(entry) => stage.crowds.crowd(entry, lasting).await,
        Fault::Slow(n) => {
            if let Some(engine) = stage.engines.get(n) {
                engine.set_slower(true);
                sleep(lasting).await;
                engine.set_slower(false);
            }
        }
    }
    if hits_daemons {
        stage.books.daemons_hit(false);
    }
    if let Some(entry) = event.fault.entry() {
        stage.crowds.record_fault(entry, from_ms);
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
    disturb(stage, target);
    if let Target::Entry(number) = target {
        stage.books.forgot(number);
    }
}

/// Notes that a fault of an entry begins or ends.
fn disturb(stage: &Stage, target: Target) {
    if let Target::Entry(number) = target {
        stage.books.disturbed(number);
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
