//! What happens when: drawn from a seed, or read from a file.

mod bursts;

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

pub use self::bursts::Burst;
use crate::entry_links::Cut;

/// Control replicas of a run.
pub const REPLICAS: usize = 3;

/// Entries of a run.
pub const ENTRIES: usize = 2;

/// Backend servers of a run.
pub const SERVERS: usize = 3;

/// Engines of a run that has any, and how long work usually takes at one, in percent: the
/// speeds differ by up to 2.5.
const ENGINES: usize = 3;
const SLOWDOWN_PERCENT: std::ops::RangeInclusive<u64> = 70..=175;

/// Longest pause or cut, in milliseconds: several times what is noticed.
const LONGEST_MS: u64 = 2500;

/// Shortest pause or cut, in milliseconds.
const SHORTEST_MS: u64 = 100;

/// Shortest and longest time for which an entry is cut from all backend servers, in
/// milliseconds: what callers get is only compared after [`CONTACT_MS`].
const CUT_MS: std::ops::Range<u64> = 4500..7000;

/// One in how many schedules cuts an entry.
const CUT_ENTRY_ONE_IN: u32 = 3;

/// Number of events of an answer before which a fatal part strikes at the latest.
const MAX_FATAL_AFTER: u64 = 10;

/// Interval between two lost disks, in milliseconds, and how much later one may come. A replica
/// counts as lost for 4 s after it is back.
const LOSS_EVERY_MS: u64 = 8000;
const LOSS_JITTER_MS: u64 = 1500;

/// Time for which a replica is away that has lost its disk, in milliseconds.
const LOSS_MS: std::ops::Range<u64> = 100..2000;

/// Bits a second of a narrow link, and time for which most callers come to one entry and before
/// that, in milliseconds: long enough to be checked after [`CONTACT_MS`], and after recovery.
const CROWD_LINK_BITS_PER_S: u64 = 3_000_000;
const CROWD_MS: std::ops::Range<u64> = 4500..7000;
const CROWD_AFTER_MS: u64 = 3500;

/// Shares of requests that backend servers fail which read nothing at times, how often and how
/// long they do, faults of daemons beside that, and length of such a run, in milliseconds.
const FAILS_PERCENT: [u64; 3] = [20, 70, 100];
const HOLDS: std::ops::Range<usize> = 1..6;
const HELD_MS: std::ops::Range<u64> = 300..4000;
const HELD_FAULTS: usize = 5;
const HELD_LENGTH_MS: u64 = 26_000;

/// Number of routes that make a configuration large.
const EXTRA_ROUTES: std::ops::Range<usize> = 200..800;

/// Time after the beginning of a cut from which callers of the entry must be served, in
/// milliseconds.
pub const CONTACT_MS: u64 = 3000;

/// Which process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A control replica.
    Replica(usize),
    /// An entry.
    Entry(usize),
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A process is killed and started again after a pause.
    Kill(Target),
    /// A process is asked to stop and started again when it has ended.
    Stop(Target),
    /// A process stands still.
    Pause(Target),
    /// A process is told to read its settings again.
    Reload(Target),
    /// All control replicas are killed at once.
    KillAll,
    /// A control replica is killed and loses its disk; it starts again after a pause.
    LoseDisk(usize),
    /// Connections to a backend server are slow.
    Delay(usize),
    /// Connections to a backend server are reset, and new ones too.
    Reset(usize),
    /// What a backend server answers is lost.
    CutAnswers(usize),
    /// Nothing passes to or from a backend server.
    Silence(usize),
    /// An engine is slower than usual.
    Slow(usize),
    /// Backend servers that fail requests read nothing.
    Hold,
    /// Most callers with new connections come to an entry.
    Crowd(usize),
    /// An entry is cut from all backend servers.
    CutEntry {
        /// Which entry.
        entry: usize,
        /// What happens to its connections.
        how: Cut,
    },
}

impl Fault {
    /// Returns the entry that cannot serve callers by itself meanwhile.
    pub fn entry(self) -> Option<usize> {
        match self {
            Self::Kill(Target::Entry(entry))
            | Self::Stop(Target::Entry(entry))
            | Self::Pause(Target::Entry(entry))
            | Self::CutEntry { entry, .. } => Some(entry),
            _ => None,
        }
    }

    /// Returns whether the fault hits daemons.
    pub fn hits_daemons(self) -> bool {
        matches!(
            self,
            Self::Kill(_) | Self::Stop(_) | Self::Pause(_) | Self::KillAll | Self::LoseDisk(_)
        )
    }
}

/// Engines of a run, which are backend servers beside the others and come after them in
/// the numbers of [`Fault`]s on connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSet {
    /// How long work usually takes at each, in percent.
    pub slowdowns: Vec<u64>,
    /// Whether the settings of each entry say that callers compete for capacity.
    pub contention: [bool; ENTRIES],
}

/// One event of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// For how long.
    pub for_ms: u64,
    /// What.
    pub fault: Fault,
}

/// What happens in one run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Seed of callers and operators.
    pub seed: u64,
    /// Length of the run, in milliseconds.
    pub length_ms: u64,
    /// Whether there are backend servers that go down under a part of prompts.
    #[serde(default)]
    pub fatal_part: bool,
    /// Number of events of an answer after which these go down.
    #[serde(default)]
    pub fatal_after: u64,
    /// Number of routes of each configuration beside those of the callers.
    #[serde(default)]
    pub extra_routes: usize,
    /// Whether there are backend servers that go down under rejections.
    #[serde(default)]
    pub brittle: bool,
    /// Bits a second of the link of each entry in each direction; 0 if nothing bounds them.
    /// There are callers with new connections if there are such links.
    #[serde(default)]
    pub link_bits_per_s: u64,
    /// Share of requests that some backend servers fail, in percent; none if there are no such
    /// backend servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fails_percent: Option<u64>,
    /// Bursts of callers of these; if there are none, callers come evenly.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bursts: Vec<Burst>,
    /// Events by time.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Engines; none if the run has only plain backend servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engines: Option<EngineSet>,
}

/// Why a schedule cannot be used.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The file is no schedule; the text names line and field.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong where.
        source: Box<toml::de::Error>,
    },
    /// An event names something that a run does not have.
    #[error("{path}: event {number} is about {what}, of which there are {count}")]
    Number {
        /// The file.
        path: PathBuf,
        /// Number of the event.
        number: usize,
        /// What it names.
        what: String,
        /// How many there are.
        count: usize,
    },
}

impl Schedule {
    /// Draws a schedule.
    pub fn draw(seed: u64, length_ms: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=8);
        let mut events: Vec<Event> = (0..count)
            .map(|_| Event {
                at_ms: rng.random_range(0..length_ms.max(1)),
                for_ms: rng.random_range(SHORTEST_MS..LONGEST_MS),
                fault: draw_fault(&mut rng),
            })
            .collect();
        // Drawn last: what else a seed stands for is the same with engines or without.
        let engines = rng.random::<bool>().then(|| draw_engines(&mut rng));
        if engines.is_some() {
            let count = rng.random_range(3..=8);
            events.extend((0..count).map(|_| Event {
                at_ms: rng.random_range(0..length_ms.max(1)),
                for_ms: rng.random_range(SHORTEST_MS..LONGEST_MS),
                fault: draw_engine_fault(&mut rng),
            }));
        }
        if rng.random_range(0..CUT_ENTRY_ONE_IN) == 0 {
            events.push(Event {
                at_ms: rng.random_range(0..length_ms.max(1)),
                for_ms: rng.random_range(CUT_MS),
                fault: draw_cut(&mut rng),
            });
        }
        events.sort_by_key(|event| event.at_ms);
        Self {
            seed,
            length_ms,
            events,
            engines,
            ..Self::default()
        }
    }

    /// Draws a schedule with a fatal part of prompts that strikes early or late in an answer,
    /// beside faults of daemons.
    pub fn draw_fatal(seed: u64, length_ms: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut schedule = Self::draw(seed, length_ms);
        schedule
            .events
            .retain(|event| !matches!(event.fault, Fault::CutEntry { .. }));
        Self {
            fatal_part: true,
            fatal_after: rng.random_range(0..MAX_FATAL_AFTER),
            ..schedule
        }
    }

    /// Draws a schedule in which control replicas lose their disks one after the other under a
    /// large configuration, beside faults of entries.
    pub fn draw_lost_disks(seed: u64, losses: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let length_ms = losses * LOSS_EVERY_MS;
        let mut events: Vec<Event> = (0..losses)
            .map(|n| Event {
                at_ms: n * LOSS_EVERY_MS + rng.random_range(0..LOSS_JITTER_MS),
                for_ms: rng.random_range(LOSS_MS),
                fault: Fault::LoseDisk(rng.random_range(0..REPLICAS)),
            })
            .collect();
        let entry_faults = (0..rng.random_range(0..4)).map(|_| {
            let target = Target::Entry(rng.random_range(0..ENTRIES));
            let faults = [
                Fault::Kill(target),
                Fault::Stop(target),
                Fault::Pause(target),
                Fault::Reload(target),
            ];
            Event {
                at_ms: rng.random_range(0..length_ms.max(1)),
                for_ms: rng.random_range(SHORTEST_MS..LONGEST_MS),
                fault: faults[rng.random_range(0..faults.len())],
            }
        });
        events.extend(entry_faults);
        events.sort_by_key(|event| event.at_ms);
        Self {
            seed,
            length_ms,
            extra_routes: rng.random_range(EXTRA_ROUTES),
            events,
            ..Self::default()
        }
    }

    /// Draws a schedule in which most new connections come to one entry and then to the other,
    /// over narrow links and beside faults of other daemons.
    pub fn draw_crowds(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let first = rng.random_range(0..ENTRIES);
        let mut events = Vec::new();
        let mut at_ms = 0;
        for crowded in [first, (first + 1) % ENTRIES] {
            at_ms += CROWD_AFTER_MS;
            let for_ms = rng.random_range(CROWD_MS);
            events.push(Event {
                at_ms,
                for_ms,
                fault: Fault::Crowd(crowded),
            });
            let other = (crowded + 1) % ENTRIES;
            let replica = Target::Replica(rng.random_range(0..REPLICAS));
            let how = draw_cut_kind(&mut rng);
            let faults = [
                Fault::CutEntry { entry: other, how },
                Fault::Kill(Target::Entry(other)),
                Fault::Stop(Target::Entry(other)),
                Fault::Kill(replica),
                Fault::Stop(replica),
                Fault::KillAll,
            ];
            events.push(Event {
                at_ms: at_ms + rng.random_range(0..for_ms),
                for_ms: rng.random_range(SHORTEST_MS..LONGEST_MS),
                fault: faults[rng.random_range(0..faults.len())],
            });
            at_ms += for_ms;
        }
        events.sort_by_key(|event| event.at_ms);
        Self {
            seed,
            length_ms: at_ms + CROWD_AFTER_MS,
            link_bits_per_s: CROWD_LINK_BITS_PER_S,
            events,
            ..Self::default()
        }
    }

    /// Draws a schedule with backend servers that fail requests and read nothing at times, beside
    /// faults of daemons.
    pub fn draw_held(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let fails_percent = FAILS_PERCENT[rng.random_range(0..FAILS_PERCENT.len())];
        let mut faults: Vec<_> = (0..rng.random_range(HOLDS))
            .map(|_| (Fault::Hold, HELD_MS))
            .collect();
        for _ in 0..rng.random_range(0..=HELD_FAULTS) {
            let entry = Target::Entry(rng.random_range(0..ENTRIES));
            let replica = Target::Replica(rng.random_range(0..REPLICAS));
            let of_daemons = [
                Fault::Kill(entry),
                Fault::Stop(entry),
                Fault::Pause(entry),
                Fault::Kill(replica),
                Fault::Stop(replica),
                Fault::KillAll,
                draw_cut(&mut rng),
            ];
            let fault = of_daemons[rng.random_range(0..of_daemons.len())];
            faults.push((fault, SHORTEST_MS..LONGEST_MS));
        }
        let mut events: Vec<Event> = faults
            .into_iter()
            .map(|(fault, lasts)| Event {
                at_ms: rng.random_range(0..HELD_LENGTH_MS),
                for_ms: rng.random_range(lasts),
                fault,
            })
            .collect();
        events.sort_by_key(|event| event.at_ms);
        Self {
            seed,
            length_ms: HELD_LENGTH_MS,
            fails_percent: Some(fails_percent),
            events,
            ..Self::default()
        }
    }

    /// Reads a schedule.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is no schedule.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, ScheduleError> {
        let path = path.as_ref().to_path_buf();
        let text = fs::read_to_string(&path).map_err(|source| ScheduleError::Read {
            path: path.clone(),
            source,
        })?;
        let schedule: Self = toml::from_str(&text).map_err(|source| ScheduleError::Parse {
            path: path.clone(),
            source: Box::new(source),
        })?;
        for (number, event) in schedule.events.iter().enumerate() {
            check(&path, number, event.fault, schedule.engine_count())?;
        }
        Ok(schedule)
    }

    /// Returns the number of engines.
    pub fn engine_count(&self) -> usize {
        self.engines.as_ref().map_or(0, |set| set.slowdowns.len())
    }

    /// Returns the schedule in the form in which it can be read.
    pub fn text(&self) -> String {
        // A schedule has a form: it holds numbers and names alone.
        toml::to_string(self).unwrap_or_default()
    }
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    let target = match rng.random_range(0..2) {
        0 => Target::Replica(rng.random_range(0..REPLICAS)),
        _ => Target::Entry(rng.random_range(0..ENTRIES)),
    };
    let server = rng.random_range(0..SERVERS);
    match rng.random_range(0..11) {
        0 | 1 => Fault::Kill(target),
        2 | 3 => Fault::Stop(target),
        4 | 5 => Fault::Pause(target),
        6 => Fault::Reload(target),
        7 => Fault::KillAll,
        8 => Fault::Delay(server),
        9 => Fault::Reset(server),
        _ if rng.random() => Fault::CutAnswers(server),
        _ => Fault::Silence(server),
    }
}

fn draw_engines(rng: &mut StdRng) -> EngineSet {
    let mut slowdown = || rng.random_range(SLOWDOWN_PERCENT);
    let slowdowns = (0..ENGINES).map(|_| slowdown()).collect();
    EngineSet {
        slowdowns,
        contention: rng.random(),
    }
}

fn draw_engine_fault(rng: &mut StdRng) -> Fault {
    let engine = rng.random_range(0..ENGINES);
    match rng.random_range(0..6) {
        0 => Fault::Delay(SERVERS + engine),
        1 => Fault::Reset(SERVERS + engine),
        _ => Fault::Slow(engine),
    }
}

fn draw_cut_kind(rng: &mut StdRng) -> Cut {
    match rng.random_range(0..3) {
        0 => Cut::Hang,
        1 => Cut::Reset,
        _ => Cut::Live,
    }
}

fn draw_cut(rng: &mut StdRng) -> Fault {
    let how = draw_cut_kind(rng);
    Fault::CutEntry {
        entry: rng.random_range(0..ENTRIES),
        how,
    }
}

fn check(path: &Path, number: usize, fault: Fault, engines: usize) -> Result<(), ScheduleError> {
    let (what, at, count) = match fault {
        Fault::Kill(t) | Fault::Stop(t) | Fault::Pause(t) | Fault::Reload(t) => match t {
            Target::Replica(n) => ("replica", n, REPLICAS),
            Target::Entry(n) => ("entry", n, ENTRIES),
        },
        Fault::LoseDisk(n) => ("replica", n, REPLICAS),
        Fault::Delay(n) | Fault::Reset(n) | Fault::CutAnswers(n) | Fault::Silence(n) => {
            ("backend server", n, SERVERS + engines)
        }
        Fault::Slow(n) => ("engine", n, engines),
        Fault::Crowd(entry) | Fault::CutEntry { entry, .. } => ("entry", entry, ENTRIES),
        Fault::KillAll | Fault::Hold => return Ok(()),
    };
    if at < count {
        return Ok(());
    }
    Err(ScheduleError::Number {
        path: path.to_path_buf(),
        number,
        what: format!("{what} {at}"),
        count,
    })
}
