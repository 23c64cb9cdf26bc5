//! The tokens by which operators are known.

use ids::{ContentDigest, FastMap};

/// The operators' tokens, kept as digests.
#[derive(Debug, Clone, Default)]
pub struct OperatorTokens {
    names: FastMap<ContentDigest, String>,
}

/// A token file could not be used.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum TokenError {
    /// line {0} of the token file is not a name and a token of at least {1} characters
    BadLine(usize, usize),
}

impl std::error::Error for TokenError {}

/// The shortest token, in characters.
const MIN_TOKEN_CHARS: usize = 16;

impl OperatorTokens {
    /// Reads one `name token` pair a line; `#` starts a comment line.
    pub fn parse(text: &str) -> Result<Self, TokenError> {
        let mut names = FastMap::default();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let pair = line.split_once(char::is_whitespace);
            let pair = pair.map(|(name, token)| (name, token.trim()));
            let Some((name, token)) = pair.filter(|it| it.1.len() >= MIN_TOKEN_CHARS) else {
                return Err(TokenError::BadLine(i + 1, MIN_TOKEN_CHARS));
            };
            names.insert(ContentDigest::of(token.as_bytes()), name.to_owned());
        }
        Ok(Self { names })
    }

    /// The operator that a token belongs to.
    pub fn operator(&self, token: &str) -> Option<&str> {
        self.names.get(&ContentDigest::of(token.as_bytes())).map(String::as_str)
    }
}
