//! The sums.

use super::size::Size;
use crate::slopes::{
    SlopeError,
    Slopes, //
};

/// Seconds between two announcements of a backend server, and entries told
/// each time.
const ANNOUNCE_EVERY: f64 = 1.0;
const FANOUT: f64 = 2.0;

/// Bytes round an announcement's JSON: HTTP heads both ways, TCP and IP.
const HTTP: f64 = 450.0;

/// Bytes of one refreshed backend server between entries, encoded.
const ALIVE: f64 = 18.0;

/// Bytes round a message on a link: frames, authentication, IP and UDP, and
/// its acknowledgement.
const MESSAGE: f64 = 120.0;

/// Seconds between two batches of refreshes of an entry, as built.
const ALIVE_EVERY: f64 = 0.5;

/// Seconds between two batches of refreshes after the change: half of the lease
/// of a backend server.
const ALIVE_SLOW: f64 = 2.5;

/// Other entries that an entry keeps a link to after the change.
const NEIGHBOURS: f64 = 8.0;

/// Seconds between two reports of evidence, as built and after the change.
const EVIDENCE_EVERY: f64 = 1.0;
const EVIDENCE_SLOW: f64 = 10.0;

/// Versions that are being rolled out at a time.
const ROLLING: f64 = 2.0;

/// Seconds between two reports of backend servers to the control group.
const SERVERS_EVERY: f64 = 2.0;

/// Bytes of an announcement between our own processes, encoded.
const ANNOUNCED: f64 = 110.0;

/// Seconds for which ended claims are kept at least, also when the table is full.
const CLAIMS_KEPT: f64 = 3_600.0;

/// Seconds for which claims are kept in memory after the change.
const CLAIMS_HOT: f64 = 300.0;

/// Claims that a group keeps at most, as built; a further one is denied if all
/// are younger than [`CLAIMS_KEPT`].
const MAX_CLAIMS: f64 = 20_000.0;

/// Bytes of a kept answer: its text, at the size in two years 272 tokens.
const ANSWER: f64 = 2_000.0;

/// Memory of an instance that is set aside for control.
const CONTROL_MEMORY: f64 = 1e9;

/// What a figure counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Quantity {
    /// Share of a core.
    Core(f64),
    /// Bytes of memory.
    Memory(f64),
    /// Bytes a second.
    Traffic(f64),
    /// Events a second.
    Rate(f64),
    /// Seconds.
    Time(f64),
    /// Things counted at a time.
    Count(f64),
}

impl Quantity {
    /// The bare number.
    pub fn number(self) -> f64 {
        match self {
            Self::Core(x)
            | Self::Memory(x)
            | Self::Traffic(x)
            | Self::Rate(x)
            | Self::Time(x)
            | Self::Count(x) => x,
        }
    }

    fn with(self, number: f64) -> Self {
        match self {
            Self::Core(_) => Self::Core(number),
            Self::Memory(_) => Self::Memory(number),
            Self::Traffic(_) => Self::Traffic(number),
            Self::Rate(_) => Self::Rate(number),
            Self::Time(_) => Self::Time(number),
            Self::Count(_) => Self::Count(number),
        }
    }
}

/// A limit and whose it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// The letter's, for control in each daemon, or for the fleet.
    Letter(f64),
    /// An aim of the project's own.
    Aim(f64),
}

impl Limit {
    /// The bare number.
    pub fn number(self) -> f64 {
        match self {
            Self::Letter(x) | Self::Aim(x) => x,
        }
    }
}

/// One figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Role that bears it.
    pub role: &'static str,
    /// What it is.
    pub what: &'static str,
    /// How it is worked out, with the names of the slopes.
    pub from: &'static str,
    /// Figure of what is built.
    pub built: Quantity,
    /// Limit, if there is one.
    pub limit: Option<Limit>,
    /// Mechanism that carries it.
    pub mechanism: &'static str,
    /// Change that is needed at some size, with the figure after it.
    pub change: Option<(&'static str, Quantity)>,
}

impl Row {
    fn new(role: &'static str, what: &'static str, built: Quantity) -> Self {
        Self {
            role,
            what,
            from: "",
            built,
            limit: None,
            mechanism: "",
            change: None,
        }
    }

    fn from(mut self, from: &'static str) -> Self {
        self.from = from;
        self
    }

    fn limit(mut self, limit: Limit) -> Self {
        self.limit = Some(limit);
        self
    }

    fn by(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }

    fn change(mut self, change: &'static str, number: f64) -> Self {
        self.change = Some((change, self.built.with(number)));
        self
    }

    /// Tells whether what is built breaks the limit.
    pub fn breaks(&self) -> bool {
        self.limit
            .is_some_and(|limit| self.built.number() > limit.number())
    }
}

/// Limits of the letter for control in each daemon.
const CORE: Limit = Limit::Letter(0.046);
const MEMORY: Limit = Limit::Letter(32e6);
const TRAFFIC: Limit = Limit::Letter(14e3);

/// Works out every figure of a size.
///
/// # Errors
///
/// Fails if a slope was not measured.
pub fn rows(size: &Size, slopes: &Slopes) -> Result<Vec<Row>, SlopeError> {
    let mut rows = Vec::new();
    rows.extend(request_path(size, slopes)?);
    rows.extend(entry_control(size, slopes)?);
    rows.extend(configuration(size, slopes)?);
    rows.extend(claims(size, slopes)?);
    rows.extend(from_outside(size, slopes)?);
    Ok(rows)
}

fn request_path(size: &Size, slopes: &Slopes) -> Result<Vec<Row>, SlopeError> {
    let requests = size.requests / size.entries;
    let tokens = size.tokens / size.entries;
    let of_requests = requests * slopes.value("entry.request")?;
    let core = of_requests + tokens * slopes.value("entry.token")?;
    let together = of_requests + tokens * slopes.value("entry.token.at_once")?;
    let memory = slopes.value("entry.idle.memory")?
        + size.streams() * slopes.value("entry.stream.memory")?;
    Ok(vec![
        Row::new("entry, requests", "requests", Quantity::Rate(requests))
            .from("requests / entries"),
        Row::new(
            "entry, requests",
            "open streams",
            Quantity::Count(size.streams()),
        )
        .from("tokens x gap / entries"),
        Row::new("entry, requests", "processor", Quantity::Core(core))
            .from("requests x entry.request + tokens x entry.token")
            .limit(Limit::Aim(0.05))
            .by("events passed on uncopied and unparsed")
            .change(
                "tokens of many streams in one connection of a runner, if engines offer it",
                together,
            ),
        Row::new("entry, requests", "memory", Quantity::Memory(memory))
            .from("entry.idle.memory + streams x entry.stream.memory")
            .by("bounded streams, queues and explanations"),
    ])
}

fn entry_control(size: &Size, slopes: &Slopes) -> Result<Vec<Row>, SlopeError> {
    let taken = size.runners * FANOUT / ANNOUNCE_EVERY / size.entries;
    let told = size.runners * FANOUT / ANNOUNCE_EVERY;
    let told_near = size.near() / ALIVE_SLOW;
    let rest = slopes.value("entry.rest")?;
    let changes = size.change_rate() * slopes.value("entry.change")?;
    let (take, tell) = (
        slopes.value("entry.announcement")?,
        slopes.value("entry.told")?,
    );
    let own = rest + changes + taken * take;
    let others = size.entries - 1.0;
    let silent = slopes.value("link.silent.bytes")?;
    let config =
        slopes.value("entry.rest.bytes")? + size.change_rate() * slopes.value("change.bytes")?;
    // Every entry sends what it took to all others and hears what they took.
    let spread = 2.0 * told * ALIVE + 2.0 * others / ALIVE_EVERY * MESSAGE;
    let spread_near = 2.0 * told_near * ALIVE + 2.0 * NEIGHBOURS / ALIVE_SLOW * MESSAGE;
    let announced = taken * (slopes.value("announcement.bytes")? + HTTP);
    let server = slopes.value("entry.server.memory")?;
    let link = slopes.value("leader.subscriber.memory")?;
    let near = size.near().min(size.runners);
    Ok(vec![
        Row::new(
            "entry, control",
            "announcements taken",
            Quantity::Rate(taken),
        )
        .from("runners x 2 entries told / 1 s / entries"),
        Row::new(
            "entry, control",
            "refreshes told by others",
            Quantity::Rate(told),
        )
        .from("runners x 2 / 1 s; after: near runners / 2.5 s")
        .change(
            "refreshes only inside a failure domain, each runner once",
            told_near,
        ),
        Row::new(
            "entry, control",
            "processor",
            Quantity::Core(own + told * tell),
        )
        .from(
            "entry.rest + changes x entry.change + taken x entry.announcement + told x entry.told",
        )
        .limit(CORE)
        .by("Alive refreshes without load; delta configuration")
        .change(
            "refreshes only inside a failure domain, each runner once",
            own + told_near * tell,
        ),
        Row::new(
            "entry, control",
            "memory",
            Quantity::Memory(size.runners * server + others * link),
        )
        .from("runners x entry.server.memory + other entries x leader.subscriber.memory")
        .limit(MEMORY)
        .by("deterministic subsets of runners")
        .change(
            "only the runners of the failure domain and a subset elsewhere; links to 8 neighbours",
            2.0 * near * server + NEIGHBOURS * link,
        ),
        Row::new(
            "entry, control",
            "traffic to other entries",
            Quantity::Traffic(others * silent + spread),
        )
        .from("other entries x link.silent.bytes + 2 x told x 18 B + messages x 120 B")
        .limit(TRAFFIC)
        .by("one link to each other entry")
        .change(
            "spread by a ring of 8 neighbours inside the failure domain",
            NEIGHBOURS * silent + spread_near,
        ),
        Row::new(
            "entry, control",
            "traffic to the control group",
            Quantity::Traffic(config),
        )
        .from("entry.rest.bytes + changes x change.bytes")
        .limit(TRAFFIC)
        .by("renewals answered only with news; delta configuration"),
        Row::new(
            "entry, control",
            "traffic of announcements",
            Quantity::Traffic(announced),
        )
        .from("taken x (announcement.bytes + 450 B)")
        .limit(TRAFFIC)
        .by("announcements to 2 entries; leases of 5 s")
        .change(
            "a refresh without versions and load when nothing changed, every 2.5 s",
            taken * ANNOUNCE_EVERY / ALIVE_SLOW * HTTP,
        ),
    ])
}

fn configuration(size: &Size, slopes: &Slopes) -> Result<Vec<Row>, SlopeError> {
    let rate = size.change_rate();
    let rest = slopes.value("leader.rest")?;
    let entries = size.entries * slopes.value("leader.subscriber")?;
    let told =
        slopes.value("leader.change")? + size.entries * slopes.value("leader.subscriber.change")?;
    let commit = slopes.value("leader.commit")?;
    let evidence = size.entries * ROLLING.min(size.versions) / EVIDENCE_EVERY;
    let evidence_slow = size.entries * ROLLING / EVIDENCE_SLOW;
    let memory = slopes.value("control.idle.memory")?
        + size.entries * slopes.value("leader.subscriber.memory")?;
    let entry = slopes.value("entry.rest.bytes")? + rate * slopes.value("change.bytes")?;
    let servers = size.runners * FANOUT / SERVERS_EVERY * ANNOUNCED;
    let base = rest + entries + rate * told;
    Ok(vec![
        Row::new("control, configuration", "processor of the leader", Quantity::Core(base + evidence * commit))
            .from("leader.rest + entries x leader.subscriber + changes x (leader.change + entries x leader.subscriber.change) + evidence x leader.commit")
            .by("one leader tells every entry: no relays at this rate of changes")
            .limit(Limit::Aim(0.5))
            .change(
                "evidence every 10 s",
                base + evidence_slow * commit,
            ),
        Row::new("control, configuration", "evidence at the leader", Quantity::Rate(evidence))
            .from("entries x versions that roll out / 1 s, each a log entry")
            .change("evidence every 10 s", evidence_slow),
        Row::new("control, configuration", "memory of the leader", Quantity::Memory(memory))
            .from("control.idle.memory + entries x leader.subscriber.memory")
            .limit(Limit::Aim(CONTROL_MEMORY))
            .by("leases and waiting renewals only"),
        Row::new("control, configuration", "traffic of the leader", Quantity::Traffic(size.entries * entry + servers))
            .from("entries x (entry.rest.bytes + changes x change.bytes) + reports of backend servers")
            .by("delta configuration")
            .change(
                "reports of backend servers only when versions or leaving change",
                size.entries * entry,
            ),
        Row::new("control, configuration", "apply to in force", Quantity::Time(slopes.value("change.in_force")?))
            .from("change.in_force, at 720 subscribers on loopback")
            .limit(Limit::Letter(12.0))
            .by("waiting renewals are answered at once"),
        Row::new("control, configuration", "starts to be told the whole file", Quantity::Rate(size.starts / 86_400.0))
            .from("(failures + restarts) / day, fleet.large bytes each"),
        Row::new("control, configuration", "restart of a replica", Quantity::Time(slopes.value("control.restart")?))
            .from("control.restart, after 100,000 entries")
            .limit(Limit::Aim(1.0))
            .by("snapshots"),
    ])
}

fn claims(size: &Size, slopes: &Slopes) -> Result<Vec<Row>, SlopeError> {
    let each = size.claims() / size.regions;
    let commits = 2.0 * each;
    let core = commits * slopes.value("leader.commit")?;
    let record = slopes.value("claim.memory")?;
    let body = ANSWER * slopes.value("claim.body.memory")?;
    let kept = |seconds: f64| each * seconds * (record + body);
    let replicas = 3.0 * size.regions;
    let configuration = if size.regions > 1.0 { 2.0 } else { 0.0 };
    let log = each * slopes.value("claim.log")? + each * ANSWER;
    Ok(vec![
        Row::new("control, claims", "claims of a group", Quantity::Rate(each))
            .from("requests x share with a key / regions"),
        Row::new(
            "control, claims",
            "claims of an hour",
            Quantity::Count(each * CLAIMS_KEPT),
        )
        .from("claims x 1 h; of 20,000 those make room that ended longer ago, a further one is denied")
        .limit(Limit::Aim(MAX_CLAIMS))
        .by("bounded records")
        .change(
            "a bound that follows the memory, ended claims older than 5 min on disk: then in memory",
            each * CLAIMS_HOT,
        ),
        Row::new(
            "control, claims",
            "processor of a leader",
            Quantity::Core(core),
        )
        .from("2 x claims x leader.commit")
        .limit(Limit::Aim(0.5))
        .by("group commit; a group a region, over its three failure domains"),
        Row::new(
            "control, claims",
            "memory of a replica",
            Quantity::Memory(kept(CLAIMS_KEPT)),
        )
        .from("claims x 1 h x (claim.memory + 2,000 B of answer x claim.body.memory)")
        .limit(Limit::Aim(CONTROL_MEMORY))
        .by("retention and a cap on kept answers")
        .change(
            "ended claims older than 5 min on disk, found by an index file",
            kept(CLAIMS_HOT),
        ),
        Row::new(
            "control, claims",
            "traffic of a leader",
            Quantity::Traffic(2.0 * log),
        )
        .from("2 followers x claims x (claim.log + 2,000 B)")
        .by("batches of a group commit"),
        Row::new(
            "control, claims",
            "instances set aside",
            Quantity::Count(replicas + configuration),
        )
        .from("3 a region + 2 more for a configuration group over the regions")
        .limit(Limit::Letter(17.0))
        .by("configuration replicas share the instances of claim groups"),
    ])
}

fn from_outside(size: &Size, slopes: &Slopes) -> Result<Vec<Row>, SlopeError> {
    let announced = size.runners * FANOUT / ANNOUNCE_EVERY;
    let bytes = slopes.value("announcement.bytes")? + HTTP;
    let file = slopes.value("fleet.large")?;
    Ok(vec![
        Row::new(
            "backend servers",
            "announcements",
            Quantity::Rate(announced),
        )
        .from("runners x 2 / 1 s"),
        Row::new(
            "backend servers",
            "traffic of one",
            Quantity::Traffic(FANOUT / ANNOUNCE_EVERY * bytes),
        )
        .from("2 / 1 s x (announcement.bytes + 450 B)"),
        Row::new("operators", "files", Quantity::Rate(size.change_rate())).from("changes / day"),
        Row::new(
            "operators",
            "traffic of files",
            Quantity::Traffic(size.change_rate() * file),
        )
        .from("changes x fleet.large"),
    ])
}
