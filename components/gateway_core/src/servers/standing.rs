//! How likely a backend server is to lose the next request.
//!
//! Load pattern: at any time some servers break most of their connections for a few seconds while
//! their health page is fine, and the same servers relapse. A request that must not repeat is lost
//! with its connection, so that one lost answer is enough to turn to other servers, for longer
//! after each relapse. The risk only weighs against other costs: with no better server left, an
//! avoided one is used.

use ids::{Millis, Timestamp};

/// How long a server is avoided after its first outbreak, in milliseconds.
const FIRST_AVOIDANCE: Millis = Millis(4_000);

/// Doublings of [`FIRST_AVOIDANCE`] at most.
const MAX_DOUBLINGS: u32 = 3;

/// Calm time after which one relapse is forgotten, in milliseconds.
const RELAPSE_MEMORY: Millis = Millis(60_000);

/// Time after which an avoided server's remaining risk has halved, in milliseconds.
const RISK_HALF_LIFE: Millis = Millis(4_000);

/// How long a server that could not be connected to is avoided, in milliseconds; doubled for each
/// further failure in a row.
const UNREACHABLE_AVOIDANCE: Millis = Millis(500);

/// Doublings of [`UNREACHABLE_AVOIDANCE`] at most.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 4;

/// How long a full server gets nothing more, in milliseconds: about the time in which one of its
/// slots comes free.
const FULL_PAUSE: Millis = Millis(100);

/// Risk during an outbreak.
const OUTBREAK_RISK: f64 = 0.7;

/// Risk when the avoidance ends, before it halves.
const RETURN_RISK: f64 = 0.25;

/// Whole answers that show that an outbreak is over.
const ANSWERS_TO_CLEAR: u32 = 2;

/// Share of a new outcome in the moving share of server errors.
const ERROR_GAIN: f64 = 0.2;

/// Time in which the moving share of server errors halves without news, in milliseconds.
const ERROR_HALF_LIFE: Millis = Millis(6_000);

/// What the outcomes of its requests say of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Standing {
    outbreak: Option<Outbreak>,
    /// Connections that failed in a row.
    unreachable: u32,
    unreachable_until: Timestamp,
    full_until: Timestamp,
    errors: f64,
    errors_at: Timestamp,
}

/// A time in which a server loses requests.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Outbreak {
    relapses: u32,
    until: Timestamp,
    answers_since: u32,
}

impl Standing {
    /// Notes a request without a whole answer; returns for how long the server is now avoided if
    /// an outbreak begins.
    pub fn note_lost(&mut self, now: Timestamp) -> Option<(Millis, u32)> {
        let relapses = match self.outbreak {
            // Requests that were in flight when it began belong to the same outbreak.
            Some(it) if now < it.until => return None,
            Some(it) => {
                let forgotten = now.since(it.until).0 / RELAPSE_MEMORY.0;
                let left = u64::from(it.relapses + 1).saturating_sub(forgotten);
                u32::try_from(left).unwrap_or(MAX_DOUBLINGS).min(MAX_DOUBLINGS)
            }
            None => 0,
        };
        let avoided_for = Millis(FIRST_AVOIDANCE.0 << relapses);
        self.outbreak = Some(Outbreak { relapses, until: now + avoided_for, answers_since: 0 });
        Some((avoided_for, relapses))
    }

    /// Notes a whole answer.
    pub fn note_answered(&mut self, now: Timestamp) {
        self.unreachable = 0;
        self.unreachable_until = Timestamp::default();
        self.move_errors(now, 0.0);
        if let Some(outbreak) = &mut self.outbreak
            && now >= outbreak.until
        {
            outbreak.answers_since += 1;
        }
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
    pub fn risk(&self, now: Timestamp) -> f64 {
        self.outbreak_risk(now).max(self.error_share(now))
    }

    /// The share of answers that say that the server failed.
    fn error_share(&self, now: Timestamp) -> f64 {
        self.errors * halved(now.since(self.errors_at), ERROR_HALF_LIFE)
    }

    fn outbreak_risk(&self, now: Timestamp) -> f64 {
        let Some(outbreak) = &self.outbreak else { return 0.0 };
        if now < outbreak.until {
            return OUTBREAK_RISK;
        }
        if outbreak.answers_since >= ANSWERS_TO_CLEAR {
            return 0.0;
        }
        RETURN_RISK * halved(now.since(outbreak.until), RISK_HALF_LIFE)
    }

    fn move_errors(&mut self, now: Timestamp, outcome: f64) {
        let share = self.error_share(now);
        self.errors = share + (outcome - share) * ERROR_GAIN;
        self.errors_at = now;
    }
}

/// What is left of 1 when it halves every `half_life`.
fn halved(elapsed: Millis, half_life: Millis) -> f64 {
    (-(elapsed.0 as f64) / half_life.0 as f64).exp2()
}
