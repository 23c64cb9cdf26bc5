//! Divides the permits for requests in flight on an entry host between services.

/// The permits of an entry host, one per request in flight; each service is guaranteed some.
#[derive(Debug, Clone, Default)]
pub(super) struct PermitPool {
    max: u32,
    /// Permits guaranteed to each service.
    guaranteed: u32,
    in_flight: u32,
    /// Guaranteed permits that are not in use, over all services.
    unused_guaranteed: u32,
}

impl PermitPool {
    /// Returns a pool for services with `in_flight` requests each; half of `max` is guaranteed.
    pub(super) fn new(max: u32, in_flight: impl ExactSizeIterator<Item = u32>) -> Self {
        let services = u32::try_from(in_flight.len()).unwrap_or(u32::MAX).max(1);
        let guaranteed = (max / 2 / services).max(1);
        let mut pool = Self { max, guaranteed, in_flight: 0, unused_guaranteed: 0 };
        for service_in_flight in in_flight {
            pool.in_flight += service_in_flight;
            pool.unused_guaranteed += guaranteed.saturating_sub(service_in_flight);
        }
        pool
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether a service with `service_in_flight` requests may start one more.
    pub(super) fn has_permit(&self, service_in_flight: u32) -> bool {
        service_in_flight < self.guaranteed || self.in_flight + self.unused_guaranteed < self.max
    }

    /// Takes a permit for a service that had `service_in_flight` requests before.
    pub(super) fn acquire(&mut self, service_in_flight: u32) {
        self.in_flight += 1;
        self.unused_guaranteed -= u32::from(service_in_flight < self.guaranteed);
    }

    /// Gives back a permit of a service that has `service_in_flight` requests left.
    pub(super) fn release(&mut self, service_in_flight: u32) {
        self.in_flight -= 1;
        self.unused_guaranteed += u32::from(service_in_flight < self.guaranteed);
    }
}
