//! A validated configuration with indexes for lookups.

use ids::{
    ConfigVersion, ContentDigest, DataCentreName, FastMap, OrganisationName, RegionName,
    ServiceName,
};
use schema::config_text::{ConfigText, OrganisationLimit, Service};

/// A validated configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    text: ConfigText,
    digest: ContentDigest,
    service_indexes: FastMap<ServiceName, usize>,
    organisation_limits: FastMap<OrganisationName, OrganisationLimit>,
    regions: FastMap<DataCentreName, RegionName>,
}

impl Config {
    pub(crate) fn new(text: ConfigText) -> Self {
        let digest = ContentDigest::of(&schema::encode(&text));
        let service_indexes =
            text.services.iter().enumerate().map(|(i, it)| (it.name.clone(), i)).collect();
        let organisation_limits =
            text.organisations.iter().map(|it| (it.name.clone(), it.limit.clone())).collect();
        let regions = text
            .regions
            .iter()
            .flat_map(|it| it.data_centres.iter().map(|dc| (dc.clone(), it.name.clone())))
            .collect();
        Self { text, digest, service_indexes, organisation_limits, regions }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.text.version
    }

    /// Returns the digest of the encoded contents, which doesn't depend on the layout of the text.
    pub fn digest(&self) -> ContentDigest {
        self.digest
    }

    /// Returns the contents of the configuration text.
    pub fn text(&self) -> &ConfigText {
        &self.text
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.service_indexes.get(name).map(|&i| &self.text.services[i])
    }

    /// Returns the limit of an organisation, or the default limit if it has none of its own.
    pub fn limit(&self, organisation: &OrganisationName) -> &OrganisationLimit {
        self.organisation_limits.get(organisation).unwrap_or(&self.text.default_organisation)
    }

    /// Returns the region that a data centre belongs to.
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        self.regions.get(data_centre)
    }
}
