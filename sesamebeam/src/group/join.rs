//! Forming a group and asking for a place in one.

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
            MembershipReply, //
            MembershipRequest,
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
    internal_of, //
};
use crate::{
    disk::Identity,
    frames::{
        self,
        FrameError, //
    },
};

/// Pause between two rounds of questions while this process has no settled
/// place. A replacement must be back in full within seconds of its start.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// Rounds without a known leader after which a replica asks whether it is still
/// a member: elections take less.
const PATIENT_ROUNDS: u32 = 8;

/// How this process stands in the group.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Place {
    /// Whose data folder this process has.
    pub(super) identity: Option<Identity>,
    /// Whether it is a member and knows a leader.
    pub(super) settled: bool,
    /// Whether it was a member at any time.
    pub(super) had_place: bool,
    /// Where replicas listen, as far as this process was told.
    pub(super) known: Vec<SocketAddr>,
}

/// Makes up the first group, if this process belongs to it.
///
/// All processes are told the same seeds at the very first start, so each of the
/// first replicas works out the same group without asking.
pub(super) fn first_group(settings: &GroupSettings) -> Option<(Identity, Members)> {
    if !settings.bootstrap {
        return None;
    }
    let seeds = seeds_of(settings, &settings.seeds);
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

/// Asks for a place in the group whenever this process has none.
pub(super) async fn run(
    settings: GroupSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    place: watch::Receiver<Place>,
    tx: Inputs,
    halt: CancellationToken,
) {
    let mut known: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut unsettled = 0;
    let mut enquiry = LeaderDiscovery::default();
    while !halt.is_cancelled() {
        sleep(ASK_EVERY).await;
        let now = place.borrow().clone();
        if now.settled {
            unsettled = 0;
            continue;
        }
        unsettled += 1;
        known.extend(now.known.iter().copied());
        let mut asked = seeds_of(&settings, &seeds.borrow());
        asked.extend(known.iter().copied());
        asked.remove(&settings.internal_addr);
        let asked = enquiry.targets(asked);
        let question = question(&settings, &now);
        let replies = asked.iter().map(|&addr| ask(addr, question.clone()));
        let replies = futures::future::join_all(replies).await;
        for (addr, reply) in asked.into_iter().zip(replies) {
            let leads = reply.as_ref().ok().map(leads);
            enquiry.record_reply(addr, leads);
            if leads == Some(true) {
                let _ = tx.send(Input::Leader(addr));
            }
            match reply {
                Ok(reply) => take(reply, &now, unsettled, &mut known, &tx),
                Err(e) => log::debug!(error:% = e; "question about the group not answered"),
            }
        }
    }
}

/// Hands the seeds on whenever the settings name others.
pub(super) async fn follow_seeds(
    settings: GroupSettings,
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
    tx: Inputs,
    halt: CancellationToken,
) {
    loop {
        let named = seeds_of(&settings, &seeds.borrow_and_update());
        if tx.send(Input::Event(Event::Seeds(named))).is_err() {
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

/// Returns where the seeds listen for other processes.
fn seeds_of(settings: &GroupSettings, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    let addrs = seeds.iter().map(|&seed| internal_of(settings, seed));
    addrs.collect()
}

fn question(settings: &GroupSettings, place: &Place) -> MembershipRequest {
    match &place.identity {
        None => MembershipRequest::Group,
        Some(identity) => MembershipRequest::Join {
            node: identity.node,
            incarnation: identity.incarnation,
            addr: settings.internal_addr,
            domain: settings.domain.clone(),
        },
    }
}

fn leads(reply: &MembershipReply) -> bool {
    matches!(reply, MembershipReply::Group { leads: true, .. })
}

fn take(
    reply: MembershipReply,
    place: &Place,
    unsettled: u32,
    known: &mut BTreeSet<SocketAddr>,
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
    known.extend(replicas.iter().map(|(_, addr)| *addr));
    let own = place.identity.as_ref().map(|i| i.node);
    let is_member = |node: NodeId| replicas.iter().any(|(n, _)| *n == node);
    let gone = own.is_some_and(|own| !is_member(own));
    let input = match own {
        None => Input::Group(group),
        Some(_) if gone && leads && unsettled > PATIENT_ROUNDS && place.had_place => Input::Removed,
        Some(_) => Input::Learned(replicas),
    };
    let _ = tx.send(input);
}

/// Tells a process of the group; one that is down is told again later.
pub(super) async fn tell(addr: SocketAddr, told: MembershipRequest) {
    if let Err(e) = ask(addr, told).await {
        log::debug!(to:% = addr, error:% = e; "process not told of the group");
    }
}

async fn ask(addr: SocketAddr, question: MembershipRequest) -> Result<MembershipReply, FrameError> {
    let (mut tx, mut rx) = frames::connect(addr).await?;
    tx.send(&Hello::NonMember).await?;
    tx.send(&question).await?;
    rx.next().await
}
