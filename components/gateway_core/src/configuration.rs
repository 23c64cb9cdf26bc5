//! The configuration of a gateway: routes with their policies, and the services they lead to.

use std::hash::Hasher;

use ids::{ByteSize, ConfigVersion, Millis, ServiceName};
use rustc_hash::FxHasher;

use crate::organisations::Organisation;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// May be executed any number of times.
    Idempotent,
    /// May be executed at most once.
    NonIdempotent,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// A route and the policy for its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, used in logs.
    pub name: String,
    /// Host name that requests must carry.
    pub host: String,
    /// Prefix of the request path; ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Services that the requests are distributed over.
    pub targets: Vec<RouteTarget>,
    /// Longest time until the response.
    pub time_limit: Millis,
    /// Response time up to which a response has its full value.
    pub target_latency: Millis,
    /// Priority among the routes of a service; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of servers that a request may reach.
    pub max_attempts: u32,
    /// Whether its requests need no key.
    pub is_public: bool,
}

/// Identifies a route in messages between gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteKey(pub u32);

impl Route {
    /// Returns the key of the route, which is the same on all gateways whatever their configuration
    /// version.
    pub fn key(&self) -> RouteKey {
        let mut hasher = FxHasher::default();
        hasher.write(self.name.as_bytes());
        RouteKey(hasher.finish() as u32)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections to one server from all hosts together.
    pub max_connections: u32,
    /// Path of the health check.
    pub probe_path: String,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_head: ByteSize,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Timeout for reading a request head.
    pub head_timeout: Millis,
    /// Maximum time between two requests on one connection.
    pub idle_timeout: Millis,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayConfig {
    /// Version of the configuration; a higher version replaces a lower one.
    pub version: ConfigVersion,
    /// All services.
    pub services: Vec<ServicePolicy>,
    /// All routes.
    pub routes: Vec<Route>,
    /// Limits on callers' requests.
    pub caller_limits: CallerLimits,
    /// The organisations that callers belong to; `None` if callers need no keys.
    pub organisations: Option<Vec<Organisation>>,
}

/// A configuration as an operator has submitted it, with the parts that have no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmittedConfig {
    /// What takes effect.
    pub config: GatewayConfig,
    /// All host names, also those without routes.
    pub hosts: Vec<String>,
    /// Targets of routes that name a single service besides, which takes precedence.
    pub unused_targets: Vec<UnusedTargets>,
    /// Whether all of its text is UTF-8, also in parts that are not read.
    pub is_utf8: bool,
}

/// Targets of a route that have no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusedTargets {
    /// Name of the route.
    pub route: String,
    /// The targets.
    pub targets: Vec<RouteTarget>,
}

/// Excess of a route's target latency over its time limit from which the configuration is refused,
/// in milliseconds.
const MAX_TARGET_OVER_LIMIT: Millis = Millis(60_000);

/// Reason for refusing a configuration.
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
    /// a host has no name
    EmptyHost,
    /// the text is not UTF-8
    NotUtf8,
}

impl std::error::Error for ConfigError {}

impl SubmittedConfig {
    /// Checks the constraints that the types don't express, in all parts.
    pub fn check(&self) -> Result<(), ConfigError> {
        if !self.is_utf8 {
            return Err(ConfigError::NotUtf8);
        }
        self.config.check()?;
        if self.hosts.iter().any(String::is_empty) {
            return Err(ConfigError::EmptyHost);
        }
        let mut unused = self.unused_targets.iter();
        unused.try_for_each(|it| self.config.check_targets(&it.route, &it.targets))
    }
}

impl GatewayConfig {
    /// Checks the constraints that the types don't express.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.routes.iter().try_for_each(|it| self.check_route(it))
    }

    fn check_route(&self, route: &Route) -> Result<(), ConfigError> {
        let name = || route.name.clone();
        self.check_targets(&route.name, &route.targets)?;
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
    fn check_targets(&self, route: &str, targets: &[RouteTarget]) -> Result<(), ConfigError> {
        let is_unknown = |it: &&RouteTarget| self.services.iter().all(|s| s.name != it.service);
        if let Some(target) = targets.iter().find(is_unknown) {
            let service = target.service.clone();
            return Err(ConfigError::UnknownService(route.to_owned(), service));
        }
        match targets.iter().all(|it| it.weight == 0) {
            true => Err(ConfigError::NoWeight(route.to_owned())),
            false => Ok(()),
        }
    }
}
