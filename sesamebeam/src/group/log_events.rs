//! Log messages of a control replica.

use sesamebeam_core::gateway::coordinator::LogEvent;

/// Logs an event of the coordinator.
pub(super) fn log(event: &LogEvent) {
    match event {
        LogEvent::Role(role) => log::info!(role:? = role; "role changed"),
        LogEvent::Accepted { version, index } => {
            log::info!(version = version, index = index; "configuration accepted");
        }
        LogEvent::Rollout {
            service,
            target,
            phase,
            counts,
            recent,
        } => log::info!(
            service:% = service, target:% = target, phase:? = phase,
            new_good = counts.new_good, new_bad = counts.new_bad,
            old_good = counts.old_good, old_bad = counts.old_bad,
            new_durations:? = counts.new_durations, old_durations:? = counts.old_durations,
            recent_new_good = recent.new_good, recent_new_bad = recent.new_bad,
            recent_old_good = recent.old_good, recent_old_bad = recent.old_bad;
            "roll-out moves"
        ),
        LogEvent::Evacuation {
            domain,
            evacuated,
            index,
            servers,
        } => log::info!(
            domain:% = domain, evacuated = evacuated, index = index, servers = servers;
            "evacuation"
        ),
        LogEvent::Server {
            id,
            service,
            started_at: born,
            state,
            sequence,
        } => log::info!(
            server:% = id, born = born, service:% = service, state:? = state, sequence = sequence;
            "backend server announced"
        ),
        LogEvent::Membership {
            joins,
            leaves,
            domains,
        } => {
            log::info!(
                joins:? = joins, leaves:? = leaves, domains:? = domains;
                "membership changes"
            );
        }
        LogEvent::FaultTolerance { spare, replicas } => {
            log::info!(
                spare = spare, replicas:? = replicas;
                "fault tolerance of the control group"
            );
        }
        LogEvent::Doubts(doubts) => log::info!(doubts:? = doubts; "backend servers doubted"),
        LogEvent::FatalParts(fatal) => {
            log::warn!(fatal:? = fatal; "prompt parts that crash backend servers")
        }
        LogEvent::FatalPartsProbed(parts) => {
            log::info!(parts:? = parts; "one request with fatal prompt parts allowed")
        }
        LogEvent::Limits(limits) => log::info!(limits:? = limits; "backend servers limited"),
        LogEvent::Leases {
            services,
            leases,
            holders,
        } => {
            let services: Vec<_> = services
                .iter()
                .map(|s| (&s.service, s.max_rejections, s.sound.len()))
                .collect();
            log::info!(
                services:? = services, leases = leases, holders = holders;
                "backend servers leased"
            );
        }
        LogEvent::Shares(shares) => log::info!(shares:? = shares; "services short of capacity"),
        LogEvent::DiskStalled(true) => log::warn!("disk stalls"),
        LogEvent::DiskStalled(false) => log::info!("disk answers again"),
        LogEvent::Unreadable(index) => {
            log::error!(index = index; "log entry cannot be read");
        }
    }
}
