//! Finds the organisation of a caller by its key.
//!
//! Load pattern: thousands of keys, and a look-up for each request. Keys are held as keyed hashes, so
//! that neither memory nor the time of a look-up tells anything of a key.

use std::{fmt, sync::Arc};

use ids::{FastMap, OrganisationName};

use super::{ApiKey, Credentials, Organisation};
use crate::requests::CallerNote;

/// The secret of a process under which it hashes keys.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct KeySecret(pub [u8; 32]);

impl fmt::Debug for KeySecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeySecret(..)")
    }
}

/// Keyed hash of a key.
type KeyHash = [u8; 32];

/// An organisation as requests need it.
#[derive(Debug)]
pub(crate) struct KnownOrganisation {
    pub(crate) name: OrganisationName,
    pub(crate) priority: Option<u32>,
}

/// The caller of a request, if it is known by a key.
#[derive(Debug, Clone)]
pub struct CallerIdentity {
    pub(crate) organisation: Arc<KnownOrganisation>,
}

impl CallerIdentity {
    /// Returns the name of the caller's organisation.
    pub fn organisation(&self) -> &OrganisationName {
        &self.organisation.name
    }
}

/// Whether a request may be served, as far as its key says.
#[derive(Debug)]
pub(crate) enum KeyCheck {
    /// Its caller is known.
    Known(CallerIdentity),
    /// It needs no key.
    NotNeeded,
    /// Its key is not valid.
    Refused,
}

/// The keys of a configuration; without organisations, no request needs one.
#[derive(Debug)]
pub(crate) struct KeyTable {
    secret: KeySecret,
    by_hash: Option<FastMap<KeyHash, Arc<KnownOrganisation>>>,
}

impl KeyTable {
    pub(crate) fn new(secret: KeySecret) -> Self {
        Self { secret, by_hash: None }
    }

    /// Replaces all keys. A key that two organisations hold belongs to the first one.
    pub(crate) fn set(&mut self, organisations: Option<&[Organisation]>) {
        let Some(organisations) = organisations else {
            self.by_hash = None;
            return;
        };
        let mut by_hash = FastMap::default();
        for Organisation { name, keys, priority, .. } in organisations {
            let known = Arc::new(KnownOrganisation { name: name.clone(), priority: *priority });
            for key in keys {
                by_hash.entry(self.hash(key)).or_insert_with(|| known.clone());
            }
        }
        self.by_hash = Some(by_hash);
    }

    /// Returns whether callers need keys.
    pub(crate) fn are_needed(&self) -> bool {
        self.by_hash.is_some()
    }

    /// Returns what a server is told of a caller.
    pub(crate) fn note(&self, identity: Option<&CallerIdentity>) -> CallerNote {
        match identity {
            Some(it) => CallerNote::Organisation(it.organisation().clone()),
            None if self.by_hash.is_some() => CallerNote::Anonymous,
            None => CallerNote::AsReceived,
        }
    }

    /// Checks the key of a request to a route.
    pub(crate) fn check(&self, credentials: &Credentials, is_public_route: bool) -> KeyCheck {
        let Some(by_hash) = &self.by_hash else { return KeyCheck::NotNeeded };
        let found = match credentials {
            Credentials::Key(key) => {
                let organisation = by_hash.get(&self.hash(key));
                organisation.map(|it| CallerIdentity { organisation: it.clone() })
            }
            Credentials::None | Credentials::Malformed => None,
        };
        match found {
            Some(identity) => KeyCheck::Known(identity),
            None if is_public_route => KeyCheck::NotNeeded,
            None => KeyCheck::Refused,
        }
    }

    fn hash(&self, key: &ApiKey) -> KeyHash {
        *blake3::keyed_hash(&self.secret.0, key.as_bytes()).as_bytes()
    }
}
