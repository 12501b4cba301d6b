//! A load report that lags.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use sesamebeam_core::message::server::Load;
use tokio::time::Instant;

/// Shortest time between two figures that are kept.
const RESOLUTION: Duration = Duration::from_millis(5);

/// Loads of the last while.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// Begins with an idle runner.
    pub(crate) fn new(lag: Duration) -> Self {
        let samples = VecDeque::from([(Instant::now(), Load::default())]);
        Self { lag, samples }
    }

    /// Keeps a figure.
    pub(crate) fn push(&mut self, now: Instant, load: Load) {
        let held = self.samples.len();
        // The only sample is what is reported now: it stays as it is.
        if let Some((at, last)) = self.samples.back_mut()
            && held > 1
            && now < *at + RESOLUTION
        {
            *last = load;
            return;
        }
        self.samples.push_back((now, load));
        self.prune(now);
    }

    /// Gives the figures as they were a lag ago.
    pub(crate) fn report(&mut self, now: Instant) -> Load {
        self.prune(now);
        let (_, load) = self.samples.front().expect("one sample is always kept");
        Load {
            age_ms: u32::try_from(self.lag.as_millis()).unwrap_or(u32::MAX),
            ..*load
        }
    }

    /// Drops what is older than the newest figure that is a lag old.
    fn prune(&mut self, now: Instant) {
        while let Some((next, _)) = self.samples.get(1)
            && *next + self.lag <= now
        {
            self.samples.pop_front();
        }
    }
}
