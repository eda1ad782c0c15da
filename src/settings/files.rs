//! Reading and parsing of settings files.

use super::errors::SettingsError;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads and parses a settings file in TOML.
pub(super) fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = read_file(path)?;
    toml::from_str(&text).map_err(|source| SettingsError::Syntax {
        path: path.into(),
        line: line_number(&text, &source),
        source: Box::new(source),
    })
}

/// Reads a settings file as text.
pub(super) fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.into(),
        source,
    })
}

fn line_number(text: &str, error: &toml::de::Error) -> usize {
    error
        .span()
        .map_or(0, |span| text[..span.start.min(text.len())].lines().count())
}
