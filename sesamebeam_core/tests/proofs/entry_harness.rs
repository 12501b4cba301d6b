//! Test harness for a single entry core, for failures that need a message at a
//! specific moment.

use std::time::Duration;

use sesamebeam_core::{
    entry::{
        EntryConfig, EntryCore, Faults,
        event::{
            ControlRequestId,
            EntryAction,
            EntryEvent, //
        },
    },
    fleet::Fleet,
    ids::{
        MonoTime,
        Revision, //
    },
    message::{
        control::{
            ControlReply,
            ControlRequest,
            FleetChange,
            LiveState,
            Renewed,
            Update, //
        },
        peer::PeerMessage, //
    },
};

use crate::world::files;

/// Length of the granted leases.
const LEASE: Duration = Duration::from_secs(3);

/// An entry core whose input and output are handled by the test.
pub(crate) struct EntryHarness {
    pub(crate) core: EntryCore,
    pub(crate) now: MonoTime,
    /// The pending renewal and the revision in it.
    pub(crate) renewal: Option<(ControlRequestId, Revision)>,
}

impl EntryHarness {
    /// Starts an entry, which requests its lease.
    pub(crate) fn new(faults: Faults, change: impl FnOnce(&mut EntryConfig)) -> Self {
        let mut cfg = EntryConfig::new("entry-0".into(), files::domain(0), 1);
        cfg.faults = faults;
        change(&mut cfg);
        let mut harness = Self {
            core: EntryCore::new(cfg),
            now: MonoTime::ZERO,
            renewal: None,
        };
        harness.tick(Duration::from_millis(100));
        assert_eq!(harness.renewal.map(|(_, revision)| revision), Some(0));
        harness
    }

    /// Handles an event at the current time.
    pub(crate) fn handle(&mut self, event: EntryEvent) -> Vec<EntryAction> {
        let actions = self.core.handle(self.now, 0, event);
        for action in &actions {
            if let EntryAction::SendToControl { ask, req, .. } = action
                && let ControlRequest::Renew(renew) = &**req
            {
                self.renewal = Some((*ask, renew.revision));
            }
        }
        actions
    }

    /// Advances the time and sends a tick.
    pub(crate) fn tick(&mut self, time: Duration) -> Vec<EntryAction> {
        self.now += time;
        self.handle(EntryEvent::Tick)
    }

    /// Replies to the pending renewal.
    pub(crate) fn renewed(&mut self, revision: Revision, fleet: FleetChange) {
        let (ask, _) = self.renewal.take().unwrap();
        let update = Update {
            revision,
            fleet: Some(fleet),
            live: None,
        };
        let reply = ControlReply::Renewed(Renewed {
            lease: LEASE,
            update: Some(update),
        });
        let reply = Some(reply);
        self.handle(EntryEvent::ControlReplied { ask, reply });
    }

    /// Delivers the configuration of another entry.
    pub(crate) fn receive_peer_config(&mut self, revision: Revision, fleet: Fleet) {
        let message = PeerMessage::Config {
            revision,
            fleet: full_change(fleet),
            live: LiveState::default(),
        };
        let from = "entry-3".into();
        self.handle(EntryEvent::Peer { from, message });
    }
}

/// Returns the change to a complete fleet file.
pub(crate) fn full_change(fleet: Fleet) -> FleetChange {
    FleetChange::Whole(Box::new(fleet))
}
