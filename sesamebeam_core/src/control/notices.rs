//! Notices of what changed since the last one.

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

/// What was told last.
#[derive(Debug, Default)]
pub(super) struct Noticed {
    revision: Revision,
    in_force: Revision,
    live: LiveState,
}

impl ControlCore {
    pub(super) fn notice_changes(&mut self) {
        if self.noticed.revision != self.state.revision() {
            self.noticed.revision = self.state.revision();
            self.notice(ControlNotice::Accepted(self.noticed.revision));
        }
        if self.noticed.in_force != self.state.in_force() {
            self.noticed.in_force = self.state.in_force();
            self.notice(ControlNotice::InForce(self.noticed.in_force));
        }
        if self.noticed.live.at != self.state.live().at {
            let live = self.state.live().clone();
            let before = std::mem::replace(&mut self.noticed.live, live.clone());
            self.notice_live(&before, &live);
        }
    }

    fn notice_live(&mut self, before: &LiveState, after: &LiveState) {
        for version in &after.held {
            if !before.held.contains(version) {
                self.notice(ControlNotice::Held(version.clone()));
            }
        }
        for print in &after.quarantine {
            if !before.quarantine.contains(print) {
                self.notice(ControlNotice::Quarantined(*print));
            }
        }
        for view in &after.rollouts {
            let old = before.rollouts.iter().find(|r| r.version == view.version);
            if old.map(|old| old.state) != Some(view.state) {
                self.notice(ControlNotice::Rollout {
                    version: view.version.clone(),
                    state: view.state,
                });
            }
        }
    }

    pub(super) fn notice(&mut self, notice: ControlNotice) {
        self.actions.push(ControlAction::Notice(notice));
    }
}
