//! Identifiers and units that every module shares.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use smol_str::SmolStr;

/// Time on the monotonic clock of one process, since an arbitrary start.
///
/// A plain [`Duration`], so that a harness can make one without reading a clock.
pub type MonoTime = Duration;

/// Milliseconds since the Unix epoch, for records that people read.
pub type UnixMillis = u64;

/// Name of an organisation.
pub type OrgId = SmolStr;

/// Name of a model.
pub type ModelId = SmolStr;

/// Full name of a version, written `model@version`.
pub type VersionId = SmolStr;

/// Name of a class of requests, as the fleet file gives it.
pub type ClassId = SmolStr;

/// Name of a pool of backend servers.
pub type PoolId = SmolStr;

/// Name of a failure domain.
pub type DomainId = SmolStr;

/// Name of an instance of this system.
pub type InstanceId = SmolStr;

/// Number that a process draws anew at each start, never zero.
pub type Incarnation = u64;

/// Address at which a backend server takes requests.
pub type ServerAddr = SocketAddr;

/// Address at which one of our own processes listens.
pub type ProcessAddr = SocketAddr;

/// Number of one request, drawn at random by the entry that admitted it.
pub type RequestId = u128;

/// Session name that the caller chose or the system issued.
pub type SessionId = SmolStr;

/// Value of the caller's `Idempotency-Key` header.
pub type IdempotencyKey = SmolStr;

/// Digest of a request or an answer (128-bit xxh3).
pub type Digest = u128;

/// Number of an accepted configuration; the first is 1 and 0 means none.
pub type Revision = u64;

/// Number of a control replica within its group.
pub type NodeId = u64;

/// Term of the control group.
pub type Term = u64;

/// Position in the replicated log; the first entry is 1.
pub type LogIndex = u64;

/// Sequence number of a billing entry; the first is 1.
pub type BillSeq = u64;

/// Number that grows with every order to an engine.
pub type Fencing = u64;

/// Number of a claim or pin on one key; the first writer gets 1.
pub type Generation = u32;

/// Name under which a session is pinned that lets the system choose the model;
/// no model may have it.
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
