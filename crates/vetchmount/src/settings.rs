//! Reading of the settings files. Errors name the file and the field that they concern.

use control::{Operator, Settings};
use serde_json::Value;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the settings are not accepted.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file could not be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The content of a file is invalid.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with the content.
        source: InvalidContent,
    },
    /// The operators' settings are not compatible with those of the platform.
    #[error("{0}")]
    Incompatible(String),
}

/// What is wrong with the content of a settings file.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum InvalidContent {
    /// The content can't be parsed.
    #[error("{0}")]
    Unparsable(String),
    /// The content violates the schema of the operators' settings.
    #[error("{field}: {reason}")]
    SchemaViolation {
        /// Path of the field within the file.
        field: String,
        /// What the schema demands.
        reason: String,
    },
    /// A value is not allowed.
    #[error("{0}")]
    InvalidValue(String),
}

/// Reads and validates the platform's settings.
pub fn load_platform(path: &Path) -> Result<Settings, SettingsError> {
    load(path, parse_platform)
}

/// Reads the operators' own settings and validates them against their schema.
pub fn load_operator(path: &Path) -> Result<Operator, SettingsError> {
    load(path, parse_operator)
}

/// Checks that the operators' settings are compatible with those of the platform.
pub fn check_compatibility(operator: &Operator, settings: &Settings) -> Result<(), SettingsError> {
    operator
        .validate(settings)
        .map_err(SettingsError::Incompatible)
}

/// The JSON schema of the operators' settings, generated from their Rust types.
pub fn schema_text() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Operator)).unwrap_or_default()
}

fn load<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, InvalidContent>,
) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    parse(&text).map_err(|source| SettingsError::Invalid {
        path: path.to_path_buf(),
        source,
    })
}

fn parse_platform(text: &str) -> Result<Settings, InvalidContent> {
    let settings: Settings =
        toml::from_str(text).map_err(|error| unparsable(one_line(&error.to_string())))?;
    settings.validate().map_err(InvalidContent::InvalidValue)?;
    Ok(settings)
}

fn parse_operator(text: &str) -> Result<Operator, InvalidContent> {
    let value: Value = serde_json::from_str(text).map_err(unparsable)?;
    check_schema(&value)?;
    serde_json::from_value(value).map_err(unparsable)
}

/// Checks a value against the schema of the operators' settings.
fn check_schema(value: &Value) -> Result<(), InvalidContent> {
    let schema: Value = serde_json::from_str(&schema_text()).map_err(unparsable)?;
    let validator = jsonschema::validator_for(&schema)
        .map_err(|error| unparsable(one_line(&error.to_string())))?;
    let Some(error) = validator.iter_errors(value).next() else {
        return Ok(());
    };
    let path = error.instance_path.to_string();
    let field = if path.is_empty() {
        "/".to_string()
    } else {
        path
    };
    let reason = one_line(&error.to_string());
    Err(InvalidContent::SchemaViolation { field, reason })
}

fn unparsable(error: impl std::fmt::Display) -> InvalidContent {
    InvalidContent::Unparsable(error.to_string())
}

/// Joins the lines of an error message, so that each error is one line of output.
fn one_line(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    lines.join(" ")
}

#[cfg(test)]
mod tests;
