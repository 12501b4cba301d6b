//! What operators ask of an entry, and its answers.

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

/// What is asked of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// What was decided on a recent request.
    Explain(RequestId),
    /// Burn of the objectives, of all organisations or of one.
    Burn(Option<OrgId>),
    /// State of the entry.
    Status,
}

/// An entry's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryReply {
    /// Answer to [`EntryRequest::Explain`]; none if the request is not known here.
    Explained(Option<Explanation>),
    /// Answer to [`EntryRequest::Burn`].
    Burn(BurnReport),
    /// Answer to [`EntryRequest::Status`].
    Status(Box<EntryState>),
    /// The question is refused for good.
    Refused(SmolStr),
}

/// State of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryState {
    /// Name of the entry.
    pub instance: InstanceId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether its configuration lease is held.
    pub lease_held: bool,
    /// Requests under way.
    pub in_flight: u64,
    /// Whether a stop has begun.
    pub stopping: bool,
    /// Backend servers known there.
    pub servers: Vec<Announcement>,
}
