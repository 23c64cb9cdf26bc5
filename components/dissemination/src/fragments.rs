//! Splits a configuration into fragments and assembles it from them.

use std::{collections::BTreeMap, sync::Arc};

use ids::{Blob, ConfigVersion, ContentDigest};
use schema::{
    config_text::{ConfigText, Organisation, Route},
    dissemination::{Fragment, FragmentContent, FragmentKey, General, ManifestEntry},
};

/// Average number of routes or organisations per page; a page has at most about twice as many.
const ITEMS_PER_PAGE: usize = 32;

/// A fragment with its digest and decoded content.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct HeldFragment {
    pub(crate) fragment: Fragment,
    pub(crate) digest: ContentDigest,
    content: FragmentContent,
}

/// An encoded fragment key, by which fragments are ordered.
pub(crate) type EncodedKey = Vec<u8>;

/// All fragments of one configuration, in the order of their encoded keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Fragments(BTreeMap<EncodedKey, Arc<HeldFragment>>);

impl Fragments {
    /// Splits `text` into fragments; the order of its lists makes no difference.
    pub(crate) fn split(text: &ConfigText) -> Self {
        let mut fragments = Self::default();
        let general = General {
            regions: text.regions.clone(),
            default_organisation: text.default_organisation.clone(),
        };
        fragments.insert_content(FragmentKey::General, FragmentContent::General(general));
        for service in &text.services {
            let key = FragmentKey::Service(service.name.clone());
            fragments.insert_content(key, FragmentContent::Service(service.clone()));
        }
        for (page, routes) in route_pages(&text.routes) {
            fragments.insert_content(FragmentKey::Routes(page), FragmentContent::Routes(routes));
        }
        for (page, organisations) in organisation_pages(&text.organisations) {
            let content = FragmentContent::Organisations(organisations);
            fragments.insert_content(FragmentKey::Organisations(page), content);
        }
        fragments
    }

    /// Assembles the configuration; returns `None` if the general fragment is missing.
    ///
    /// The lists are in the order of the fragments: sorting tens of thousands of names at each
    /// change would block the host for longer than a request may take.
    pub(crate) fn join(&self, version: ConfigVersion) -> Option<ConfigText> {
        let mut general = None;
        let mut services = Vec::new();
        let mut routes = Vec::new();
        let mut organisations = Vec::new();
        for held in self.0.values() {
            match &held.content {
                FragmentContent::General(it) => general = Some(it.clone()),
                FragmentContent::Service(it) => services.push(it.clone()),
                FragmentContent::Routes(it) => routes.extend_from_slice(it),
                FragmentContent::Organisations(it) => organisations.extend_from_slice(it),
            }
        }
        let general = general?;
        Some(ConfigText {
            version,
            regions: general.regions,
            services,
            routes,
            organisations,
            default_organisation: general.default_organisation,
        })
    }

    /// Returns the digest of the keys and digests of all fragments.
    pub(crate) fn manifest_digest(&self) -> ContentDigest {
        let mut data = Vec::with_capacity(self.0.len() * 48);
        for (key, held) in &self.0 {
            data.extend_from_slice(&(key.len() as u32).to_le_bytes());
            data.extend_from_slice(key);
            data.extend_from_slice(&held.digest.0);
        }
        ContentDigest::of(&data)
    }

    pub(crate) fn manifest(&self) -> Vec<ManifestEntry> {
        let entry = |it: &Arc<HeldFragment>| ManifestEntry {
            key: it.fragment.key.clone(),
            digest: it.digest,
        };
        self.0.values().map(entry).collect()
    }

    /// Inserts a received fragment; a malformed one is dropped, so that its key stays missing.
    pub(crate) fn insert(&mut self, fragment: Fragment) {
        let Ok(content) = schema::decode(fragment.content.as_slice()) else {
            self.remove(&fragment.key);
            return;
        };
        let digest = ContentDigest::of(fragment.content.as_slice());
        self.insert_held(Arc::new(HeldFragment { fragment, digest, content }));
    }

    pub(crate) fn insert_held(&mut self, held: Arc<HeldFragment>) {
        self.0.insert(encode_key(&held.fragment.key), held);
    }

    pub(crate) fn remove(&mut self, key: &FragmentKey) {
        self.0.remove(&encode_key(key));
    }

    pub(crate) fn get(&self, key: &FragmentKey) -> Option<&Arc<HeldFragment>> {
        self.0.get(&encode_key(key))
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = &FragmentKey> {
        self.0.values().map(|it| &it.fragment.key)
    }

    /// Returns the keys whose content differs from that in `base` or is not in it.
    pub(crate) fn changed_since(&self, base: &Self) -> Vec<FragmentKey> {
        self.0
            .iter()
            .filter(|(key, held)| base.0.get(*key).is_none_or(|it| it.digest != held.digest))
            .map(|(_, held)| held.fragment.key.clone())
            .collect()
    }

    /// Returns the keys of `base` that are not in this set.
    pub(crate) fn removed_since(&self, base: &Self) -> Vec<FragmentKey> {
        base.keys().filter(|it| self.get(it).is_none()).cloned().collect()
    }

    fn insert_content(&mut self, key: FragmentKey, content: FragmentContent) {
        let data = schema::encode(&content);
        let digest = ContentDigest::of(&data);
        let fragment = Fragment { key, content: Blob::from(data) };
        self.insert_held(Arc::new(HeldFragment { fragment, digest, content }));
    }
}

/// Encodes a fragment key.
pub(crate) fn encode_key(key: &FragmentKey) -> EncodedKey {
    schema::encode(key)
}

/// A configuration assembled from fragments, with its lists in the order of the fragments.
pub(crate) type SharedConfig = Arc<ConfigText>;

/// Assigns routes to pages by a hash of host and path, so that changing a route changes one page.
fn route_pages(routes: &[Route]) -> BTreeMap<u32, Vec<Route>> {
    let mut pages = BTreeMap::<u32, Vec<Route>>::new();
    for route in routes {
        let name = format!("{} {}", route.host, route.path);
        pages.entry(page_of(&name, routes.len())).or_default().push(route.clone());
    }
    for page in pages.values_mut() {
        page.sort_by(|a, b| (&a.host, &a.path).cmp(&(&b.host, &b.path)));
    }
    pages
}

/// Assigns organisations to pages by a hash of the name, so that changing one changes one page.
fn organisation_pages(organisations: &[Organisation]) -> BTreeMap<u32, Vec<Organisation>> {
    let mut pages = BTreeMap::<u32, Vec<Organisation>>::new();
    for organisation in organisations {
        let page = page_of(organisation.name.as_str(), organisations.len());
        pages.entry(page).or_default().push(organisation.clone());
    }
    for page in pages.values_mut() {
        page.sort_by(|a, b| a.name.cmp(&b.name));
    }
    pages
}

/// Picks the page of `name` in a list of `items` entries.
fn page_of(name: &str, items: usize) -> u32 {
    let pages = items.div_ceil(ITEMS_PER_PAGE).next_power_of_two() as u32;
    let digest = ContentDigest::of(name.as_bytes());
    let [a, b, c, d, ..] = digest.0;
    u32::from_le_bytes([a, b, c, d]) % pages
}
