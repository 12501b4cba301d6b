//! One entry's core alone, for failures that need a message at one moment.

use std::time::Duration;

use sesamebeam_core::{
    entry::{
        EntryConfig,
        EntryCore,
        Faults,
        event::{
            ControlRequestId,
            EntryAction,
            EntryEvent, //
        }, //
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

/// Length of the leases that are granted.
const LEASE: Duration = Duration::from_secs(3);

/// An entry's core whose edges are the test.
pub(crate) struct Lone {
    pub(crate) core: EntryCore,
    pub(crate) now: MonoTime,
    /// The renewal that waits for its answer, and the revision that it named.
    pub(crate) renewal: Option<(ControlRequestId, Revision)>,
}

impl Lone {
    /// Starts an entry, which asks for its lease.
    pub(crate) fn new(faults: Faults, change: impl FnOnce(&mut EntryConfig)) -> Self {
        let mut cfg = EntryConfig::new("entry-0".into(), files::domain(0), 1);
        cfg.faults = faults;
        change(&mut cfg);
        let mut lone = Self {
            core: EntryCore::new(cfg),
            now: MonoTime::ZERO,
            renewal: None,
        };
        lone.tick(Duration::from_millis(100));
        assert_eq!(lone.renewal.map(|(_, revision)| revision), Some(0));
        lone
    }

    /// Lets something happen now.
    pub(crate) fn happen(&mut self, event: EntryEvent) -> Vec<EntryAction> {
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

    /// Lets a time pass.
    pub(crate) fn tick(&mut self, time: Duration) -> Vec<EntryAction> {
        self.now += time;
        self.happen(EntryEvent::Tick)
    }

    /// Answers the renewal that waits.
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
        self.happen(EntryEvent::ControlReplied { ask, reply });
    }

    /// Lets a neighbour give its configuration.
    pub(crate) fn neighbour(&mut self, revision: Revision, fleet: Fleet) {
        let message = PeerMessage::Config {
            revision,
            fleet: whole(fleet),
            live: LiveState::default(),
        };
        let from = "entry-3".into();
        self.happen(EntryEvent::Peer { from, message });
    }
}

/// Makes the change to a whole file.
pub(crate) fn whole(fleet: Fleet) -> FleetChange {
    FleetChange::Whole(Box::new(fleet))
}
