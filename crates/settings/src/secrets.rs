//! Parsers of the secret files: operator keys and fleet secrets.

use compact_str::CompactString;
use plantainmill_core::secret::hash_secret;

/// Minimum length of a secret; shorter ones can be guessed.
const MIN_SECRET_BYTES: usize = 16;

/// An operator and the hash of the operator's key. The key itself is not kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorKey {
    /// Name of the operator, as it appears in the history of the configuration.
    pub name: CompactString,
    /// SHA-256 of the key, in hexadecimal.
    pub hash: CompactString,
}

/// The first error in a secret file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineProblem {
    /// Line number, from 1.
    pub line: usize,
    /// Description of the error, without the secret.
    pub reason: String,
}

impl LineProblem {
    /// An error with the description `reason` at `line`, counted from 1.
    #[must_use]
    pub fn new(line: usize, reason: String) -> LineProblem {
        LineProblem { line, reason }
    }
}

/// Parses lines of the form `NAME KEY`; empty lines and lines that start with `#` are skipped.
///
/// # Errors
///
/// Returns the line number and reason of the first malformed line, or of line 1 when the number of entries is wrong.
pub fn parse_operator_keys(text: &str) -> Result<Vec<OperatorKey>, LineProblem> {
    let mut keys = Vec::new();
    for (line, content) in content_lines(text) {
        let Some((name, secret)) = content.split_once(char::is_whitespace) else {
            return Err(LineProblem::new(
                line,
                "must contain a name and a key".to_owned(),
            ));
        };
        check_length(line, secret.trim())?;
        keys.push(OperatorKey {
            name: name.into(),
            hash: hash_secret(secret.trim()),
        });
    }
    if keys.is_empty() {
        return Err(LineProblem::new(1, "contains no operator key".to_owned()));
    }
    Ok(keys)
}

/// Parses one fleet secret per line, one or two in total. The first is the one that signs. Empty lines and lines that
/// start with `#` are skipped.
///
/// # Errors
///
/// Returns the line number and reason of the first malformed line, or of line 1 when the number of entries is wrong.
pub fn parse_fleet_secrets(text: &str) -> Result<Vec<CompactString>, LineProblem> {
    let mut secrets = Vec::new();
    for (line, content) in content_lines(text) {
        check_length(line, content)?;
        secrets.push(CompactString::from(content));
    }
    match secrets.len() {
        1 | 2 => Ok(secrets),
        count => {
            let reason = format!("must contain one or two secrets, not {count}");
            Err(LineProblem::new(1, reason))
        }
    }
}

fn content_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let lines = text.lines().enumerate();
    lines
        .map(|(index, line)| (index + 1, line.trim()))
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
}

fn check_length(line: usize, secret: &str) -> Result<(), LineProblem> {
    if secret.len() < MIN_SECRET_BYTES {
        let reason = format!("a secret needs at least {MIN_SECRET_BYTES} bytes");
        return Err(LineProblem::new(line, reason));
    }
    Ok(())
}
