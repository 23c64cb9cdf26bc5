//! Divides the places of an entry host between services.

/// The requests that an entry host may have in flight; each service is guaranteed some.
#[derive(Debug, Clone, Default)]
pub(super) struct Places {
    max: u32,
    guaranteed: u32,
    in_flight: u32,
    /// Guaranteed places that are free.
    owed: u32,
}

impl Places {
    /// Places for services that have `in_flight` requests now; half of all are guaranteed.
    pub(super) fn new(max: u32, in_flight: impl ExactSizeIterator<Item = u32>) -> Self {
        let services = u32::try_from(in_flight.len()).unwrap_or(u32::MAX).max(1);
        let guaranteed = (max / 2 / services).max(1);
        let mut places = Self { max, guaranteed, in_flight: 0, owed: 0 };
        for used in in_flight {
            places.in_flight += used;
            places.owed += guaranteed.saturating_sub(used);
        }
        places
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether a service with `used` requests in flight may start one more.
    pub(super) fn has_place(&self, used: u32) -> bool {
        used < self.guaranteed || self.in_flight + self.owed < self.max
    }

    /// Notes that a service with `used` requests in flight starts one more.
    pub(super) fn take(&mut self, used: u32) {
        self.in_flight += 1;
        self.owed -= u32::from(used < self.guaranteed);
    }

    /// Notes that a service ends one and has `used` requests in flight now.
    pub(super) fn give_back(&mut self, used: u32) {
        self.in_flight -= 1;
        self.owed += u32::from(used < self.guaranteed);
    }
}
