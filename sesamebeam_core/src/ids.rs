//! Identifiers and units shared by all modules.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use smol_str::SmolStr;

/// Time on the monotonic clock of one process, since an arbitrary start.
///
/// A plain [`Duration`], so that a test harness can construct one without
/// reading a clock.
pub type MonoTime = Duration;

/// Milliseconds since the Unix epoch; used only in human-readable records.
pub type UnixMillis = u64;

/// Name of an organisation.
pub type OrgId = SmolStr;

/// Name of a model.
pub type ModelId = SmolStr;

/// Full name of a version, written `model@version`.
pub type VersionId = SmolStr;

/// Name of a request class, as defined in the fleet file.
pub type ClassId = SmolStr;

/// Name of a pool of backend servers.
pub type PoolId = SmolStr;

/// Name of a failure domain.
pub type DomainId = SmolStr;

/// Name of an instance of this system.
pub type InstanceId = SmolStr;

/// Random number that a process draws at each start; never zero.
pub type Incarnation = u64;

/// Address at which a backend server accepts requests.
pub type ServerAddr = SocketAddr;

/// Address at which one of our own processes listens.
pub type ProcessAddr = SocketAddr;

/// Random identifier of a request, drawn by the entry that admitted it.
pub type RequestId = u128;

/// Session name, chosen by the caller or issued by the system.
pub type SessionId = SmolStr;

/// Value of the caller's `Idempotency-Key` header.
pub type IdempotencyKey = SmolStr;

/// 128-bit xxh3 digest of a request or response.
pub type Digest = u128;

/// Revision number of an accepted configuration, from 1; 0 means none.
pub type Revision = u64;

/// Node number of a control replica within its group.
pub type NodeId = u64;

/// Leader election term of the control group.
pub type Term = u64;

/// Position in the replicated log, from 1.
pub type LogIndex = u64;

/// Sequence number of a billing record, from 1.
pub type BillSeq = u64;

/// Fencing token that increases with every order to an engine.
pub type Fencing = u64;

/// Generation of a claim or pin on one key, from 1.
pub type Generation = u32;

/// Reserved model name under which a session is pinned if the system chooses
/// the model.
pub const ANY_MODEL: &str = "auto";

/// Splits a full version name into model and version.
///
/// ```
/// assert_eq!(sesamebeam_core::ids::split_version("beam@v7"), Some(("beam", "v7")));
/// ```
pub fn split_version(full: &str) -> Option<(&str, &str)> {
    let (model, version) = full.split_once('@')?;
    (!model.is_empty() && !version.is_empty()).then_some((model, version))
}

/// Joins a model and a version into a full version name.
pub fn join_version(model: &str, version: &str) -> VersionId {
    smol_str::format_smolstr!("{model}@{version}")
}
