//! Notices about changes since the last notification.

use crate::{
    control::{
        ControlCore,
        message::{
            ControlAction,
            ControlNotice, //
        },
    },
    ids::Revision,
    message::control::LiveState,
};

/// State at the last notification.
#[derive(Debug, Default)]
pub(super) struct LastNotified {
    revision: Revision,
    in_force: Revision,
    live: LiveState,
}

impl ControlCore {
    pub(super) fn notify_changes(&mut self) {
        if self.last_notified.revision != self.state.revision() {
            self.last_notified.revision = self.state.revision();
            self.notify(ControlNotice::Accepted(self.last_notified.revision));
        }
        if self.last_notified.in_force != self.state.in_force() {
            self.last_notified.in_force = self.state.in_force();
            self.notify(ControlNotice::InForce(self.last_notified.in_force));
        }
        if self.last_notified.live.at != self.state.live().at {
            let live = self.state.live().clone();
            let before = std::mem::replace(&mut self.last_notified.live, live.clone());
            self.notify_live(&before, &live);
        }
    }

    fn notify_live(&mut self, before: &LiveState, after: &LiveState) {
        for version in &after.held {
            if !before.held.contains(version) {
                self.notify(ControlNotice::Held(version.clone()));
            }
        }
        for digest in &after.quarantine {
            if !before.quarantine.contains(digest) {
                self.notify(ControlNotice::Quarantined(*digest));
            }
        }
        for view in &after.rollouts {
            let old = before.rollouts.iter().find(|r| r.version == view.version);
            if old.map(|old| old.state) != Some(view.state) {
                self.notify(ControlNotice::Rollout {
                    version: view.version.clone(),
                    state: view.state,
                });
            }
        }
    }

    pub(super) fn notify(&mut self, notice: ControlNotice) {
        self.actions.push(ControlAction::Notice(notice));
    }
}
