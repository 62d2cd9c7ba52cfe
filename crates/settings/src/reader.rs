//! Reads typed fields from a TOML document and collects all errors with line and field.

use plantainmill_core::ResultCode;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use std::path::Path;
use std::str::FromStr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// An error in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsProblem {
    /// Path of the file, as given at the start.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Field, such as `listen.callers`; empty when the file cannot be read or is not valid TOML.
    pub field: String,
    /// Description of the error, without file and field.
    pub reason: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = ResultCode::SettingsInvalid;
        write!(formatter, "{} {}: ", code.number(), code.name())?;
        write!(formatter, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        write!(formatter, "{}", self.reason)
    }
}

/// Reads a settings file. Returns its path as it appears in errors, and its text.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn read_file(path: &Path) -> Result<(String, String), Vec<SettingsProblem>> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(vec![SettingsProblem {
            file,
            line: 1,
            field: String::new(),
            reason: format!("cannot be read: {error}"),
        }]),
    }
}

/// A table of the document. Reading a field removes it; fields that remain at the end are unknown.
pub struct SettingsSection<'a> {
    name: &'static str,
    line: usize,
    fields: Vec<(Spanned<std::borrow::Cow<'a, str>>, Spanned<DeValue<'a>>)>,
}

/// Reads the tables of one document. Reading a table removes it; tables that remain at the end are unknown.
pub struct SettingsReader<'a> {
    file: String,
    text: &'a str,
    tables: Vec<(Spanned<std::borrow::Cow<'a, str>>, Spanned<DeValue<'a>>)>,
    problems: Vec<SettingsProblem>,
    /// Fields and tables that were not read.
    unknown: Vec<SettingsProblem>,
}

impl<'a> SettingsReader<'a> {
    /// Parses `text`. A syntax error is collected like any other error; `file` is used in errors.
    #[must_use]
    pub fn new(file: &str, text: &'a str) -> SettingsReader<'a> {
        let mut reader = SettingsReader {
            file: file.to_owned(),
            text,
            tables: Vec::new(),
            problems: Vec::new(),
            unknown: Vec::new(),
        };
        // `toml::from_str` runs first, because only its errors have a position in the text.
        if let Err(error) = toml::from_str::<toml::Table>(text) {
            let line = line_of(text, error.span().as_ref());
            reader.report(line, String::new(), error.message().to_owned());
        } else if let Ok(table) = DeTable::parse(text) {
            reader.tables = table.into_inner().into_iter().collect();
        }
        reader
    }

    /// Adds an error at `line`. An empty `field` stands for a syntax error, which suppresses the errors of fields.
    pub fn report(&mut self, line: usize, field: String, reason: String) {
        let problem = self.problem(line, field, reason);
        self.problems.push(problem);
    }

    fn report_unknown(&mut self, line: usize, field: String, reason: &str) {
        let problem = self.problem(line, field, reason.to_owned());
        self.unknown.push(problem);
    }

    fn problem(&self, line: usize, field: String, reason: String) -> SettingsProblem {
        SettingsProblem {
            file: self.file.clone(),
            line,
            field,
            reason,
        }
    }

    /// Removes the table `name` from the document and returns it. An absent table is returned as an empty one.
    pub fn section(&mut self, name: &'static str) -> SettingsSection<'a> {
        let position = self
            .tables
            .iter()
            .position(|(key, _)| key.get_ref() == name);
        let Some(position) = position else {
            return SettingsSection {
                name,
                line: 1,
                fields: Vec::new(),
            };
        };
        let (key, value) = self.tables.remove(position);
        let line = line_of(self.text, Some(&key.span()));
        let fields = if let DeValue::Table(table) = value.into_inner() {
            table.into_iter().collect()
        } else {
            self.report(line, name.to_owned(), "must be a table".to_owned());
            Vec::new()
        };
        SettingsSection { name, line, fields }
    }

    /// Removes a field from `section`. Returns its line and value, or `None` if it is absent.
    fn take(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
    ) -> Option<(usize, DeValue<'a>)> {
        let position = section
            .fields
            .iter()
            .position(|(name, _)| name.get_ref() == key)?;
        let (_, value) = section.fields.remove(position);
        let line = line_of(self.text, Some(&value.span()));
        Some((line, value.into_inner()))
    }

    /// Reads an optional string. Adds an error if the field has another type.
    pub fn optional_string(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
    ) -> Option<String> {
        let (line, value) = self.take(section, key)?;
        let DeValue::String(text) = value else {
            self.report(line, section.field(key), "must be a string".to_owned());
            return None;
        };
        Some(text.into_owned())
    }

    /// Reads a required string. Adds an error and returns an empty string if it is missing or of another type.
    pub fn string(&mut self, section: &mut SettingsSection<'a>, key: &str) -> String {
        let before = self.problems.len();
        let found = self.optional_string(section, key);
        if found.is_none() && self.problems.len() == before {
            self.report(section.line, section.field(key), "is missing".to_owned());
        }
        found.unwrap_or_default()
    }

    /// Reads a required string and parses it. `expected` describes a valid value in the error, such as "an address".
    pub fn parsed<T: FromStr>(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        let line = section.line_of_field(self.text, key);
        let before = self.problems.len();
        let text = self.string(section, key);
        if self.problems.len() > before {
            return None;
        }
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let reason = format!("{text:?} is not {expected}");
            self.report(line, section.field(key), reason);
        }
        parsed
    }

    /// Like [`SettingsReader::parsed`], but an absent field is `None` without an error.
    pub fn optional_parsed<T: FromStr>(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        let is_present = section.fields.iter().any(|(name, _)| name.get_ref() == key);
        is_present.then(|| self.parsed(section, key, expected))?
    }

    /// Reads a whole number in `range`. Returns `default` if it is absent, and also after adding an error.
    pub fn number(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
        range: &Range<u64>,
        default: u64,
    ) -> u64 {
        let Some((line, value)) = self.take(section, key) else {
            return default;
        };
        let parsed = match &value {
            DeValue::Integer(integer) => {
                u64::from_str_radix(integer.as_str(), integer.radix()).ok()
            }
            _ => None,
        };
        if let Some(number) = parsed.filter(|number| range.contains(number)) {
            return number;
        }
        let last = range.end - 1;
        let reason = format!("must be a whole number from {} to {last}", range.start);
        self.report(line, section.field(key), reason);
        default
    }

    /// Reads a number in `range`. Returns `default` if it is absent, and also after adding an error. The field is
    /// required if there is no default; the value after an error is then 0.
    pub fn decimal(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
        range: &RangeInclusive<f64>,
        default: Option<f64>,
    ) -> f64 {
        let Some((line, value)) = self.take(section, key) else {
            if default.is_none() {
                self.report(section.line, section.field(key), "is missing".to_owned());
            }
            return default.unwrap_or_default();
        };
        let parsed: Option<f64> = match &value {
            DeValue::Integer(integer) => integer.as_str().parse().ok(),
            DeValue::Float(float) => float.as_str().parse().ok(),
            _ => None,
        };
        if let Some(number) = parsed.filter(|number| range.contains(number)) {
            return number;
        }
        let reason = format!("must be a number from {} to {}", range.start(), range.end());
        self.report(line, section.field(key), reason);
        default.unwrap_or_default()
    }

    /// Reads all remaining fields of `section`. Adds an error for each field that is not a string.
    pub fn all_strings(&mut self, section: &mut SettingsSection<'a>) -> Vec<(String, String)> {
        let keys: Vec<String> = section
            .fields
            .iter()
            .map(|(key, _)| key.get_ref().to_string())
            .collect();
        keys.into_iter()
            .filter_map(|key| {
                let text = self.optional_string(section, &key)?;
                Some((key, text))
            })
            .collect()
    }

    /// Reads all remaining fields of `section`. Adds an error for each field that is not a number in `range`.
    pub fn all_decimals(
        &mut self,
        section: &mut SettingsSection<'a>,
        range: &RangeInclusive<f64>,
    ) -> Vec<(String, f64)> {
        let keys = section
            .fields
            .iter()
            .map(|(key, _)| key.get_ref().to_string());
        let keys: Vec<String> = keys.collect();
        keys.into_iter()
            .filter_map(|key| {
                let before = self.problems.len();
                let number = self.decimal(section, &key, range, None);
                (self.problems.len() == before).then_some((key, number))
            })
            .collect()
    }

    /// Records the fields of `section` that were not read as unknown.
    pub fn end_section(&mut self, section: &SettingsSection<'a>) {
        for (key, _) in &section.fields {
            let line = line_of(self.text, Some(&key.span()));
            let field = section.field(key.get_ref());
            self.report_unknown(line, field, "is not a known setting");
        }
    }

    /// Returns all errors in the order of lines. Unknown fields and tables are errors.
    #[must_use]
    pub fn finish(self) -> Vec<SettingsProblem> {
        let (mut problems, unknown) = self.finish_lenient();
        // After a syntax error nothing was read, so everything would be reported as unknown.
        if problems.iter().all(|problem| !problem.field.is_empty()) {
            problems.extend(unknown);
        }
        problems.sort_by_key(|problem| problem.line);
        problems
    }

    /// Returns the errors and, separately, the unknown fields and tables, each in the order of lines.
    #[must_use]
    pub fn finish_lenient(mut self) -> (Vec<SettingsProblem>, Vec<SettingsProblem>) {
        for (key, _) in std::mem::take(&mut self.tables) {
            let line = line_of(self.text, Some(&key.span()));
            let field = key.into_inner().into_owned();
            self.report_unknown(line, field, "is not a known table");
        }
        // After a syntax error nothing was read, so every field would be reported as missing.
        if self.problems.iter().any(|problem| problem.field.is_empty()) {
            self.problems.retain(|problem| problem.field.is_empty());
        }
        self.problems.sort_by_key(|problem| problem.line);
        self.unknown.sort_by_key(|problem| problem.line);
        (self.problems, self.unknown)
    }
}

impl SettingsSection<'_> {
    /// Line of the table's header, from 1; 1 if the table is absent.
    #[must_use]
    pub fn line(&self) -> usize {
        self.line
    }

    /// Full name of the field `key`, such as `listen.callers`.
    #[must_use]
    pub fn field(&self, key: &str) -> String {
        format!("{}.{key}", self.name)
    }

    fn line_of_field(&self, text: &str, key: &str) -> usize {
        let found = self.fields.iter().find(|(name, _)| name.get_ref() == key);
        found.map_or(self.line, |(_, value)| line_of(text, Some(&value.span())))
    }
}

/// Line of the start of `span`, from 1; 1 without a span.
fn line_of(text: &str, span: Option<&Range<usize>>) -> usize {
    let start = span.map_or(0, |span| span.start.min(text.len()));
    text.get(..start)
        .map_or(1, |before| before.split('\n').count())
}
