//! A gateway's configuration: routes with their policies, and the services they lead to.

use std::hash::Hasher;

use ids::{ByteSize, ConfigVersion, Millis, ServiceName};
use rustc_hash::FxHasher;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// It is idempotent.
    Idempotent,
    /// It may run once at most.
    NonIdempotent,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// A route and the policy of its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their path begins with; ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
    /// Longest time until the answer.
    pub time_limit: Millis,
    /// Time within which an answer has its full worth.
    pub target_latency: Millis,
    /// Rank among the kinds of request of a service; 0 goes first.
    pub priority: u32,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
}

/// Tells routes apart in messages between gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteKey(pub u32);

impl Route {
    /// The same on all gateways, whatever the version of their configuration.
    pub fn key(&self) -> RouteKey {
        let mut hasher = FxHasher::default();
        hasher.write(self.name.as_bytes());
        RouteKey(hasher.finish() as u32)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Its name.
    pub name: ServiceName,
    /// Connections that a server takes from all hosts together.
    pub max_connections: u32,
    /// Path of its health page.
    pub probe_path: String,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_head: ByteSize,
    /// Largest body of a request.
    pub max_body: ByteSize,
    /// Longest wait for the head of a request.
    pub head_timeout: Millis,
    /// Longest time between two requests on one connection.
    pub idle_timeout: Millis,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayConfig {
    /// Its version; higher ones replace lower ones.
    pub version: ConfigVersion,
    /// The services.
    pub services: Vec<ServicePolicy>,
    /// The routes.
    pub routes: Vec<Route>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
}

/// How far a latency aim may lie above the time limit, in milliseconds.
const MAX_TARGET_OVER_LIMIT: Millis = Millis(60_000);

/// Why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ConfigError {
    /// route {0} names the unknown service {1}
    UnknownService(String, ServiceName),
    /// the weights of route {0} add up to 0
    NoWeight(String),
    /// route {0} has no time limit
    NoTimeLimit(String),
    /// the latency aim of route {0} lies {1} ms above its time limit
    TargetLatencyOverLimit(String, Millis),
    /// the path prefix of route {0} does not begin with a slash
    RelativePrefix(String),
    /// route {0} has no host
    NoHost(String),
}

impl std::error::Error for ConfigError {}

impl GatewayConfig {
    /// Checks what the types cannot say.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.routes.iter().try_for_each(|it| self.check_route(it))
    }

    fn check_route(&self, route: &Route) -> Result<(), ConfigError> {
        let name = || route.name.clone();
        for target in &route.targets {
            if !self.services.iter().any(|it| it.name == target.service) {
                return Err(ConfigError::UnknownService(name(), target.service.clone()));
            }
        }
        if route.targets.iter().all(|it| it.weight == 0) {
            return Err(ConfigError::NoWeight(name()));
        }
        if route.time_limit == Millis(0) {
            return Err(ConfigError::NoTimeLimit(name()));
        }
        let over = Millis(route.target_latency.0.saturating_sub(route.time_limit.0));
        if over >= MAX_TARGET_OVER_LIMIT {
            return Err(ConfigError::TargetLatencyOverLimit(name(), over));
        }
        if !route.path_prefix.starts_with('/') {
            return Err(ConfigError::RelativePrefix(name()));
        }
        if route.host.is_empty() {
            return Err(ConfigError::NoHost(name()));
        }
        Ok(())
    }
}
