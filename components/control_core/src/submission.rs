//! Validates a submitted configuration and builds the command to propose.

use config::Config;
use ids::{ByteSize, ConfigVersion, ContentDigest, WallTime};
use schema::{
    control_state::{AuditCommand, SubmitCommand},
    operator::{AuditOutcome, OperatorResponse, Origin, TextError},
};

use crate::{state::ReplicatedState, summary::summarize};

/// Maximum size of a configuration text, in bytes; the rest of a log entry is for the other fields
/// of the command.
const MAX_TEXT_BYTES: usize = consensus::MAX_ENTRY_BYTES - 4096;

/// Maximum number of errors that are reported for one configuration.
const MAX_REPORTED_ERRORS: usize = 50;

/// The response and audit record for a configuration that is rejected before it is proposed.
pub(crate) struct Rejection {
    pub(crate) response: OperatorResponse,
    pub(crate) command: AuditCommand,
}

/// The configuration that was parsed last, kept because it is usually the current one when the next
/// is submitted.
pub(crate) struct ParsedText {
    digest: ContentDigest,
    config: Config,
}

/// Validates a configuration; a single error rejects it as a whole.
pub(crate) fn check(
    state: &ReplicatedState,
    last_parsed: &mut Option<ParsedText>,
    origin: Origin,
    at: WallTime,
    text: String,
) -> Result<SubmitCommand, Box<Rejection>> {
    let digest = ContentDigest::of(text.as_bytes());
    if text.len() > MAX_TEXT_BYTES {
        let summary = format!("{} bytes", text.len());
        let response = OperatorResponse::TooLarge(ByteSize(MAX_TEXT_BYTES as u64));
        return Err(rejection(response, origin, at, digest, AuditOutcome::TooLarge, summary));
    }
    match config::parse(&text) {
        Ok(parsed) => {
            let version = parsed.version();
            let current = current_config(state, last_parsed.take());
            let summary = summarize(current.as_ref().map(Config::text), parsed.text());
            *last_parsed = Some(ParsedText { digest, config: parsed });
            Ok(SubmitCommand { origin, at, version, digest, text, summary })
        }
        Err(errors) => {
            let summary = errors.first().map_or_else(String::new, |it| it.to_string());
            let reported = errors.iter().take(MAX_REPORTED_ERRORS).map(text_error).collect();
            let response = OperatorResponse::Invalid(reported);
            Err(rejection(response, origin, at, digest, AuditOutcome::Invalid, summary))
        }
    }
}

/// Returns the current configuration; parses it only if it is not the one parsed last.
fn current_config(state: &ReplicatedState, last_parsed: Option<ParsedText>) -> Option<Config> {
    let current = state.current();
    match last_parsed {
        Some(parsed) if parsed.digest == current.digest => Some(parsed.config),
        _ => config::parse(&current.text).ok(),
    }
}

fn rejection(
    response: OperatorResponse,
    origin: Origin,
    at: WallTime,
    digest: ContentDigest,
    outcome: AuditOutcome,
    summary: String,
) -> Box<Rejection> {
    let version = ConfigVersion(0);
    let command = AuditCommand { origin, at, version, digest, outcome, summary };
    Box::new(Rejection { response, command })
}

fn text_error(e: &config::CheckError) -> TextError {
    TextError {
        line: u32::try_from(e.line).unwrap_or(u32::MAX),
        column: u32::try_from(e.column).unwrap_or(u32::MAX),
        message: e.problem.to_string(),
    }
}
