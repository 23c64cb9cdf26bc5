//! Finds the service of a request by host and longest path prefix.
//!
//! A lookup walks a tree of path segments, so its cost depends on the depth of the path and not on
//! the number of routes. Paths are compared byte by byte, without percent-decoding.

use std::borrow::Cow;

use ids::{FastMap, ServiceName};
use schema::config_text::Route;

/// Host of routes that apply to every host.
const ANY_HOST: &str = "*";

/// Maps hosts and path prefixes to targets.
#[derive(Debug, Clone)]
pub struct RouteTable<T> {
    hosts: FastMap<Box<str>, PathTree<T>>,
    any_host: PathTree<T>,
}

/// The routes of one host as a tree of path segments.
#[derive(Debug, Clone)]
struct PathTree<T> {
    /// Nodes of the tree, root first.
    nodes: Vec<Node<T>>,
}

#[derive(Debug, Clone)]
struct Node<T> {
    /// Target of the route that ends at this node.
    target: Option<T>,
    /// Indexes of the child nodes by path segment.
    children: FastMap<Box<str>, usize>,
}

impl RouteTable<ServiceName> {
    /// Builds a table from the routes of a configuration.
    pub fn build(routes: &[Route]) -> Self {
        let mut table = Self::default();
        for route in routes {
            table.insert(&route.host, &route.path, route.service.clone());
        }
        table
    }
}

impl<T> Default for RouteTable<T> {
    fn default() -> Self {
        Self { hosts: FastMap::default(), any_host: PathTree::default() }
    }
}

impl<T> RouteTable<T> {
    /// Adds a route; of two routes with the same host and path, the first is kept.
    pub fn insert(&mut self, host: &str, path: &str, target: T) {
        self.tree_mut(host).insert(path, target);
    }

    /// Returns the target of the route whose path is the longest prefix of `path`.
    ///
    /// Routes for this host take precedence over routes for any host. The query and fragment are
    /// ignored. Paths that don't start with `/` or that contain a dot segment match no route.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&T> {
        let path = strip_query(path);
        if !is_routable(path) {
            return None;
        }
        let host = normalise_host(host);
        let exact = self.hosts.get(host.as_ref()).and_then(|tree| tree.longest_prefix(path));
        exact.or_else(|| self.any_host.longest_prefix(path))
    }

    fn tree_mut(&mut self, host: &str) -> &mut PathTree<T> {
        if host == ANY_HOST {
            return &mut self.any_host;
        }
        self.hosts.entry(normalise_host(host).into()).or_default()
    }
}

impl<T> Default for PathTree<T> {
    fn default() -> Self {
        Self { nodes: vec![Node::new()] }
    }
}

impl<T> Node<T> {
    fn new() -> Self {
        Self { target: None, children: FastMap::default() }
    }
}

impl<T> PathTree<T> {
    fn insert(&mut self, path: &str, target: T) {
        let mut index = 0;
        for segment in segments(path.trim_end_matches('/')) {
            index = self.get_or_insert_child(index, segment);
        }
        self.nodes[index].target.get_or_insert(target);
    }

    fn get_or_insert_child(&mut self, index: usize, segment: &str) -> usize {
        if let Some(&child) = self.nodes[index].children.get(segment) {
            return child;
        }
        let child = self.nodes.len();
        self.nodes.push(Node::new());
        self.nodes[index].children.insert(segment.into(), child);
        child
    }

    /// Returns the target of the longest prefix of `path` in the tree.
    fn longest_prefix(&self, path: &str) -> Option<&T> {
        let mut node = &self.nodes[0];
        let mut longest = node.target.as_ref();
        for segment in segments(path) {
            let Some(&child) = node.children.get(segment) else { break };
            node = &self.nodes[child];
            longest = node.target.as_ref().or(longest);
        }
        longest
    }
}

fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').skip(1)
}

/// Removes the query and the fragment.
fn strip_query(path: &str) -> &str {
    let end = path.find(['?', '#']).unwrap_or(path.len());
    &path[..end]
}

fn is_routable(path: &str) -> bool {
    path.starts_with('/') && !segments(path).any(is_dot_segment)
}

/// Returns whether a server might interpret the segment as `.` or `..`.
fn is_dot_segment(segment: &str) -> bool {
    if !segment.starts_with(['.', '%']) || segment.len() > "%2e%2e".len() {
        return false;
    }
    let decoded = segment.replace("%2e", ".").replace("%2E", ".");
    decoded == "." || decoded == ".."
}

/// Returns the host in lower case, without its port and trailing dot.
/// Returns the host name that a request carries, without its port and in lower case.
pub fn normalise_host(host: &str) -> Cow<'_, str> {
    let name = strip_port(host);
    let name = name.strip_suffix('.').unwrap_or(name);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(name.to_ascii_lowercase());
    }
    Cow::Borrowed(name)
}

fn strip_port(host: &str) -> &str {
    if let Some(end) = host.strip_prefix('[').and_then(|rest| rest.find(']')) {
        return &host[..end + 2];
    }
    host.split(':').next().unwrap_or(host)
}
