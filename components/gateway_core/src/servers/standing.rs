//! How likely a backend server is to lose the next request.
//!
//! Load pattern: now and then a server breaks most of its connections for a few seconds while its
//! health page is fine, any server at any time. A request that must not repeat is lost with its
//! connection, so that requests should go where others were answered a moment ago, leave a server
//! at its first broken connection, and come back when it has had time to recover.
//!
//! A server is taken to be in one of two states, sound or broken, that change at random. What is
//! kept is the chance that it is broken: outcomes move it by Bayes' rule, time moves it back to
//! the share of servers that are broken at any time, which is learned.

use ids::{Millis, Timestamp};

/// Time in which knowledge of a server's state fades to a share of 1/e, in milliseconds: outbreaks
/// last about this long.
const MEMORY: Millis = Millis(4_000);

/// The chance that a broken server loses a request.
const LOSS_WHEN_BROKEN: f64 = 0.85;

/// The chance that a sound server loses a request.
const LOSS_WHEN_SOUND: f64 = 0.003;

/// Chance of being broken from which a server counts as avoided, for logs.
const AVOIDED_FROM: f64 = 0.5;

/// How long a server that could not be connected to is avoided, in milliseconds; doubled for each
/// further failure in a row.
const UNREACHABLE_AVOIDANCE: Millis = Millis(500);

/// Doublings of [`UNREACHABLE_AVOIDANCE`] at most.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 4;

/// How long a full server gets nothing more, in milliseconds: about the time in which one of its
/// slots comes free.
const FULL_PAUSE: Millis = Millis(100);

/// Share of a new outcome in the moving share of server errors.
const ERROR_GAIN: f64 = 0.2;

/// Time in which the moving share of server errors halves without news, in milliseconds.
const ERROR_HALF_LIFE: Millis = Millis(6_000);

/// Share of servers that are taken to be broken before anything was learned.
const FIRST_BROKEN_SHARE: f64 = 0.1;

/// Share of a new outcome in the learned share of broken servers.
const BROKEN_SHARE_GAIN: f64 = 0.03;

/// Bounds of the learned share of broken servers.
const BROKEN_SHARE_BOUNDS: (f64, f64) = (0.005, 0.5);

/// Time without news of a server after which its next outcome tells of the share of broken
/// servers, in milliseconds.
const UNSEEN_AFTER: Millis = Millis(8_000);

/// How common broken servers are in a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrokenShare(f64);

impl Default for BrokenShare {
    fn default() -> Self {
        Self(FIRST_BROKEN_SHARE)
    }
}

impl BrokenShare {
    /// Learns from a request to a server of which nothing was heard for a while.
    fn learn(&mut self, is_lost: bool) {
        let broken = if is_lost { 1.0 / LOSS_WHEN_BROKEN } else { 0.0 };
        let (least, most) = BROKEN_SHARE_BOUNDS;
        self.0 = (self.0 + (broken - self.0) * BROKEN_SHARE_GAIN).clamp(least, most);
    }
}

/// What the outcomes of its requests say of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Standing {
    /// The chance of being broken after the last outcome, and when that was.
    broken: Option<(f64, Timestamp)>,
    /// Connections that failed in a row.
    unreachable: u32,
    unreachable_until: Timestamp,
    full_until: Timestamp,
    errors: f64,
    errors_at: Timestamp,
}

impl Standing {
    /// Notes a request without a whole answer; says whether the server is avoided only now.
    pub fn note_lost(&mut self, now: Timestamp, share: &mut BrokenShare) -> bool {
        let before = self.broken(now, *share);
        self.note_outcome(now, share, true);
        before < AVOIDED_FROM && self.broken(now, *share) >= AVOIDED_FROM
    }

    /// Notes a whole answer.
    pub fn note_answered(&mut self, now: Timestamp, share: &mut BrokenShare) {
        self.unreachable = 0;
        self.unreachable_until = Timestamp::default();
        self.move_errors(now, 0.0);
        self.note_outcome(now, share, false);
    }

    /// Notes an answer that says that the server failed.
    pub fn note_server_error(&mut self, now: Timestamp) {
        self.unreachable = 0;
        self.move_errors(now, 1.0);
    }

    /// Notes that no connection could be made.
    pub fn note_unreachable(&mut self, now: Timestamp) {
        let doublings = self.unreachable.min(MAX_UNREACHABLE_DOUBLINGS);
        self.unreachable += 1;
        self.unreachable_until = now + Millis(UNREACHABLE_AVOIDANCE.0 << doublings);
    }

    /// Notes that the server was full.
    pub fn note_shed(&mut self, now: Timestamp) {
        self.full_until = now + FULL_PAUSE;
    }

    /// Whether the server said a moment ago that it is full.
    pub fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }

    /// Whether connections to the server have just failed.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// The chance that the next request gets no good answer, from 0 to 1.
    pub fn risk(&self, now: Timestamp, share: BrokenShare) -> f64 {
        let lost = self.broken(now, share) * LOSS_WHEN_BROKEN;
        lost.max(self.error_share(now))
    }

    /// The chance that the server is broken.
    pub fn broken(&self, now: Timestamp, share: BrokenShare) -> f64 {
        let Some((broken, at)) = self.broken else { return share.0 };
        let elapsed = now.since(at).0 as f64;
        share.0 + (broken - share.0) * (-elapsed / MEMORY.0 as f64).exp()
    }

    /// The share of answers that say that the server failed.
    fn error_share(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.errors_at).0 as f64;
        self.errors * (-elapsed / ERROR_HALF_LIFE.0 as f64).exp2()
    }

    fn note_outcome(&mut self, now: Timestamp, share: &mut BrokenShare, is_lost: bool) {
        let is_unseen = self.broken.is_none_or(|(_, at)| now.since(at) >= UNSEEN_AFTER);
        let broken = self.broken(now, *share);
        if is_unseen {
            share.learn(is_lost);
        }
        let chance = |loss: f64| if is_lost { loss } else { 1.0 - loss };
        let if_broken = broken * chance(LOSS_WHEN_BROKEN);
        let if_sound = (1.0 - broken) * chance(LOSS_WHEN_SOUND);
        self.broken = Some((if_broken / (if_broken + if_sound), now));
    }

    fn move_errors(&mut self, now: Timestamp, outcome: f64) {
        let share = self.error_share(now);
        self.errors = share + (outcome - share) * ERROR_GAIN;
        self.errors_at = now;
    }
}
