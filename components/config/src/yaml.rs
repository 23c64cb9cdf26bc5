//! Deserializes values from YAML, with the location of syntax errors.

use serde::de::DeserializeOwned;

use crate::error::{CheckError, CheckProblem};

/// Deserializes a value from `text`.
pub(crate) fn read<T: DeserializeOwned>(text: &str) -> Result<T, CheckError> {
    serde_yaml_ng::from_str(text).map_err(|e| {
        let (line, column) = e.location().map_or((1, 1), |it| (it.line(), it.column()));
        CheckError { line, column, problem: CheckProblem::Syntax(e.to_string()) }
    })
}
