//! A checked configuration, indexed for use.

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
    services: FastMap<ServiceName, usize>,
    organisations: FastMap<OrganisationName, OrganisationLimit>,
    regions: FastMap<DataCentreName, RegionName>,
}

impl Config {
    pub(crate) fn new(text: ConfigText) -> Self {
        let digest = ContentDigest::of(&schema::encode(&text));
        let services =
            text.services.iter().enumerate().map(|(i, it)| (it.name.clone(), i)).collect();
        let organisations =
            text.organisations.iter().map(|it| (it.name.clone(), it.limit.clone())).collect();
        let regions = text
            .regions
            .iter()
            .flat_map(|it| it.data_centres.iter().map(|dc| (dc.clone(), it.name.clone())))
            .collect();
        Self { text, digest, services, organisations, regions }
    }

    /// The version of the text.
    pub fn version(&self) -> ConfigVersion {
        self.text.version
    }

    /// The digest of the text's typed contents.
    pub fn digest(&self) -> ContentDigest {
        self.digest
    }

    /// The typed text.
    pub fn text(&self) -> &ConfigText {
        &self.text
    }

    /// The service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(|&i| &self.text.services[i])
    }

    /// The limit of an organisation, or the default limit.
    pub fn limit(&self, organisation: &OrganisationName) -> &OrganisationLimit {
        self.organisations.get(organisation).unwrap_or(&self.text.default_organisation)
    }

    /// The region that a data centre belongs to.
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        self.regions.get(data_centre)
    }
}
