//! Daemons, runner fakes and a configuration in force, ready for load.

use std::{
    path::Path,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam::{
    keys::sha256_hex,
    link::Role,
    local::{
        ANNOUNCE_KEY,
        LocalPlan, //
    },
};
use sesamebeam_core::{
    fleet::Fleet,
    ids::Revision, //
};
use sesamebeam_fakes::{
    AnnounceConfig,
    FakeError,
    Runner,
    RunnerConfig, //
};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::generator::{
    Connection,
    Counters,
    Target, //
};
use crate::{
    daemons::{
        DaemonError,
        Daemons, //
    },
    group::{
        Group,
        GroupError,
        PATIENCE, //
    },
    relay::{
        self,
        Traffic, //
    },
};

/// Failure domains of the bed.
pub const DOMAINS: [&str; 3] = ["lima-ate", "lima-surco", "lima-callao"];

/// Key of the organisation in the fleet file.
const ORG_KEY: &str = "bench-key";

/// Fleet file of the bed.
const FLEET: &str = include_str!("fleet.toml");

/// Version that requests sent straight to a runner ask for.
const DIRECT_VERSION: &str = "ligero@v4";

/// Pause between two looks at something that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Why a bed could not be made.
#[derive(Debug, Error)]
pub enum BedError {
    /// The daemons do not start.
    #[error(transparent)]
    Daemons(#[from] DaemonError),
    /// The control group does not do what is asked.
    #[error(transparent)]
    Group(#[from] GroupError),
    /// A fake does not start.
    #[error(transparent)]
    Fake(#[from] FakeError),
    /// The fleet file of the bed has a fault.
    #[error(transparent)]
    Fleet(#[from] toml::de::Error),
    /// A relay cannot be opened.
    #[error(transparent)]
    Relay(#[from] std::io::Error),
    /// The entry serves nothing.
    #[error("no answer came through the entry within {0:?}")]
    NotServed(Duration),
}

/// What a bed is made of.
#[derive(Clone, Copy, Debug)]
pub struct BedPlan {
    /// Entries in each failure domain.
    pub entries: usize,
    /// Runners, spread over the failure domains.
    pub runners: usize,
    /// Requests that one runner runs side by side.
    pub slots: usize,
    /// Threads that serve requests in an entry; none takes the default.
    pub workers: Option<usize>,
}

/// Daemons under test, with the fakes in this process.
pub struct Bed {
    /// The daemons.
    pub daemons: Daemons,
    /// Operator's connection to the control group.
    pub group: Group,
    /// The runner fakes.
    pub runners: Vec<Runner>,
    /// Fleet file in force.
    pub fleet: Fleet,
    /// Its revision.
    pub revision: Revision,
    /// What passes between the first entry and the control group.
    pub traffic: Arc<Traffic>,
    cancel: CancellationToken,
}

impl Bed {
    /// Starts everything and waits until the first entry serves.
    ///
    /// # Errors
    ///
    /// Fails if something does not start or does not come in force in time.
    pub async fn start(plan: BedPlan, data: &Path) -> Result<Self, BedError> {
        let mut local = LocalPlan::small(&DOMAINS);
        local.entries = plan.entries;
        if let Some(workers) = plan.workers {
            local.limits.workers = workers;
        }
        let mut daemons = Daemons::make(&local, data)?;
        let (traffic, cancel) = (Arc::new(Traffic::default()), CancellationToken::new());
        for replica in &mut daemons.settings.entries[0].control {
            let (traffic, cancel) = (Arc::clone(&traffic), cancel.clone());
            replica.addr = relay::start(replica.addr, traffic, cancel).await?;
        }
        daemons.start_all()?;
        let settings = &daemons.settings;
        let operator = Role::Operator("local".into());
        let group = Group::open(&settings.ca, &operator, &settings.operator.control)
            .map_err(GroupError::from)?;
        let fleet = fleet(plan.slots)?;
        let revision = group.apply(0, &fleet).await?;
        let everywhere = settings.entries.len();
        group
            .until("the file in force", |status| {
                status.in_force >= revision && status.entries.len() >= everywhere
            })
            .await?;
        let runners = start_runners(&daemons, &fleet, plan, &cancel).await?;
        let bed = Self {
            daemons,
            group,
            runners,
            fleet,
            revision,
            traffic,
            cancel,
        };
        bed.until_served().await?;
        Ok(bed)
    }

    /// Name of the entry that is measured.
    pub fn entry(&self) -> &str {
        &self.daemons.settings.entries[0].instance
    }

    /// Where requests through the measured entry go.
    pub fn through_entry(&self, class: &'static str) -> Target {
        self.through(0, class)
    }

    /// Where requests through an entry go, by its position.
    pub fn through(&self, entry: usize, class: &'static str) -> Target {
        Target::Entry {
            addr: self.daemons.settings.entries[entry].listen.callers,
            key: ORG_KEY.to_owned(),
            class,
        }
    }

    /// Where requests straight to a runner of the entry's failure domain go.
    pub fn straight(&self) -> Target {
        Target::Runner {
            addr: self.runners[0].addr(),
            version: DIRECT_VERSION.to_owned(),
        }
    }

    /// Sets the time between two tokens of every runner; zero gives whole
    /// answers at once.
    pub fn pace(&self, token_delay: Duration) {
        for runner in &self.runners {
            runner.set_token_delay(token_delay);
        }
    }

    /// Applies a file that differs from the one in force by one number, as an
    /// operator's small change does.
    ///
    /// # Errors
    ///
    /// Fails if it is not accepted in time.
    pub async fn change(&mut self) -> Result<(), BedError> {
        let share = &mut self.fleet.organisations[0].share;
        *share = if *share > 1.5 { 1.0 } else { 2.0 };
        self.revision = self.group.apply(self.revision, &self.fleet).await?;
        Ok(())
    }

    async fn until_served(&self) -> Result<(), BedError> {
        let target = self.through_entry("question");
        let mut connection = Connection::new(target, Arc::new(Counters::default()));
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if connection.call(4).await.is_ok_and(|seen| seen.whole) {
                return Ok(());
            }
            sleep(LOOK_EVERY).await;
        }
        Err(BedError::NotServed(PATIENCE))
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.group.close();
        self.cancel.cancel();
    }
}

/// Reads the bed's fleet file.
///
/// # Errors
///
/// Fails if it has a fault.
pub fn fleet(slots: usize) -> Result<Fleet, toml::de::Error> {
    let mut fleet: Fleet = toml::from_str(&FLEET.replace("KEY_HASH", &sha256_hex(ORG_KEY)))?;
    for pool in &mut fleet.pools {
        pool.slots = u32::try_from(slots).unwrap_or(u32::MAX);
    }
    Ok(fleet)
}

async fn start_runners(
    daemons: &Daemons,
    fleet: &Fleet,
    plan: BedPlan,
    cancel: &CancellationToken,
) -> Result<Vec<Runner>, BedError> {
    let versions: Vec<SmolStr> = fleet
        .models
        .iter()
        .flat_map(|model| {
            let name = &model.name;
            let versions = model.versions.iter();
            versions.map(|version| sesamebeam_core::ids::join_version(name, &version.name))
        })
        .collect();
    let mut runners = Vec::new();
    for number in 0..plan.runners {
        let domain = DOMAINS[number % DOMAINS.len()];
        let entries = daemons.settings.entries.iter();
        let cfg = RunnerConfig {
            announce: AnnounceConfig {
                entries: entries
                    .filter(|entry| entry.domain == domain)
                    .map(|entry| entry.listen.announcements)
                    .collect(),
                key: ANNOUNCE_KEY.into(),
                pool: fleet.pools[0].name.clone(),
                domain: domain.into(),
                ..AnnounceConfig::default()
            },
            versions: versions.clone(),
            slots: plan.slots,
            max_waiting: plan.slots,
            batch_slowdown: 0.0,
            kv_tokens: u32::MAX,
            keeps_books: false,
            seed: number as u64,
            ..RunnerConfig::default()
        };
        runners.push(Runner::start(cfg, cancel.clone()).await?);
    }
    Ok(runners)
}
