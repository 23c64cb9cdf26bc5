//! Chooses the gateways through which requests go while this one's paths are down.
//!
//! A request takes one hop: a gateway that gets it from another one sends it to a server or refuses it.
//! Which gateways can help is learned from their refusals, since they know it best. Near gateways are
//! asked first, and at random, so that the callers of a whole data centre spread over the others.
//!
//! What a gateway bears for others is bounded, so that helping doesn't bring it down.

use ids::{FastMap, HostId, Millis, ServiceName, Timestamp};

/// Maximum number of requests of other gateways in work.
const MAX_RELAYED: usize = 24;

/// Time for which a gateway that could not help is not asked.
const UNABLE_BACKOFF: Millis = Millis(1_500);

/// Number of refusals in a row after which others are as unable to serve a service as this gateway.
const MAX_REFUSALS: u32 = 2;

/// Time for which requests of a service that others refuse are not passed on while the paths are up.
const USELESS_BACKOFF: Millis = Millis(2_000);

/// How a request that was passed on to another gateway ended there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayEnd {
    /// A server's response.
    Answered,
    /// A server's error response.
    ServerError,
    /// The gateway refused it without running it, as it would refuse its own callers.
    Refused(Option<Millis>),
    /// The gateway can't help, and has not run it.
    Unable,
    /// No connection to the gateway could be opened.
    Unreachable,
    /// No usable response arrived; the request may have run.
    Lost,
}

impl RelayEnd {
    /// Returns a short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::ServerError => "server-error",
            Self::Refused(_) => "refused",
            Self::Unable => "unable",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
        }
    }
}

/// What is known of the other gateways as relays.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    unable_until: FastMap<HostId, Timestamp>,
    /// Refusals in a row by service, and until when nothing is passed on.
    refusals: FastMap<ServiceName, (u32, Timestamp)>,
    /// Requests of other gateways in work.
    relayed: usize,
}

impl Relays {
    /// Chooses a gateway for a request; `candidates` are other gateways with their distances, and
    /// `random` returns random numbers.
    pub(crate) fn choose(
        &self,
        now: Timestamp,
        candidates: impl Iterator<Item = (u8, HostId)>,
        tried: &[HostId],
        mut random: impl FnMut() -> u64,
    ) -> Option<HostId> {
        let is_able = |host: &HostId| self.unable_until.get(host).is_none_or(|it| now >= *it);
        candidates
            .filter(|(_, host)| !tried.contains(host) && is_able(host))
            .min_by_key(|(distance, _)| (*distance, random()))
            .map(|(_, host)| host)
    }

    /// Returns whether others may serve a service that this gateway doesn't reach.
    pub(crate) fn may_help(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.refusals.get(service).is_none_or(|(_, until)| now >= *until)
    }

    /// Records how a request ended at another gateway.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        host: HostId,
        service: &ServiceName,
        end: RelayEnd,
    ) {
        match end {
            RelayEnd::Answered | RelayEnd::ServerError => {
                self.unable_until.remove(&host);
                self.refusals.remove(service);
            }
            RelayEnd::Refused(_) => {
                let (refusals, until) = self.refusals.entry(service.clone()).or_default();
                *refusals += 1;
                if *refusals >= MAX_REFUSALS {
                    (*refusals, *until) = (0, now + USELESS_BACKOFF);
                }
            }
            RelayEnd::Unable | RelayEnd::Unreachable | RelayEnd::Lost => {
                self.unable_until.insert(host, now + UNABLE_BACKOFF);
            }
        }
    }

    /// Forgets the gateways that are no longer listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(HostId) -> bool) {
        self.unable_until.retain(|host, _| is_listed(*host));
    }

    /// Accepts a request of another gateway, or returns false if there are too many.
    pub(crate) fn accept(&mut self) -> bool {
        let is_accepted = self.relayed < MAX_RELAYED;
        self.relayed += usize::from(is_accepted);
        is_accepted
    }

    /// Records the end of an accepted request of another gateway.
    pub(crate) fn end_accepted(&mut self) {
        self.relayed = self.relayed.saturating_sub(1);
    }
}
