//! Waiting for a slot of a leased backend server.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam_core::gateway::{
    router::{
        ChooseError,
        Elsewhere,
        Plan, //
    },
    server_leases::QueueTicket,
};
use tokio::time::timeout_at;

use super::{
    Gateway,
    dispatch::Dispatch,
    in_flight::InFlightSend, //
};

/// Interval at which waiting requests check whether a slot has become free without a
/// request that ended, as when a lease is granted.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Place of a request in the queue, which it leaves when this is dropped.
struct QueuedRequest {
    gateway: Arc<Gateway>,
    plan: Arc<Plan>,
    ticket: QueueTicket,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.gateway
            .router()
            .leave_slot_queue(&self.plan, self.ticket);
        // The next one may have its turn now.
        self.gateway.slot_freed.notify_waiters();
    }
}

impl Dispatch {
    /// Chooses a backend server after the requests that wait for slots.
    ///
    /// # Errors
    ///
    /// Fails like [`Dispatch::choose`], and with [`ChooseError::NoFreeSlot`] if there are
    /// such requests.
    pub(super) async fn choose_in_turn(&self) -> Result<InFlightSend, ChooseError> {
        if self.gateway.router().has_slot_queue(&self.plan) {
            return Err(ChooseError::NoFreeSlot);
        }
        self.choose_or_wait().await
    }

    /// Waits for a slot, unless that is expected to take too long.
    ///
    /// # Errors
    ///
    /// Fails with [`ChooseError::NoFreeSlot`] if it takes too long, and like
    /// [`Dispatch::choose`].
    pub(super) async fn wait_for_slot(
        &self,
        elsewhere: Elsewhere,
    ) -> Result<InFlightSend, ChooseError> {
        let now = self.gateway.now();
        let joined = self
            .gateway
            .router()
            .join_slot_queue(now, &self.plan, elsewhere);
        let Some((ticket, max_wait)) = joined else {
            return Err(ChooseError::NoFreeSlot);
        };
        let queued = QueuedRequest {
            gateway: Arc::clone(&self.gateway),
            plan: Arc::clone(&self.plan),
            ticket,
        };
        let give_up_at = Instant::now() + max_wait;
        loop {
            let freed = self.gateway.slot_freed.notified();
            let chosen = self.choose_if_turn(&queued);
            if !matches!(chosen, Err(ChooseError::NoFreeSlot)) || Instant::now() >= give_up_at {
                return chosen;
            }
            let check_at = give_up_at.min(Instant::now() + CHECK_INTERVAL);
            // After either, it is checked whether the wait is over.
            let _ = timeout_at(check_at.into(), freed).await;
        }
    }

    fn choose_if_turn(&self, queued: &QueuedRequest) -> Result<InFlightSend, ChooseError> {
        let now = self.gateway.now();
        let is_turn = self
            .gateway
            .router()
            .is_turn(now, &self.plan, queued.ticket);
        match is_turn {
            true => self.choose(),
            false => Err(ChooseError::NoFreeSlot),
        }
    }
}
