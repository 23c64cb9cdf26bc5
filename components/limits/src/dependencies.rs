//! Knows which services can't work because one that they depend on can't serve.

use ids::{FastMap, Millis, ServiceName, Timestamp};
use schema::config_text::Service;

/// Time for which a service has to be unable to serve before the ones that need it are refused.
const BLOCK_AFTER: Millis = Millis(1_000);

/// The dependencies of all services and which services can't serve now.
#[derive(Debug, Clone, Default)]
pub struct Dependencies {
    /// Every service that a service needs, directly or not, nearest first.
    needed: FastMap<ServiceName, Vec<ServiceName>>,
    /// Since when each service can't serve.
    unable_since: FastMap<ServiceName, Timestamp>,
}

impl Dependencies {
    /// Reads the dependencies of the configured services.
    pub fn build(services: &[Service]) -> Self {
        let mut dependencies = Self::default();
        dependencies.configure(services);
        dependencies
    }

    /// Takes a new configuration; keeps what is known of services that remain.
    pub fn configure(&mut self, services: &[Service]) {
        let direct: FastMap<&ServiceName, &[ServiceName]> =
            services.iter().map(|service| (&service.name, service.depends_on.as_slice())).collect();
        self.needed = services
            .iter()
            .map(|service| (service.name.clone(), closure(&service.name, &direct)))
            .collect();
        self.unable_since.retain(|name, _| direct.contains_key(name));
    }

    /// Notes whether `service` can serve now.
    pub fn set_available(&mut self, now: Timestamp, service: &ServiceName, available: bool) {
        if available {
            self.unable_since.remove(service);
            return;
        }
        self.unable_since.entry(service.clone()).or_insert(now);
    }

    /// The nearest needed service that has been unable to serve for long enough.
    pub fn blocked_by(&self, now: Timestamp, service: &ServiceName) -> Option<&ServiceName> {
        self.needed.get(service)?.iter().find(|needed| self.is_unable(now, needed))
    }

    fn is_unable(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.unable_since.get(service).is_some_and(|&since| now.since(since) >= BLOCK_AFTER)
    }
}

/// The services that `service` needs, breadth first, without itself.
fn closure(
    service: &ServiceName,
    direct: &FastMap<&ServiceName, &[ServiceName]>,
) -> Vec<ServiceName> {
    let mut found: Vec<ServiceName> = Vec::new();
    let mut next = 0;
    let mut current = service.clone();
    loop {
        for needed in direct.get(&current).copied().unwrap_or_default() {
            if needed != service && !found.contains(needed) {
                found.push(needed.clone());
            }
        }
        let Some(following) = found.get(next) else { return found };
        current = following.clone();
        next += 1;
    }
}
