//! Reads and checks configuration texts and settings.

mod checks;
mod error;
mod location;
mod model;
mod settings;
mod yaml;

pub use crate::{
    error::{CheckError, CheckProblem},
    model::Config,
    settings::{
        parse_control_settings, parse_entry_settings, parse_gateway_settings,
        parse_registry_settings,
    },
};

/// Maximum size of a configuration text, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Parses and checks a configuration text.
///
/// Returns all problems that the checks find, but only one for a text that is too large or can't be
/// parsed.
pub fn parse(text: &str) -> Result<Config, Vec<CheckError>> {
    if text.len() > MAX_TEXT_BYTES {
        let problem = CheckProblem::TextTooLarge { size: text.len(), limit: MAX_TEXT_BYTES };
        return Err(vec![CheckError::at_start(problem)]);
    }
    let parsed = yaml::read(text).map_err(|e| vec![e])?;
    let problems = checks::check(&parsed);
    if problems.is_empty() {
        return Ok(Config::new(parsed));
    }
    let locator = location::Locator::new(text);
    Err(problems.into_iter().map(|it| locator.locate(it)).collect())
}

/// Checks a decoded configuration, such as one from another host.
///
/// Without a text, all errors are located at line 1, column 1.
pub fn validate(text: schema::config_text::ConfigText) -> Result<Config, Vec<CheckError>> {
    let problems = checks::check(&text);
    if problems.is_empty() {
        return Ok(Config::new(text));
    }
    Err(problems.into_iter().map(|it| CheckError::at_start(it.problem)).collect())
}
