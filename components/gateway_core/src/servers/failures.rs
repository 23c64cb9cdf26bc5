//! Counts how many attempts of a service failed lately.
//!
//! Load pattern: many servers break at once. In calm times some servers may stay idle, so that
//! fewer of them lose a request when they break; once many requests fail, each sound server has to
//! have part in the work.

use ids::{Millis, Timestamp};
use schema::server_load::LoadEvent;

/// Time constant with which attempts are forgotten, in milliseconds.
const FORGET_TIME: Millis = Millis(1_500);

/// Share of failed attempts from which they are many: four fifths of what callers may suffer before
/// all sound servers have to have part.
const MANY_FAILED_SHARE: f64 = 0.08;

/// Number of failed attempts that are never many, as one loss says nothing of the service.
const FEW_FAILED: f64 = 1.0;

/// Ended attempts of a service, of which older ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentFailures {
    ended: f64,
    failed: f64,
    at: Timestamp,
}

impl RecentFailures {
    /// Counts an attempt that ended with this event.
    pub(super) fn record(&mut self, now: Timestamp, event: &LoadEvent) {
        let is_failed = match event {
            LoadEvent::Answered(_) => false,
            LoadEvent::ServerError
            | LoadEvent::Shed
            | LoadEvent::Lost(_)
            | LoadEvent::Overdue
            | LoadEvent::Unreachable => true,
            LoadEvent::Started
            | LoadEvent::Repeated
            | LoadEvent::Cancelled
            | LoadEvent::Leaving
            | LoadEvent::Limited(_)
            | LoadEvent::Unlimited(_) => return,
        };
        let kept = self.kept(now);
        self.ended = self.ended * kept + 1.0;
        self.failed = self.failed * kept + f64::from(u8::from(is_failed));
        self.at = now;
    }

    /// Returns whether so many attempts failed lately that each sound server should have part.
    pub(super) fn are_many(&self, now: Timestamp) -> bool {
        self.failed * self.kept(now) > FEW_FAILED + self.ended * self.kept(now) * MANY_FAILED_SHARE
    }

    fn kept(&self, now: Timestamp) -> f64 {
        (-(now.since(self.at).0 as f64) / FORGET_TIME.0 as f64).exp()
    }
}
