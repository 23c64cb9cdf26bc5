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

/// The largest configuration text, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Parses a configuration text and checks it whole; a text with any error is refused whole.
pub fn parse(text: &str) -> Result<Config, Vec<CheckError>> {
    if text.len() > MAX_TEXT_BYTES {
        let problem = CheckProblem::TextTooLarge { size: text.len(), limit: MAX_TEXT_BYTES };
        return Err(vec![CheckError::at_start(problem)]);
    }
    let parsed = yaml::read(text).map_err(|e| vec![e])?;
    let found = checks::check(&parsed);
    if found.is_empty() {
        return Ok(Config::new(parsed));
    }
    let locator = location::Locator::new(text);
    Err(found.into_iter().map(|it| locator.place(it)).collect())
}

/// Checks an already typed configuration, as it arrives from another host.
pub fn validate(text: schema::config_text::ConfigText) -> Result<Config, Vec<CheckError>> {
    let found = checks::check(&text);
    if found.is_empty() {
        return Ok(Config::new(text));
    }
    Err(found.into_iter().map(|it| CheckError::at_start(it.problem)).collect())
}
