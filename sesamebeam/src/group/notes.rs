//! Log lines of a control replica.

use sesamebeam_core::gateway::coordinator::Note;

/// Writes a line for what the coordinator decided or learned.
pub(super) fn log(note: &Note) {
    match note {
        Note::Role(role) => log::info!(role:? = role; "role changed"),
        Note::Accepted { version, index } => {
            log::info!(version = version, index = index; "configuration accepted");
        }
        Note::Rollout {
            service,
            target,
            phase,
            counts: (good, bad, old_good, old_bad),
        } => log::info!(
            service:% = service, target:% = target, phase:? = phase,
            new_good = good, new_bad = bad, old_good = old_good, old_bad = old_bad;
            "roll-out moves"
        ),
        Note::Evacuation {
            domain,
            evacuated,
            index,
            servers,
        } => log::info!(
            domain:% = domain, evacuated = evacuated, index = index, servers = servers;
            "evacuation"
        ),
        Note::Server {
            id,
            service,
            born,
            state,
            sequence,
        } => log::info!(
            server:% = id, born = born, service:% = service, state:? = state, sequence = sequence;
            "backend server announced"
        ),
        Note::Membership {
            joins,
            leaves,
            domains,
        } => {
            log::info!(
                joins:? = joins, leaves:? = leaves, domains:? = domains;
                "membership changes"
            );
        }
        Note::Doubts(doubts) => log::info!(doubts:? = doubts; "backend servers doubted"),
        Note::Limits(limits) => log::info!(limits:? = limits; "backend servers limited"),
        Note::Shares(shares) => log::info!(shares:? = shares; "services short of capacity"),
        Note::DiskStalled(true) => log::warn!("disk stalls"),
        Note::DiskStalled(false) => log::info!("disk answers again"),
        Note::Unreadable(index) => {
            log::error!(index = index; "log entry cannot be read");
        }
    }
}
