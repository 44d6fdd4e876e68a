//! Reads typed fields from a TOML document and collects every error with its line number.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

/// A validation error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Line number, starting at 1; 0 if the field is missing.
    pub line: usize,
    /// Path of the field, as in `timing.lease`.
    pub field: String,
    /// Why the field is rejected.
    pub reason: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.line {
            0 => write!(formatter, "{}: {}", self.field, self.reason),
            line => write!(formatter, "line {line}: {}: {}", self.field, self.reason),
        }
    }
}

/// A parsed document, the fields read from it so far, and the errors found so far.
pub(crate) struct TomlReader<'text> {
    text: &'text str,
    sections: Vec<(String, DeTable<'text>)>,
    read_fields: Vec<String>,
    pub(crate) errors: Vec<SettingsError>,
}

impl<'text> TomlReader<'text> {
    /// Parses the document. Any top-level entry other than a table listed in `sections` is an error.
    pub(crate) fn parse(text: &'text str, sections: &[&str]) -> Result<Self, SettingsError> {
        let document = DeTable::parse(text).map_err(|error| SettingsError {
            line: error.span().map_or(0, |span| line_of(text, &span)),
            field: "document".to_owned(),
            reason: error.message().to_owned(),
        })?;
        let mut reader = TomlReader {
            text,
            sections: Vec::new(),
            read_fields: Vec::new(),
            errors: Vec::new(),
        };
        for (name, value) in document.into_inner() {
            let line = line_of(text, &name.span());
            let name = name.into_inner().into_owned();
            match value.into_inner() {
                DeValue::Table(table) if sections.contains(&name.as_str()) => {
                    reader.sections.push((name, table))
                }
                _ => reader.add_error(line, &name, "unknown section"),
            }
        }
        Ok(reader)
    }

    /// Returns all errors sorted by line, with one for each field that was never read.
    pub(crate) fn finish(mut self) -> Vec<SettingsError> {
        let mut unknown = Vec::new();
        for (section, table) in &self.sections {
            for (name, _) in table {
                let field = format!("{section}.{}", name.get_ref());
                if !self.read_fields.contains(&field) {
                    unknown.push((line_of(self.text, &name.span()), field));
                }
            }
        }
        for (line, field) in unknown {
            self.add_error(line, &field, "unknown key");
        }
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }

    pub(crate) fn add_error(&mut self, line: usize, field: &str, reason: &str) {
        self.errors.push(SettingsError {
            line,
            field: field.to_owned(),
            reason: reason.to_owned(),
        });
    }

    /// Line number of a field, 0 if it is missing.
    pub(crate) fn field_line(&self, field: &str) -> usize {
        self.find_value(field)
            .map_or(0, |value| line_of(self.text, &value.span()))
    }

    pub(crate) fn string(&mut self, field: &str) -> Option<String> {
        self.read_field(field, "a string", |value| value.as_str().map(str::to_owned))
    }

    pub(crate) fn required_string(&mut self, field: &str) -> String {
        let is_missing = self.find_value(field).is_none();
        let value = self.string(field);
        if is_missing {
            self.add_error(0, field, "is required");
        }
        value.unwrap_or_default()
    }

    pub(crate) fn address(&mut self, field: &str) -> Option<SocketAddr> {
        let line = self.field_line(field);
        let text = self.required_string(field);
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) if text.is_empty() => None,
            Err(_) => {
                self.add_error(
                    line,
                    field,
                    &format!("'{text}' is not a socket address (ip:port)"),
                );
                None
            }
        }
    }

    pub(crate) fn boolean(&mut self, field: &str, default: bool) -> bool {
        self.read_field(field, "true or false", |value| value.as_bool())
            .unwrap_or(default)
    }

    pub(crate) fn integer(
        &mut self,
        field: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        let line = self.field_line(field);
        let parse = |value: &DeValue<'_>| match value {
            DeValue::Integer(number) => u64::from_str_radix(number.as_str(), number.radix()).ok(),
            _ => None,
        };
        let value = self
            .read_field(field, "a non-negative integer", parse)
            .unwrap_or(default);
        if !range.contains(&value) {
            let reason = format!(
                "{value} is out of range; must be from {} to {}",
                range.start(),
                range.end()
            );
            self.add_error(line, field, &reason);
        }
        value
    }

    /// Reads a duration written as a string with a unit, such as "250ms" or "3s".
    pub(crate) fn duration(&mut self, field: &str, default: Duration) -> Duration {
        let line = self.field_line(field);
        let Some(text) = self.read_field(
            field,
            "a duration string with a unit, such as \"250ms\"",
            |value| value.as_str().map(str::to_owned),
        ) else {
            return default;
        };
        match humantime_serde::re::humantime::parse_duration(&text) {
            Ok(duration) => duration,
            Err(error) => {
                self.add_error(
                    line,
                    field,
                    &format!("'{text}' is not a valid duration: {error}"),
                );
                default
            }
        }
    }

    fn read_field<T, F>(&mut self, field: &str, expected: &str, parse: F) -> Option<T>
    where
        F: Fn(&DeValue<'text>) -> Option<T>,
    {
        self.read_fields.push(field.to_owned());
        let found = self.find_value(field)?;
        let line = line_of(self.text, &found.span());
        let parsed = parse(found.get_ref());
        if parsed.is_none() {
            self.add_error(line, field, &format!("must be {expected}"));
        }
        parsed
    }

    fn find_value(&self, field: &str) -> Option<&Spanned<DeValue<'text>>> {
        let (section, name) = field.split_once('.')?;
        let (_, table) = self.sections.iter().find(|(name, _)| name == section)?;
        table
            .iter()
            .find(|(key, _)| key.get_ref() == name)
            .map(|(_, value)| value)
    }
}

fn line_of(text: &str, span: &Range<usize>) -> usize {
    text.get(..span.start)
        .map_or(0, |before| before.matches('\n').count() + 1)
}
