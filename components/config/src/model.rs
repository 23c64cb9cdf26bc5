//! A checked configuration with indexes for look-ups.

use ids::{
    ConfigVersion, ContentDigest, DataCentreName, FastMap, OrganisationName, RegionName,
    ServiceName,
};
use schema::config_text::{ConfigText, OrganisationLimit, Service};

/// A checked configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    text: ConfigText,
    digest: ContentDigest,
    /// Positions of the services in `text.services`.
    services: FastMap<ServiceName, usize>,
    /// Limits of the organisations that don't have the default limit.
    limits: FastMap<OrganisationName, OrganisationLimit>,
    /// The region of each data centre.
    regions: FastMap<DataCentreName, RegionName>,
}

impl Config {
    pub(crate) fn new(text: ConfigText) -> Self {
        let digest = ContentDigest::of(&schema::encode(&text));
        let services =
            text.services.iter().enumerate().map(|(i, it)| (it.name.clone(), i)).collect();
        let limits =
            text.organisations.iter().map(|it| (it.name.clone(), it.limit.clone())).collect();
        let regions = text
            .regions
            .iter()
            .flat_map(|it| it.data_centres.iter().map(|dc| (dc.clone(), it.name.clone())))
            .collect();
        Self { text, digest, services, limits, regions }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.text.version
    }

    /// Returns the digest of the encoded configuration, which ignores the layout of its text.
    pub fn digest(&self) -> ContentDigest {
        self.digest
    }

    /// Returns the decoded text.
    pub fn text(&self) -> &ConfigText {
        &self.text
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(|&i| &self.text.services[i])
    }

    /// Returns the limit of an organisation, which is the default limit if it has none of its own.
    pub fn limit(&self, organisation: &OrganisationName) -> &OrganisationLimit {
        self.limits.get(organisation).unwrap_or(&self.text.default_organisation)
    }

    /// Returns the region of a data centre.
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        self.regions.get(data_centre)
    }
}
