//! Orders to load versions or to change role.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use sesamebeam_core::ids::{
    Fencing,
    VersionId, //
};

use super::engine::Engine;
use crate::{
    announce::Announcer,
    client::{
        Call,
        Client,
        ClientError, //
    }, //
};

/// Slowdown of the work that a role is not made for.
const ROLE_PENALTY: f64 = 4.0;

/// What an engine does best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Both kinds of work alike.
    #[default]
    Mixed,
    /// Reading prompts.
    Prefill,
    /// Generating tokens.
    Decode,
}

impl Role {
    /// Factor on the time to read a prompt.
    pub(crate) fn prefill_factor(self) -> f64 {
        match self {
            Self::Mixed | Self::Prefill => 1.0,
            Self::Decode => ROLE_PENALTY,
        }
    }

    /// Factor on the time between tokens.
    pub(crate) fn token_factor(self) -> f64 {
        match self {
            Self::Mixed | Self::Decode => 1.0,
            Self::Prefill => ROLE_PENALTY,
        }
    }
}

/// An order: a desired state and its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Order {
    /// State to reach.
    pub(crate) desired: Desired,
    /// Number of the order.
    pub(crate) fencing: Fencing,
}

/// What an engine should have or be.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Desired {
    /// Have this version loaded.
    Loaded(VersionId),
    /// Have this version unloaded.
    Unloaded(VersionId),
    /// Take this role.
    Role(Role),
}

/// An order with its verdict, for the books.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// What was asked for, such as `loaded beam@v7`.
    pub what: String,
    /// Fencing number of the order.
    pub fencing: Fencing,
    /// Whether it was obeyed.
    pub obeyed: bool,
}

/// Verdict on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderVerdict {
    /// The state is reached.
    Reached,
    /// The version is being loaded.
    Loading,
    /// The fencing number is older than this one.
    Old(Fencing),
}

impl std::fmt::Display for Desired {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Loaded(version) => write!(f, "loaded {version}"),
            Self::Unloaded(version) => write!(f, "unloaded {version}"),
            Self::Role(role) => write!(f, "role {role:?}"),
        }
    }
}

/// Obeys an order, or refuses it for its number.
pub(crate) fn obey(
    engine: &Arc<Engine>,
    announcer: &Arc<Announcer>,
    order: &Order,
) -> OrderVerdict {
    let mut state = engine.lock();
    if engine.cfg.checks_fencing && order.fencing < state.fencing {
        return OrderVerdict::Old(state.fencing);
    }
    state.fencing = state.fencing.max(order.fencing);
    match &order.desired {
        Desired::Role(role) => state.role = *role,
        Desired::Unloaded(version) => {
            // Taking it out of `loading` also stops a load under way from counting.
            state.loading.remove(version);
            state.versions.remove(version);
        }
        Desired::Loaded(version) => {
            if state.versions.contains(version) {
                return OrderVerdict::Reached;
            }
            let Some(store) = engine.cfg.weights else {
                state.versions.insert(version.clone());
                announcer.nudge();
                return OrderVerdict::Reached;
            };
            if state.loading.insert(version.clone()) {
                let load = load(
                    Arc::clone(engine),
                    Arc::clone(announcer),
                    store,
                    version.clone(),
                );
                engine.life.spawn(load);
            }
            return OrderVerdict::Loading;
        }
    }
    announcer.nudge();
    OrderVerdict::Reached
}

/// Takes a version's weights from the store; a load that fails is given up, and
/// the next order for the same state begins it anew.
async fn load(
    engine: Arc<Engine>,
    announcer: Arc<Announcer>,
    store: SocketAddr,
    version: VersionId,
) {
    let whole = fetch(store, &version).await.unwrap_or(false);
    let mut state = engine.lock();
    if state.loading.remove(&version) && whole {
        state.versions.insert(version);
    }
    drop(state);
    announcer.nudge();
}

/// Reads the weights and tells whether they came whole.
async fn fetch(store: SocketAddr, version: &str) -> Result<bool, ClientError> {
    let mut client = Client::connect(store).await?;
    let opened = client
        .open(Call::get(format!("/weights/{version}")))
        .await?;
    let status = opened.status;
    let whole = opened.discard().await;
    Ok(status.is_success() && whole)
}
