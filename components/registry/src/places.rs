//! Where the control hosts are, and which of them is near.

use ids::{DataCentreName, FastMap, HostId, Millis, RegionName, Timestamp};
use schema::sync::{KnownPlace, Place};

/// Silence after which another control host is no longer named to backend servers, in
/// milliseconds: control hosts tell each other of their entry hosts every four seconds at least.
const PLACE_TIMEOUT: Millis = Millis(6_000);

/// The distance of places in different regions.
const FAR: u8 = 2;

/// Where another control host said that it is, and when.
#[derive(Debug)]
struct HeardPlace {
    place: Place,
    heard_at: Timestamp,
}

/// Where this control host is, and where the others are as they last said.
#[derive(Debug)]
pub(crate) struct Places {
    own: HostId,
    own_place: Place,
    /// The regions of all data centres.
    regions: FastMap<DataCentreName, RegionName>,
    heard: FastMap<HostId, HeardPlace>,
}

impl Places {
    pub(crate) fn new(
        own: HostId,
        own_place: Place,
        regions: FastMap<DataCentreName, RegionName>,
    ) -> Self {
        Self { own, own_place, regions, heard: FastMap::default() }
    }

    pub(crate) fn own_place(&self) -> &Place {
        &self.own_place
    }

    /// Notes where another control host says that it is.
    pub(crate) fn note(&mut self, now: Timestamp, from: HostId, place: Place) {
        self.heard.insert(from, HeardPlace { place, heard_at: now });
    }

    pub(crate) fn of(&self, host: HostId) -> KnownPlace {
        let heard = self.heard.get(&host).map(|it| &it.place);
        let place = if host == self.own { Some(&self.own_place) } else { heard };
        place.map_or(KnownPlace::Unknown, |it| KnownPlace::Known(it.clone()))
    }

    /// Whether one of `others` is nearer to `place` than this host.
    pub(crate) fn is_another_nearer(&self, place: &Place, others: &[HostId]) -> bool {
        let heard = others.iter().filter_map(|it| self.heard.get(it));
        let nearest = heard.map(|it| distance(&it.place, place)).min();
        nearest.is_some_and(|it| it < distance(&self.own_place, place))
    }

    /// A control host in the same data centre or region that was heard lately, this host or one of
    /// `others`, to which a backend server should announce itself: announcements are frequent, and
    /// far ones are paid by volume.
    pub(crate) fn nearest_to(
        &self,
        now: Timestamp,
        data_centre: &DataCentreName,
        others: &[HostId],
    ) -> Option<HostId> {
        let region = self.regions.get(data_centre)?.clone();
        let place = Place { region, data_centre: data_centre.clone() };
        let others = others.iter().filter_map(|it| {
            let heard = self.heard.get(it)?;
            let is_fresh = now.since(heard.heard_at) < PLACE_TIMEOUT;
            is_fresh.then(|| (distance(&heard.place, &place), *it))
        });
        let own = (distance(&self.own_place, &place), self.own);
        let (distance, host) = others.chain([own]).min()?;
        (distance < FAR).then_some(host)
    }
}

/// 0 in the same data centre, 1 in the same region, [`FAR`] elsewhere.
fn distance(a: &Place, b: &Place) -> u8 {
    if a.data_centre == b.data_centre {
        return 0;
    }
    if a.region == b.region { 1 } else { FAR }
}
