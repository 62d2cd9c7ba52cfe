//! Parses fleet files: TOML with one table for each section of the configuration.

use crate::bodies::{
    defaults_spec, exception_spec, key_spec, organisation_spec, service_spec, target_spec,
};
use crate::change::ConfigEdit;
use crate::model::FleetConfig;
use crate::references::check_references;
use crate::validate::validate_fields;
use compact_str::CompactString;
use plantainmill_core::Problem;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// An error in a fleet file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileError {
    /// File name as given to the parser.
    pub file: String,
    /// Line of the error; the first line is 1.
    pub line: usize,
    /// Path of the field, such as `organisations.kandy.rate`; empty for a syntax error.
    pub field: String,
    /// Description of the error.
    pub reason: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.reason)
    }
}

/// A parsed fleet file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetFile {
    /// Edits that write all resources of the file.
    pub edits: Vec<ConfigEdit>,
}

/// Parses the fleet file `name` with content `text`. Resources of the file may refer to those of `base`.
///
/// # Errors
///
/// Returns all errors, each with its line and field, in the order of their lines.
pub fn parse_fleet_file(
    name: &str,
    text: &str,
    base: &FleetConfig,
) -> Result<FleetFile, Vec<FileError>> {
    let mut parser = FileParser {
        name,
        text,
        line_ends: text.match_indices('\n').map(|(offset, _)| offset).collect(),
        lines: BTreeMap::new(),
        edits: Vec::new(),
        errors: Vec::new(),
    };
    parser.parse_text();
    if parser.errors.is_empty() {
        let edits = std::mem::take(&mut parser.edits);
        for problem in check_references(base, &edits) {
            parser.add_problem(&problem);
        }
        parser.edits = edits;
    }
    if parser.errors.is_empty() {
        return Ok(FleetFile {
            edits: parser.edits,
        });
    }
    parser.errors.sort_by_key(|error| error.line);
    Err(parser.errors)
}

struct FileParser<'a> {
    name: &'a str,
    text: &'a str,
    /// Offsets of the line breaks. Counting line breaks again for each key takes a minute for 23,000 organisations.
    line_ends: Vec<usize>,
    /// Line of each table and field, by path.
    lines: BTreeMap<String, usize>,
    edits: Vec<ConfigEdit>,
    errors: Vec<FileError>,
}

impl FileParser<'_> {
    fn line_at(&self, offset: usize) -> usize {
        self.line_ends.partition_point(|end| *end < offset) + 1
    }

    fn add_error(&mut self, line: usize, field: &str, reason: &str) {
        self.errors.push(FileError {
            file: self.name.to_owned(),
            line,
            field: field.to_owned(),
            reason: reason.to_owned(),
        });
    }

    /// Adds a problem at the line of its field, or at that of the enclosing table if the field is absent.
    fn add_problem(&mut self, problem: &Problem) {
        let field = problem.field.as_deref().unwrap_or_default();
        let parent = field.rsplit_once('.').map_or(field, |(parent, _)| parent);
        let line = self.lines.get(field).or_else(|| self.lines.get(parent));
        let line = line.copied().unwrap_or(1);
        let field = field.to_owned();
        self.add_error(line, &field, &problem.reason);
    }

    fn parse_text(&mut self) {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in &errors {
            let line = self.line_at(error.span().map_or(0, |span| span.start));
            self.add_error(line, "", error.message());
        }
        if !errors.is_empty() {
            return;
        }
        for (key, value) in table.into_inner() {
            let line = self.line_at(key.span().start);
            self.parse_section(key.get_ref(), line, value);
        }
    }

    fn parse_section(&mut self, section: &str, line: usize, value: Spanned<DeValue<'_>>) {
        self.lines.insert(section.to_owned(), line);
        if section == "defaults" {
            let body = self.parse_body("defaults", value);
            let edit = body.map(|body| ConfigEdit::PutDefaults {
                spec: defaults_spec(&body),
            });
            self.add_edit(edit);
            return;
        }
        let known = ["exceptions", "keys", "organisations", "services", "targets"];
        if !known.contains(&section) {
            let reason = format!(
                "unknown table; must be one of defaults, {}",
                known.join(", ")
            );
            self.add_error(line, section, &reason);
            return;
        }
        let DeValue::Table(resources) = value.into_inner() else {
            self.add_error(line, section, "must be a table of resources keyed by id");
            return;
        };
        for (key, resource) in resources {
            let path = format!("{section}.{}", key.get_ref());
            let line = self.line_at(key.span().start);
            self.lines.insert(path.clone(), line);
            let id = CompactString::from(key.get_ref().as_ref());
            self.parse_resource(section, id, &path, resource);
        }
    }

    fn parse_resource(
        &mut self,
        section: &str,
        id: CompactString,
        path: &str,
        value: Spanned<DeValue<'_>>,
    ) {
        let edit = match section {
            "services" => self
                .parse_body(path, value)
                .map(|body| ConfigEdit::PutService {
                    id,
                    spec: service_spec(&body),
                }),
            "organisations" => {
                self.parse_body(path, value)
                    .map(|body| ConfigEdit::PutOrganisation {
                        id,
                        spec: organisation_spec(&body),
                    })
            }
            "keys" => self.parse_body(path, value).map(|body| ConfigEdit::PutKey {
                id,
                spec: key_spec(&body),
            }),
            "targets" => {
                let body = self.parse_body(path, value);
                let spec = body.map(|body| target_spec(&body));
                self.accept_spec(path, spec)
                    .map(|spec| ConfigEdit::PutTarget { id, spec })
            }
            _ => {
                let body = self.parse_body(path, value);
                let spec = body.map(|body| exception_spec(&body));
                self.accept_spec(path, spec)
                    .map(|spec| ConfigEdit::PutException { id, spec })
            }
        };
        self.add_edit(edit);
    }

    fn accept_spec<T>(&mut self, path: &str, spec: Option<Result<T, Problem>>) -> Option<T> {
        match spec? {
            Ok(spec) => Some(spec),
            Err(problem) => {
                let field = problem.field.clone().unwrap_or_default();
                self.add_problem(&problem.with_field(format!("{path}.{field}")));
                None
            }
        }
    }

    fn add_edit(&mut self, edit: Option<ConfigEdit>) {
        let Some(edit) = edit else {
            return;
        };
        for problem in validate_fields(&edit) {
            self.add_problem(&problem);
        }
        self.edits.push(edit);
    }

    /// Decodes a table. The decoder stops at the first error, so each invalid field is removed and the rest decoded
    /// again, until all invalid fields of the table are found.
    fn parse_body<T: DeserializeOwned>(
        &mut self,
        path: &str,
        value: Spanned<DeValue<'_>>,
    ) -> Option<T> {
        let span = value.span();
        let DeValue::Table(mut fields) = value.into_inner() else {
            let line = self.line_at(span.start);
            self.add_error(line, path, "must be a table");
            return None;
        };
        self.record_lines(path, &fields);
        let mut invalid: Vec<String> = Vec::new();
        loop {
            let whole = Spanned::new(span.clone(), DeValue::Table(fields.clone()));
            let error = match T::deserialize(ValueDeserializer::from(whole)) {
                Ok(body) if invalid.is_empty() => return Some(body),
                Ok(_) => return None,
                Err(error) => error,
            };
            let field = error.span().and_then(|span| field_at(&fields, &span));
            let Some(field) = field else {
                self.add_missing(path, &span, error.message(), &invalid);
                return None;
            };
            let field_path = format!("{path}.{field}");
            let line = self.lines.get(&field_path).copied().unwrap_or(1);
            self.add_error(line, &field_path, error.message());
            let kept = fields
                .into_iter()
                .filter(|(key, _)| *key.get_ref() != field);
            fields = kept.collect();
            invalid.push(field);
        }
    }

    /// Adds the error of a missing field, unless the field was removed because it is invalid.
    fn add_missing(&mut self, path: &str, span: &Range<usize>, message: &str, invalid: &[String]) {
        let removed = |field: &String| message.contains(&format!("`{field}`"));
        if invalid.iter().any(removed) {
            return;
        }
        let known = self.lines.get(path).copied();
        let line = known.unwrap_or_else(|| self.line_at(span.start));
        self.add_error(line, path, message);
    }

    fn record_lines(&mut self, path: &str, fields: &DeTable<'_>) {
        for key in fields.keys() {
            let line = self.line_at(key.span().start);
            self.lines.insert(format!("{path}.{}", key.get_ref()), line);
        }
    }
}

/// Name of the field whose key or value contains `span`.
fn field_at(fields: &DeTable<'_>, span: &Range<usize>) -> Option<String> {
    let contains = |range: Range<usize>| range.start <= span.start && span.end <= range.end;
    let found = fields
        .iter()
        .find(|(key, value)| contains(key.span()) || contains(value.span()));
    found.map(|(key, _)| key.get_ref().to_string())
}
