//! Reads the settings file of a process.

use std::{fmt, fs, io, path::Path};

/// Errors of reading a settings file.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable(String, io::Error),
    /// The file has invalid settings; each error starts with its position in the file.
    Invalid(String, Vec<String>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, e) => write!(f, "cannot read {path}: {e}"),
            Self::Invalid(path, errors) => {
                let lines: Vec<_> = errors.iter().map(|it| format!("{path}:{it}")).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and parses the settings file at `path`.
pub fn read_settings<T, E: fmt::Display>(
    path: &Path,
    parse: fn(&str) -> Result<T, Vec<E>>,
) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable(name.clone(), e))?;
    parse(&text).map_err(|errors| {
        SettingsError::Invalid(name, errors.iter().map(ToString::to_string).collect())
    })
}
