//! Deserialises YAML.

use serde::de::DeserializeOwned;
use serde_path_to_error::Path;

use crate::{
    error::{CheckError, CheckProblem},
    location::Locator,
};

/// Deserialises a value from `text`; errors have the position and the name of the field they
/// concern, or the position that the parser reports.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, CheckError> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let path = e.path().clone();
        let e = e.into_inner();
        let (line, column) = position_of(text, &path)
            .or_else(|| e.location().map(|it| (it.line(), it.column())))
            .unwrap_or((1, 1));
        CheckError { line, column, problem: CheckProblem::Syntax(message(&path, &e.to_string())) }
    })
}

fn position_of(text: &str, path: &Path) -> Option<(usize, usize)> {
    path.iter().next()?;
    Locator::new(text).find_path(path)
}

/// Returns the error with the path of its field, unless it names the field already.
fn message(path: &Path, e: &str) -> String {
    let path = path.to_string();
    let last_key = path.rsplit('.').next().unwrap_or_default();
    match path == "." || e.contains(last_key) {
        true => e.to_owned(),
        false => format!("{path}: {e}"),
    }
}
