//! Finds the location of a node in a YAML text.

use marked_yaml::Node;

use crate::error::{CheckError, NodePath, NodeProblem, Step};

/// Finds lines and columns of nodes in one text.
pub(crate) struct Locator {
    /// `None` if the text can't be parsed.
    root: Option<Node>,
}

impl Locator {
    /// Returns a locator for `text`.
    pub(crate) fn new(text: &str) -> Self {
        Self { root: marked_yaml::parse_yaml(0, text).ok() }
    }

    /// Adds the location to a problem: that of its node, or of the nearest parent in the text.
    pub(crate) fn locate(&self, problem: NodeProblem) -> CheckError {
        let (line, column) = self.find(&problem.path).unwrap_or((1, 1));
        CheckError { line, column, problem: problem.problem }
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
