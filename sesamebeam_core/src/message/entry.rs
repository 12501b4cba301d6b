//! Requests of operators to an entry, and its replies.

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::server::Announcement;
use crate::{
    entry::explain::Explanation,
    ids::{
        DomainId,
        InstanceId,
        OrgId,
        RequestId,
        Revision, //
    },
    policy::burn::BurnReport,
};

/// Request to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// Explains the decisions made for a recent request.
    Explain(RequestId),
    /// Returns the error budget burn of all organisations or of one.
    Burn(Option<OrgId>),
    /// Returns the state of the entry.
    Status,
}

/// Reply of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryReply {
    /// Reply to [`EntryRequest::Explain`]; `None` if the entry does not know
    /// the request.
    Explained(Option<Explanation>),
    /// Reply to [`EntryRequest::Burn`].
    Burn(BurnReport),
    /// Reply to [`EntryRequest::Status`].
    Status(Box<EntryState>),
    /// The request is invalid and must not be retried.
    Refused(SmolStr),
}

/// State of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryState {
    /// Name of the entry.
    pub instance: InstanceId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Revision in force on the entry.
    pub revision: Revision,
    /// Whether the entry holds its configuration lease.
    pub lease_held: bool,
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Whether the entry is stopping.
    pub stopping: bool,
    /// Backend servers known to the entry.
    pub servers: Vec<Announcement>,
}
