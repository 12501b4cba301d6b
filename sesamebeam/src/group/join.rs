//! Bootstrapping of a group and joining of an existing one.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

use sesamebeam_core::{
    gateway::{
        coordinator::Event,
        leader_discovery::LeaderDiscovery,
        messages::{
            Hello,
            MembershipReply,
            MembershipRequest, //
        },
    },
    ids::NodeId,
    replica::{
        Member,
        Members, //
    },
};
use tokio::{
    sync::watch,
    time::sleep, //
};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_128, //
};

use super::{
    GroupSettings,
    Input,
    Inputs,
    internal_addr_of, //
};
use crate::{
    disk::Identity,
    frames::{
        self,
        FrameError, //
    },
};

/// Interval between rounds of membership requests while this process is not a settled
/// member. A replacement replica must be fully operational within seconds of its start.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Number of rounds without a known leader after which a replica accepts that it was
/// removed. Elections take less time.
const ROUNDS_BEFORE_REMOVAL: u32 = 8;

/// Membership of this process in the group.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct MembershipStatus {
    /// Identity in the replica directory of this process.
    pub(super) identity: Option<Identity>,
    /// Whether this process is a member and knows a leader.
    pub(super) is_settled: bool,
    /// Whether this process has been a member under its identity.
    pub(super) was_member: bool,
    /// Known internal addresses of replicas.
    pub(super) known_addrs: Vec<SocketAddr>,
}

/// Returns the initial group, if this process belongs to it.
///
/// All processes are configured with the same seeds at the very first start, so that each
/// of the initial replicas derives the same group without communication.
pub(super) fn bootstrap_group(settings: &GroupSettings) -> Option<(Identity, Members)> {
    if !settings.bootstrap {
        return None;
    }
    let seeds = internal_addrs_of(settings, &settings.seeds);
    if !seeds.contains(&settings.internal_addr) {
        return None;
    }
    let names: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let group = xxh3_128(names.join(",").as_bytes());
    let identity = |addr: &SocketAddr| Identity {
        group,
        node: xxh3_64(addr.to_string().as_bytes()),
        incarnation: xxh3_128(format!("{group:x} {addr}").as_bytes()),
    };
    let mut members = Members::default();
    for addr in &seeds {
        let Identity {
            node, incarnation, ..
        } = identity(addr);
        members
            .members
            .insert(node, Member::voter(incarnation, Some(*addr)));
    }
    Some((identity(&settings.internal_addr), members))
}

/// Sends membership requests whenever this process is not a settled member.
pub(super) async fn run(
    settings: GroupSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    status: watch::Receiver<MembershipStatus>,
    tx: Inputs,
    halt: CancellationToken,
) {
    let mut known_addrs: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut unsettled_rounds = 0;
    let mut discovery = LeaderDiscovery::default();
    while !halt.is_cancelled() {
        sleep(REQUEST_INTERVAL).await;
        let current = status.borrow().clone();
        if current.is_settled {
            unsettled_rounds = 0;
            continue;
        }
        unsettled_rounds += 1;
        known_addrs.extend(current.known_addrs.iter().copied());
        let mut targets = internal_addrs_of(&settings, &seeds.borrow());
        targets.extend(known_addrs.iter().copied());
        targets.remove(&settings.internal_addr);
        let targets = discovery.targets(targets);
        let request = membership_request(&settings, &current);
        let replies = targets
            .iter()
            .map(|&addr| request_membership(addr, request.clone()));
        let replies = futures::future::join_all(replies).await;
        for (addr, reply) in targets.into_iter().zip(replies) {
            let from_leader = reply.as_ref().ok().map(is_from_leader);
            discovery.record_reply(addr, from_leader);
            if from_leader == Some(true) {
                let _ = tx.send(Input::LeaderFound(addr));
            }
            match reply {
                Ok(reply) => handle_reply(reply, &current, unsettled_rounds, &mut known_addrs, &tx),
                Err(e) => log::debug!(error:% = e; "membership request was not answered"),
            }
        }
    }
}

/// Forwards the seeds to the coordinator, initially and whenever the settings change.
pub(super) async fn forward_seeds(
    settings: GroupSettings,
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
    tx: Inputs,
    halt: CancellationToken,
) {
    loop {
        let addrs = internal_addrs_of(&settings, &seeds.borrow_and_update());
        if tx.send(Input::Event(Event::Seeds(addrs))).is_err() {
            return;
        }
        tokio::select! {
            () = halt.cancelled() => return,
            changed = seeds.changed() => if changed.is_err() {
                return;
            }
        }
    }
}

/// Returns the internal addresses of the seeds.
fn internal_addrs_of(settings: &GroupSettings, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    let addrs = seeds.iter().map(|&seed| internal_addr_of(settings, seed));
    addrs.collect()
}

fn membership_request(settings: &GroupSettings, status: &MembershipStatus) -> MembershipRequest {
    match &status.identity {
        None => MembershipRequest::Group,
        Some(identity) => MembershipRequest::Join {
            node: identity.node,
            incarnation: identity.incarnation,
            addr: settings.internal_addr,
            domain: settings.domain.clone(),
        },
    }
}

fn is_from_leader(reply: &MembershipReply) -> bool {
    matches!(reply, MembershipReply::Group { leads: true, .. })
}

fn handle_reply(
    reply: MembershipReply,
    status: &MembershipStatus,
    unsettled_rounds: u32,
    known_addrs: &mut BTreeSet<SocketAddr>,
    tx: &Inputs,
) {
    let MembershipReply::Group {
        group,
        replicas,
        leads,
    } = reply
    else {
        return;
    };
    known_addrs.extend(replicas.iter().map(|(_, addr)| *addr));
    let own_id = status.identity.as_ref().map(|i| i.node);
    let is_member = |node: NodeId| replicas.iter().any(|(n, _)| *n == node);
    let is_removed = own_id.is_some_and(|id| !is_member(id));
    let input = match own_id {
        None => Input::GroupFound(group),
        Some(_)
            if is_removed
                && leads
                && unsettled_rounds > ROUNDS_BEFORE_REMOVAL
                && status.was_member =>
        {
            Input::Removed
        }
        Some(_) => Input::PeersLearned(replicas),
    };
    let _ = tx.send(input);
}

/// Sends a membership request to a process; if it is down, the coordinator repeats the
/// request later.
pub(super) async fn send_request(addr: SocketAddr, request: MembershipRequest) {
    if let Err(e) = request_membership(addr, request).await {
        log::debug!(to:% = addr, error:% = e; "membership request cannot be delivered");
    }
}

async fn request_membership(
    addr: SocketAddr,
    request: MembershipRequest,
) -> Result<MembershipReply, FrameError> {
    let (mut tx, mut rx) = frames::connect(addr).await?;
    tx.send(&Hello::NonMember).await?;
    tx.send(&request).await?;
    rx.next().await
}
