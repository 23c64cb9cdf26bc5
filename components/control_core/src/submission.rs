//! Checks a submitted text and turns it into a command.

use config::Config;
use ids::{ByteSize, ConfigVersion, ContentDigest, WallTime};
use schema::{
    control_state::{AuditCommand, SubmitCommand},
    operator::{AuditOutcome, OperatorResponse, Origin, TextError},
};

use crate::{state::ReplicatedState, summary::summarize};

/// The largest text, in bytes; leaves room for the rest of the command.
const MAX_TEXT_BYTES: usize = consensus::MAX_ENTRY_BYTES - 4096;

/// Errors of one text that are reported.
const MAX_REPORTED_ERRORS: usize = 50;

/// A text that was refused before it came to the log.
pub(crate) struct Refusal {
    pub(crate) response: OperatorResponse,
    pub(crate) command: AuditCommand,
}

/// The text that was parsed last; usually the one in force when the next is submitted.
pub(crate) struct ParsedText {
    digest: ContentDigest,
    config: Config,
}

/// Checks a text; a text with any fault is refused whole.
pub(crate) fn check(
    state: &ReplicatedState,
    last: &mut Option<ParsedText>,
    origin: Origin,
    at: WallTime,
    text: String,
) -> Result<SubmitCommand, Box<Refusal>> {
    let digest = ContentDigest::of(text.as_bytes());
    if text.len() > MAX_TEXT_BYTES {
        let summary = format!("{} bytes", text.len());
        let response = OperatorResponse::TooLarge(ByteSize(MAX_TEXT_BYTES as u64));
        return Err(refusal(response, origin, at, digest, AuditOutcome::TooLarge, summary));
    }
    match config::parse(&text) {
        Ok(parsed) => {
            let version = parsed.version();
            let before = current_config(state, last.take());
            let summary = summarize(before.as_ref().map(Config::text), parsed.text());
            *last = Some(ParsedText { digest, config: parsed });
            Ok(SubmitCommand { origin, at, version, digest, text, summary })
        }
        Err(errors) => {
            let summary = errors.first().map_or_else(String::new, |it| it.to_string());
            let reported = errors.iter().take(MAX_REPORTED_ERRORS).map(text_error).collect();
            let response = OperatorResponse::Invalid(reported);
            Err(refusal(response, origin, at, digest, AuditOutcome::Invalid, summary))
        }
    }
}

/// The text in force, parsed again only when it is not the one parsed last.
fn current_config(state: &ReplicatedState, last: Option<ParsedText>) -> Option<Config> {
    let current = state.current();
    match last {
        Some(last) if last.digest == current.digest => Some(last.config),
        _ => config::parse(&current.text).ok(),
    }
}

fn refusal(
    response: OperatorResponse,
    origin: Origin,
    at: WallTime,
    digest: ContentDigest,
    outcome: AuditOutcome,
    summary: String,
) -> Box<Refusal> {
    let version = ConfigVersion(0);
    let command = AuditCommand { origin, at, version, digest, outcome, summary };
    Box::new(Refusal { response, command })
}

fn text_error(e: &config::CheckError) -> TextError {
    TextError {
        line: u32::try_from(e.line).unwrap_or(u32::MAX),
        column: u32::try_from(e.column).unwrap_or(u32::MAX),
        message: e.problem.to_string(),
    }
}
