//! Quarantine of requests that crash the backend servers that run them.
//!
//! Load pattern: a caller keeps sending the same request to any gateway, each run takes down a server
//! for seconds, and retries would spread the crash over the service. Load pattern: servers lose answers
//! or crash by themselves while they run requests that many callers send, which must stay served.
//!
//! A loss becomes a crash when the start of the server that lost the request is known to have ended.
//! Three crashes without an answer in between put a request into quarantine.

mod knowledge;
mod losses;
mod objections;
mod outbox;
mod quarantine;
mod recent_answers;
mod recorder;
mod records;
mod schedule;
mod trial_grants;
mod trials;

pub use crate::{
    knowledge::ASKED_CONTROL_HOSTS,
    losses::Observer,
    outbox::{Audience, Outgoing},
    quarantine::{Admission, Candidate, Probe, ProbeOutcome, Quarantine, QuarantineEvent},
    recorder::Recorder,
    records::{CRASH_THRESHOLD, Change, Crashes, Records},
};
