//! Reads typed fields from a TOML document and collects every error with its line and field.

use plantainmill_core::ResultCode;
use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One error of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsProblem {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Field, such as `listen.callers`; empty when the text is not TOML.
    pub field: String,
    /// What is wrong.
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

/// A table of the document whose fields are taken one by one; what is left over is unknown.
pub struct SettingsSection<'a> {
    name: &'static str,
    line: usize,
    fields: Vec<(Spanned<std::borrow::Cow<'a, str>>, Spanned<DeValue<'a>>)>,
}

/// Reads one document.
pub struct SettingsReader<'a> {
    file: String,
    text: &'a str,
    tables: Vec<(Spanned<std::borrow::Cow<'a, str>>, Spanned<DeValue<'a>>)>,
    problems: Vec<SettingsProblem>,
}

impl<'a> SettingsReader<'a> {
    /// Parses `text`; a syntax error is collected as well.
    #[must_use]
    pub fn new(file: &str, text: &'a str) -> SettingsReader<'a> {
        let mut reader = SettingsReader {
            file: file.to_owned(),
            text,
            tables: Vec::new(),
            problems: Vec::new(),
        };
        // `toml::from_str` is asked first because only its errors carry a place in the text.
        if let Err(error) = toml::from_str::<toml::Table>(text) {
            let line = line_of(text, error.span().as_ref());
            reader.report(line, String::new(), error.message().to_owned());
        } else if let Ok(table) = DeTable::parse(text) {
            reader.tables = table.into_inner().into_iter().collect();
        }
        reader
    }

    /// Collects an error.
    pub fn report(&mut self, line: usize, field: String, reason: String) {
        self.problems.push(SettingsProblem {
            file: self.file.clone(),
            line,
            field,
            reason,
        });
    }

    /// Takes the table `name`; an absent one is empty.
    pub fn section(&mut self, name: &'static str) -> SettingsSection<'a> {
        let place = self
            .tables
            .iter()
            .position(|(key, _)| key.get_ref() == name);
        let Some(place) = place else {
            return SettingsSection {
                name,
                line: 1,
                fields: Vec::new(),
            };
        };
        let (key, value) = self.tables.remove(place);
        let line = line_of(self.text, Some(&key.span()));
        let fields = if let DeValue::Table(table) = value.into_inner() {
            table.into_iter().collect()
        } else {
            self.report(line, name.to_owned(), "must be a table".to_owned());
            Vec::new()
        };
        SettingsSection { name, line, fields }
    }

    /// Takes a field, if it is there.
    fn take(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
    ) -> Option<(usize, DeValue<'a>)> {
        let place = section
            .fields
            .iter()
            .position(|(name, _)| name.get_ref() == key)?;
        let (_, value) = section.fields.remove(place);
        let line = line_of(self.text, Some(&value.span()));
        Some((line, value.into_inner()))
    }

    /// Takes an optional text.
    pub fn optional_text(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
    ) -> Option<String> {
        let (line, value) = self.take(section, key)?;
        let DeValue::String(text) = value else {
            self.report(line, section.field(key), "must be a text".to_owned());
            return None;
        };
        Some(text.into_owned())
    }

    /// Takes a text that has to be there. The caller sees an empty text after an error.
    pub fn text(&mut self, section: &mut SettingsSection<'a>, key: &str) -> String {
        let before = self.problems.len();
        let found = self.optional_text(section, key);
        if found.is_none() && self.problems.len() == before {
            self.report(section.line, section.field(key), "is missing".to_owned());
        }
        found.unwrap_or_default()
    }

    /// Takes a text that has to be there and parses it.
    pub fn parsed<T: FromStr>(
        &mut self,
        section: &mut SettingsSection<'a>,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        let line = section.line_of_field(self.text, key);
        let before = self.problems.len();
        let text = self.text(section, key);
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

    /// Takes a whole number between `range.start` and `range.end - 1`, or `default` when it is absent.
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

    /// Reports the fields of `section` that were not taken.
    pub fn end_section(&mut self, section: &SettingsSection<'a>) {
        for (key, _) in &section.fields {
            let line = line_of(self.text, Some(&key.span()));
            let field = section.field(key.get_ref());
            self.report(line, field, "is not a known setting".to_owned());
        }
    }

    /// Reports the tables that were not taken and gives all errors, in the order of lines.
    #[must_use]
    pub fn finish(mut self) -> Vec<SettingsProblem> {
        for (key, _) in std::mem::take(&mut self.tables) {
            let line = line_of(self.text, Some(&key.span()));
            let field = key.into_inner().into_owned();
            self.report(line, field, "is not a known table".to_owned());
        }
        // After a syntax error nothing was read, so every field would be reported as missing.
        if self.problems.iter().any(|problem| problem.field.is_empty()) {
            self.problems.retain(|problem| problem.field.is_empty());
        }
        self.problems.sort_by_key(|problem| problem.line);
        self.problems
    }
}

impl SettingsSection<'_> {
    fn field(&self, key: &str) -> String {
        format!("{}.{key}", self.name)
    }

    fn line_of_field(&self, text: &str, key: &str) -> usize {
        let found = self.fields.iter().find(|(name, _)| name.get_ref() == key);
        found.map_or(self.line, |(_, value)| line_of(text, Some(&value.span())))
    }
}

/// Line of the start of `span`, from 1.
fn line_of(text: &str, span: Option<&Range<usize>>) -> usize {
    let start = span.map_or(0, |span| span.start.min(text.len()));
    text.get(..start)
        .map_or(1, |before| before.split('\n').count())
}
