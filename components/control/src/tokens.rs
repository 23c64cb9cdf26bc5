//! Authentication tokens of operators.

use ids::{ContentDigest, FastMap};

/// Names of the operators by the digests of their tokens.
#[derive(Debug, Clone, Default)]
pub struct OperatorTokens {
    operators: FastMap<ContentDigest, String>,
}

/// Errors of parsing a token file.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum TokenError {
    /// line {0} of the token file is not a name and a token of at least {1} characters
    BadLine(usize, usize),
}

impl std::error::Error for TokenError {}

/// Minimum length of a token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

impl OperatorTokens {
    /// Parses a file with one `name token` pair per line; lines that start with `#` are comments.
    pub fn parse(text: &str) -> Result<Self, TokenError> {
        let mut operators = FastMap::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let pair = line.split_once(char::is_whitespace);
            let pair = pair.map(|(name, token)| (name, token.trim()));
            let Some((name, token)) = pair.filter(|it| it.1.len() >= MIN_TOKEN_BYTES) else {
                return Err(TokenError::BadLine(index + 1, MIN_TOKEN_BYTES));
            };
            operators.insert(ContentDigest::of(token.as_bytes()), name.to_owned());
        }
        Ok(Self { operators })
    }

    /// Returns the name of the operator that a token belongs to.
    pub fn operator(&self, token: &str) -> Option<&str> {
        self.operators.get(&ContentDigest::of(token.as_bytes())).map(String::as_str)
    }
}
