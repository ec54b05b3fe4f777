//! The service order of waiting requests.

use crate::{Offer, OfferId, PlacementSettings, Timestamp};

/// Factor applied to the estimated time to first byte when checking the latency objective.
const ESTIMATE_MARGIN: f64 = 1.2;
/// Fraction of a request's latency objective kept as slack when deciding whether it can be on time.
const SLACK_FRACTION: f64 = 0.2;
/// Longest wait of an over-quota request, as a fraction of its latency objective.
const OVER_QUOTA_WAIT_FRACTION: f64 = 0.1;

/// A request in the queue of a pool.
pub(crate) struct Waiting {
    pub id: OfferId,
    pub offer: Offer,
    pub queued_at: Timestamp,
    pub order: Order,
    /// Expected time for which it holds a slot, in milliseconds; 0 if no speed is known yet.
    pub slot_ms: f64,
    /// How far it is beyond its workspace's share, 0 within it; `REPEAT_MARK` if its caller repeats
    /// it before it was asked to come back.
    pub mark: u8,
    pub repeats_early: bool,
}

/// Mark of requests that wait behind all others of their workspace priority and class.
pub(crate) const REPEAT_MARK: u8 = u8::MAX;

/// Sort key of the queue; derived `PartialOrd` makes the variants strict classes.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) enum Order {
    /// Resumes a broken stream, whose caller has part of the response already.
    Resumed(f64),
    /// Can still meet its latency objective: by priority, then by time left.
    OnTime(Priority, f64),
    /// Will miss its latency objective: retries within their shares first, then by priority, then by
    /// time left.
    Late(bool, Priority, f64),
    /// Exceeds its workspace's quota.
    OverQuota(Priority, f64),
}

/// Service priority of a request; the lowest is served first.
///
/// Within a workspace priority, requests are ordered by slot time over weight, as in Smith's rule
/// (W. E. Smith, "Various optimizers for single-stage production", 1956): a route priority whose
/// requests take a tenth of the slot time is not starved by one with twice its weight. The slot
/// time is the mean of the route priority, so that its long requests wait no longer than its short
/// ones. Requests beyond their workspace's share, and those that are repeated too early, go
/// behind the others of the workspace priority.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Priority {
    pub workspace: u8,
    pub mark: u8,
    pub smith_ratio: f64,
}

impl Waiting {
    /// The sort key at `now`; `first_ms` is the pool's median time to process a prompt of this length.
    pub fn order(&self, now: Timestamp, first_ms: f64, priority: Priority) -> Order {
        let aim_left = self.offer.aim_left_ms - (now - self.queued_at);
        match () {
            _ if self.offer.resumes => Order::Resumed(aim_left),
            _ if self.offer.beyond_quota => Order::OverQuota(priority, aim_left),
            _ if self.until_late_ms(now, first_ms) > 0.0 => Order::OnTime(priority, aim_left),
            _ => Order::Late(!self.offer.returned || self.mark > 0, priority, aim_left),
        }
    }

    /// Milliseconds until it can no longer meet its latency objective.
    pub fn until_late_ms(&self, now: Timestamp, first_ms: f64) -> f64 {
        let aim_left = self.offer.aim_left_ms - (now - self.queued_at);
        aim_left - first_ms * ESTIMATE_MARGIN - self.slack_ms()
    }

    /// Whether it will miss its latency objective.
    pub fn is_late(&self) -> bool {
        matches!(self.order, Order::Late(..))
    }

    // Without slack, half of the responses served just in time would be late.
    fn slack_ms(&self) -> f64 {
        self.offer.aim_left_ms.max(0.0) * SLACK_FRACTION
    }

    /// How long the request may wait for a slot, in milliseconds.
    pub fn max_wait_ms(&self, cfg: &PlacementSettings) -> f64 {
        match self.offer.beyond_quota {
            true => self.offer.aim_left_ms.max(0.0) * OVER_QUOTA_WAIT_FRACTION,
            false => self.offer.time_left_ms * cfg.wait_share,
        }
    }
}
