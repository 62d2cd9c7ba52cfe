//! Files with secrets: operator keys and the fleet secrets.

use compact_str::CompactString;
use plantainmill_core::secret::hash_secret;

/// Shortest secret accepted, in bytes; shorter ones can be guessed.
const SECRET_LEAST_BYTES: usize = 16;

/// An operator's key; only its hash is kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorKey {
    /// Name of the operator, as it appears in the history.
    pub name: CompactString,
    /// SHA-256 of the key, in hexadecimal.
    pub hash: CompactString,
}

/// The first error of a file with secrets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineProblem {
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl LineProblem {
    /// An error at `line`.
    #[must_use]
    pub fn new(line: usize, reason: String) -> LineProblem {
        LineProblem { line, reason }
    }
}

/// Parses lines of `NAME KEY`; empty lines and lines that start with `#` are skipped.
///
/// # Errors
///
/// Gives the line number and reason of the first malformed line.
pub fn parse_operator_keys(text: &str) -> Result<Vec<OperatorKey>, LineProblem> {
    let mut keys = Vec::new();
    for (line, content) in content_lines(text) {
        let Some((name, secret)) = content.split_once(char::is_whitespace) else {
            return Err(LineProblem::new(
                line,
                "must hold a name and a key".to_owned(),
            ));
        };
        check_length(line, secret.trim())?;
        keys.push(OperatorKey {
            name: name.into(),
            hash: hash_secret(secret.trim()),
        });
    }
    if keys.is_empty() {
        return Err(LineProblem::new(1, "holds no key".to_owned()));
    }
    Ok(keys)
}

/// Parses one fleet secret per line, the signing one first; at most two.
///
/// # Errors
///
/// Gives the line number and reason of the first malformed line.
pub fn parse_fleet_secrets(text: &str) -> Result<Vec<CompactString>, LineProblem> {
    let mut secrets = Vec::new();
    for (line, content) in content_lines(text) {
        check_length(line, content)?;
        secrets.push(CompactString::from(content));
    }
    match secrets.len() {
        1 | 2 => Ok(secrets),
        count => {
            let reason = format!("must hold one or two secrets, not {count}");
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
    if secret.len() < SECRET_LEAST_BYTES {
        let reason = format!("a secret needs at least {SECRET_LEAST_BYTES} bytes");
        return Err(LineProblem::new(line, reason));
    }
    Ok(())
}
