//! Tracks which services are blocked because one of their dependencies is unavailable.

use ids::{FastMap, Millis, ServiceName, Timestamp};
use schema::config_text::Service;

/// Time for which a service must be unavailable before requests of its dependents are refused.
const BLOCK_AFTER: Millis = Millis(1_000);

/// The dependencies of all services, and which services are unavailable.
#[derive(Debug, Clone, Default)]
pub struct Dependencies {
    /// The direct and indirect dependencies of each service, nearest first.
    transitive: FastMap<ServiceName, Vec<ServiceName>>,
    /// When each unavailable service became unavailable.
    unavailable_since: FastMap<ServiceName, Timestamp>,
}

impl Dependencies {
    /// Returns the dependencies of the configured services; all count as available.
    pub fn build(services: &[Service]) -> Self {
        let mut dependencies = Self::default();
        dependencies.configure(services);
        dependencies
    }

    /// Applies a new configuration; services that remain keep their availability.
    pub fn configure(&mut self, services: &[Service]) {
        let direct: FastMap<&ServiceName, &[ServiceName]> =
            services.iter().map(|service| (&service.name, service.depends_on.as_slice())).collect();
        self.transitive = services
            .iter()
            .map(|service| (service.name.clone(), transitive_dependencies(&service.name, &direct)))
            .collect();
        self.unavailable_since.retain(|name, _| direct.contains_key(name));
    }

    /// Records whether `service` can serve requests.
    pub fn set_available(&mut self, now: Timestamp, service: &ServiceName, available: bool) {
        if available {
            self.unavailable_since.remove(service);
            return;
        }
        self.unavailable_since.entry(service.clone()).or_insert(now);
    }

    /// Returns the nearest dependency that has been unavailable for long enough to block `service`.
    pub fn blocked_by(&self, now: Timestamp, service: &ServiceName) -> Option<&ServiceName> {
        self.transitive.get(service)?.iter().find(|dependency| self.is_blocking(now, dependency))
    }

    fn is_blocking(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.unavailable_since.get(service).is_some_and(|&since| now.since(since) >= BLOCK_AFTER)
    }
}

/// Returns the direct and indirect dependencies of `service` in breadth-first order, without
/// itself.
fn transitive_dependencies(
    service: &ServiceName,
    direct: &FastMap<&ServiceName, &[ServiceName]>,
) -> Vec<ServiceName> {
    let mut found: Vec<ServiceName> = Vec::new();
    let mut next = 0;
    let mut current = service.clone();
    loop {
        for dependency in direct.get(&current).copied().unwrap_or_default() {
            if dependency != service && !found.contains(dependency) {
                found.push(dependency.clone());
            }
        }
        let Some(next_service) = found.get(next) else { return found };
        current = next_service.clone();
        next += 1;
    }
}
