//! Locations of the control hosts, and the choice of the nearest one.

use ids::{DataCentreName, FastMap, HostId, Millis, RegionName, Timestamp};
use schema::sync::{KnownPlace, Place};

/// Age at which the reported place of a control host is too old to refer backend servers to it.
///
/// Control hosts send each other their place and entry hosts at least every four seconds.
const PLACE_TIMEOUT: Millis = Millis(6_000);

/// Distance between places in different regions.
const OTHER_REGION_DISTANCE: u8 = 2;

/// The place that another control host reported last.
#[derive(Debug)]
struct ReportedPlace {
    place: Place,
    received_at: Timestamp,
}

/// The place of this control host and the places that the others reported.
#[derive(Debug)]
pub(crate) struct Places {
    own_id: HostId,
    own_place: Place,
    /// The regions of all data centres.
    regions: FastMap<DataCentreName, RegionName>,
    reported: FastMap<HostId, ReportedPlace>,
}

impl Places {
    pub(crate) fn new(
        own_id: HostId,
        own_place: Place,
        regions: FastMap<DataCentreName, RegionName>,
    ) -> Self {
        Self { own_id, own_place, regions, reported: FastMap::default() }
    }

    pub(crate) fn own_place(&self) -> &Place {
        &self.own_place
    }

    /// Records the place that another control host reports.
    pub(crate) fn record(&mut self, now: Timestamp, from: HostId, place: Place) {
        self.reported.insert(from, ReportedPlace { place, received_at: now });
    }

    /// Returns the place of a control host, as last reported however long ago.
    pub(crate) fn place_of(&self, host: HostId) -> KnownPlace {
        let reported = self.reported.get(&host).map(|it| &it.place);
        let place = if host == self.own_id { Some(&self.own_place) } else { reported };
        place.map_or(KnownPlace::Unknown, |it| KnownPlace::Known(it.clone()))
    }

    /// Returns whether one of `others` is nearer to `place` than this host.
    pub(crate) fn is_another_nearer(&self, place: &Place, others: &[HostId]) -> bool {
        let reported = others.iter().filter_map(|it| self.reported.get(it));
        let nearest = reported.map(|it| distance(&it.place, place)).min();
        nearest.is_some_and(|it| it < distance(&self.own_place, place))
    }

    /// Returns the control host to which backend servers in a data centre should announce
    /// themselves: the nearest of this host and the recently heard ones of `others`.
    ///
    /// Returns `None` if all are in other regions: announcements are frequent, and traffic between
    /// regions is billed by volume.
    pub(crate) fn nearest_to(
        &self,
        now: Timestamp,
        data_centre: &DataCentreName,
        others: &[HostId],
    ) -> Option<HostId> {
        let region = self.regions.get(data_centre)?.clone();
        let place = Place { region, data_centre: data_centre.clone() };
        let others = others.iter().filter_map(|it| {
            let reported = self.reported.get(it)?;
            let is_fresh = now.since(reported.received_at) < PLACE_TIMEOUT;
            is_fresh.then(|| (distance(&reported.place, &place), *it))
        });
        let own = (distance(&self.own_place, &place), self.own_id);
        let (distance, host) = others.chain([own]).min()?;
        (distance < OTHER_REGION_DISTANCE).then_some(host)
    }
}

/// Returns 0 for the same data centre, 1 for the same region and [`OTHER_REGION_DISTANCE`] for
/// different regions.
fn distance(a: &Place, b: &Place) -> u8 {
    if a.data_centre == b.data_centre {
        return 0;
    }
    if a.region == b.region { 1 } else { OTHER_REGION_DISTANCE }
}
