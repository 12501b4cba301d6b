//! Virtual times of start-time fair queueing.
//!
//! Each organisation has a virtual time that grows by the work done for it, and never
//! starts work behind the virtual clock. The clock follows the least virtual time of the
//! organisations that ask for work, so that an organisation that was idle does not
//! accumulate credit.

use indexmap::IndexMap;

use crate::ids::OrgId;

/// Virtual times of the organisations that share one resource, and their clock.
#[derive(Clone, Debug, Default)]
pub struct VirtualTimes {
    /// Virtual time up to which each organisation has been served.
    times: IndexMap<OrgId, f64>,
    clock: f64,
}

impl VirtualTimes {
    /// Returns the virtual clock, which never runs backwards.
    pub fn clock(&self) -> f64 {
        self.clock
    }

    /// Returns the virtual time at which the next work of an organisation starts.
    pub fn start_time(&self, org: &str) -> f64 {
        let time = self.times.get(org).copied();
        time.unwrap_or(self.clock).max(self.clock)
    }

    /// Charges work to an organisation.
    pub fn charge(&mut self, org: &OrgId, work: f64) {
        let start = self.start_time(org);
        self.times.insert(org.clone(), start + work);
    }

    /// Corrects earlier charges of an organisation by a difference.
    pub fn correct(&mut self, org: &str, difference: f64) {
        if let Some(time) = self.times.get_mut(org) {
            *time += difference;
        }
    }

    /// Advances the clock to the least virtual time of the organisations that ask for
    /// work.
    pub fn advance<'a>(&mut self, asking: impl Iterator<Item = &'a OrgId>) {
        let time = |org: &OrgId| self.times.get(org).copied().unwrap_or(self.clock);
        let least = asking.map(time).min_by(f64::total_cmp);
        self.clock = self.clock.max(least.unwrap_or(self.clock));
    }

    /// Reduces by how much each organisation is ahead of the clock to a share of it.
    pub fn reduce_leads(&mut self, share: f64) {
        for time in self.times.values_mut().filter(|time| **time > self.clock) {
            *time = self.clock + (*time - self.clock) * share;
        }
    }

    /// Removes organisations.
    pub fn retain(&mut self, is_known: impl Fn(&OrgId) -> bool) {
        self.times.retain(|org, _| is_known(org));
    }

    /// Returns the number of organisations with a virtual time.
    pub fn count(&self) -> usize {
        self.times.len()
    }
}
