//! Deserialises YAML.

use serde::de::DeserializeOwned;

use crate::error::{CheckError, CheckProblem};

/// Deserialises a value from `text`; errors have the position that the parser reports.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, CheckError> {
    serde_yaml_ng::from_str(text).map_err(|e| {
        let (line, column) = e.location().map_or((1, 1), |it| (it.line(), it.column()));
        CheckError { line, column, problem: CheckProblem::Syntax(e.to_string()) }
    })
}
