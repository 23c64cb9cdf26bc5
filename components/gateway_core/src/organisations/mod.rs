//! The organisations that callers belong to: who their callers are, and how much they may ask for.

mod keys;
mod rates;

use std::fmt;

use ids::{LimitRate, OrganisationName};

pub use self::{
    keys::{CallerIdentity, KeySecret},
    rates::RefusalCause,
};
pub(crate) use self::{
    keys::{KeyCheck, KeyTable},
    rates::{KeeperPlace, OrganisationRates, RateDecision},
};

/// A key by which a gateway knows the organisation of a caller.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Wraps the bytes of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(key.into())
    }

    /// Returns the bytes of the key.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// What a request says of its caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Credentials {
    /// It carries no key.
    #[default]
    None,
    /// It carries this key.
    Key(ApiKey),
    /// It carries several keys, or something that isn't one.
    Malformed,
}

/// How much an organisation may ask of all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrganisationLimit {
    /// Requests a second.
    pub rate: LimitRate,
    /// Requests that may come at once, in thousandths, after a time without any.
    pub burst_milli: u64,
}

/// An organisation of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// The keys of its callers.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests in place of the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Its limit, if it has one.
    pub limit: Option<OrganisationLimit>,
}
