//! Problems of a text and their locations.

use std::fmt;

use ids::{DataCentreName, HostId, OrganisationName, RegionName, ServiceName};

/// A problem and its location in the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number, starting at 1.
    pub column: usize,
    /// What is wrong, and what is allowed.
    pub problem: CheckProblem,
}

impl CheckError {
    /// Returns an error at the start of the text, for a problem without a known location.
    pub fn at_start(problem: CheckProblem) -> Self {
        Self { line: 1, column: 1, problem }
    }
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.problem)
    }
}

impl std::error::Error for CheckError {}

/// A problem of a configuration text or of settings.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum CheckProblem {
    /// {0}
    Syntax(String),
    /// the text has {size} bytes; at most {limit} are allowed
    TextTooLarge {
        /// Size of the text, in bytes.
        size: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// `{0}` must not be empty
    EmptyList(&'static str),
    /// `{0}` must be at least 1
    Zero(&'static str),
    /// `{name}` is {value}; allowed is {min} to {max}
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// The value found.
        value: u64,
        /// The smallest value allowed.
        min: u64,
        /// The largest value allowed.
        max: u64,
    },
    /// region `{0}` is defined twice
    DuplicateRegion(RegionName),
    /// data centre `{0}` is defined twice
    DuplicateDataCentre(DataCentreName),
    /// service `{0}` is defined twice
    DuplicateService(ServiceName),
    /// organisation `{0}` is defined twice
    DuplicateOrganisation(OrganisationName),
    /// the route for host `{0}` and path `{1}` is defined twice
    DuplicateRoute(String, String),
    /// there is no service `{0}`; services are: {1}
    UnknownService(ServiceName, String),
    /// services depend on each other in a circle: {0}
    DependencyCycle(String),
    /// no route leads to service `{0}`
    ServiceWithoutRoute(ServiceName),
    /// floor {floor} is above the {servers} expected backend servers
    FloorAboveServers {
        /// The floor found.
        floor: u32,
        /// The number of servers expected.
        servers: u32,
    },
    /// {connections} connections a server are fewer than its {slots} slots
    FewerConnectionsThanSlots {
        /// Connections of one server.
        connections: u32,
        /// Slots of one server.
        slots: u32,
    },
    /// path `{0}` must start with `/` and hold no `//`, `?`, `#`, dot segments or spaces
    BadPath(String),
    /// path `{0}` is answered by the entry hosts themselves
    ReservedPath(String),
    /// host `{0}` must be `*` or a host name without port
    BadHost(String),
    /// host id {0} is listed twice
    DuplicateHost(HostId),
    /// {0} addresses must not be equal
    SameAddress(&'static str),
}

/// A problem and the path of the node that has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NodeProblem {
    pub(crate) path: NodePath,
    pub(crate) problem: CheckProblem,
}

/// The path from the root of a text to a node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct NodePath(pub(crate) Vec<Step>);

/// One step of a node path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Key(&'static str),
    Index(usize),
}

impl NodePath {
    /// Returns the path of an entry of the root.
    pub(crate) fn of(key: &'static str) -> Self {
        Self(vec![Step::Key(key)])
    }

    pub(crate) fn key(&self, key: &'static str) -> Self {
        self.child(Step::Key(key))
    }

    pub(crate) fn index(&self, index: usize) -> Self {
        self.child(Step::Index(index))
    }

    fn child(&self, step: Step) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        Self(steps)
    }

    pub(crate) fn problem(self, problem: CheckProblem) -> NodeProblem {
        NodeProblem { path: self, problem }
    }
}
