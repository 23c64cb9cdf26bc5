//! Identifies starts of backend servers.

use std::{fmt, net::SocketAddr};

use crate::Incarnation;

/// One start of a backend server, since addresses and ids are reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Incarnation; higher at later starts of one server.
    pub incarnation: Incarnation,
}

impl fmt::Display for ServerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.incarnation)
    }
}
