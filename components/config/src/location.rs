//! Finds the line of a node in a YAML text.

use marked_yaml::Node;

use crate::error::{CheckError, Found, NodePath, Step};

/// Finds lines and columns of nodes.
pub(crate) struct Locator {
    root: Option<Node>,
}

impl Locator {
    /// A locator for `text`.
    pub(crate) fn new(text: &str) -> Self {
        Self { root: marked_yaml::parse_yaml(0, text).ok() }
    }

    /// Adds line and column to a problem; the nearest known parent counts.
    pub(crate) fn place(&self, found: Found) -> CheckError {
        let (line, column) = self.find(&found.path).unwrap_or((1, 1));
        CheckError { line, column, problem: found.problem }
    }

    fn find(&self, path: &NodePath) -> Option<(usize, usize)> {
        let mut node = self.root.as_ref()?;
        for step in &path.0 {
            let Some(child) = child_of(node, *step) else { break };
            node = child;
        }
        let start = node.span().start()?;
        Some((start.line(), start.column()))
    }
}

fn child_of(node: &Node, step: Step) -> Option<&Node> {
    match step {
        Step::Key(key) => node.as_mapping()?.get_node(key),
        Step::Index(index) => node.as_sequence()?.get_node(index),
    }
}
