//! Finds the positions of nodes in a YAML text.

use marked_yaml::Node;
use serde_path_to_error::Segment;

use crate::error::{CheckError, NodePath, NodeProblem, Step};

/// Finds the lines and columns of nodes in a parsed text.
pub(crate) struct Locator {
    root: Option<Node>,
}

impl Locator {
    /// Parses `text`; if it is not valid YAML, all positions are its start.
    pub(crate) fn new(text: &str) -> Self {
        Self { root: marked_yaml::parse_yaml(0, text).ok() }
    }

    /// Adds the line and column of the node, or of its closest ancestor that the text contains.
    pub(crate) fn locate(&self, problem: NodeProblem) -> CheckError {
        let (line, column) = self.find(&problem.path).unwrap_or((1, 1));
        CheckError { line, column, problem: problem.problem }
    }

    /// Returns the line and column of the node at a path of the deserialiser, or of its closest
    /// ancestor that the text contains.
    pub(crate) fn find_path(&self, path: &serde_path_to_error::Path) -> Option<(usize, usize)> {
        let mut node = self.root.as_ref()?;
        for segment in path {
            let child = match segment {
                Segment::Map { key } => node.as_mapping().and_then(|it| it.get_node(key)),
                Segment::Seq { index } => node.as_sequence().and_then(|it| it.get_node(*index)),
                Segment::Enum { .. } | Segment::Unknown => None,
            };
            let Some(child) = child else { break };
            node = child;
        }
        start_of(node)
    }

    fn find(&self, path: &NodePath) -> Option<(usize, usize)> {
        let mut node = self.root.as_ref()?;
        for step in &path.0 {
            let Some(child) = child_of(node, *step) else { break };
            node = child;
        }
        start_of(node)
    }
}

fn start_of(node: &Node) -> Option<(usize, usize)> {
    let start = node.span().start()?;
    Some((start.line(), start.column()))
}

fn child_of(node: &Node, step: Step) -> Option<&Node> {
    match step {
        Step::Key(key) => node.as_mapping()?.get_node(key),
        Step::Index(index) => node.as_sequence()?.get_node(index),
    }
}
