//! Errors of settings files, and checks of field values.

use crate::features::FeaturesError;
use std::path::PathBuf;

/// Error of a settings file; its message is one line that names the file and, if known, the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is missing, unknown or of the wrong type.
    #[error("{}: line {line}: {}", path.display(), source.message().replace('\n', " "))]
    Syntax {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, counted from 1; 0 if it is not known.
        line: usize,
        /// Error of the parser.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// A field has a value that is not allowed.
    #[error("{}: {source}", path.display())]
    Value {
        /// Path of the settings file.
        path: PathBuf,
        /// The field and its allowed values.
        #[source]
        source: InvalidSetting,
    },
    /// The features file does not conform to its schema.
    #[error("{}: {source}", path.display())]
    Features {
        /// Path of the features file.
        path: PathBuf,
        /// The key and its allowed values.
        #[source]
        source: FeaturesError,
    },
}

/// Setting with a value that is not allowed. Its `field` is the key in the file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSetting {
    /// The list of zones is empty.
    #[error("settings.zones is empty")]
    NoZones,
    /// The controller's own zone is not in the cluster's list of zones.
    #[error("domain is not among settings.zones")]
    UnknownZone,
    /// A duration, rate or size is 0, negative, infinite or not a number.
    #[error("{field} must be above 0")]
    NotPositive {
        /// Key of the field.
        field: &'static str,
    },
    /// A duration or fraction is negative, infinite or not a number.
    #[error("{field} must not be negative")]
    Negative {
        /// Key of the field.
        field: &'static str,
    },
    /// A number is too small for the program to work.
    #[error("{field} must be at least {min}")]
    TooSmall {
        /// Key of the field.
        field: &'static str,
        /// Smallest allowed value.
        min: usize,
    },
    /// A number is larger than the program supports.
    #[error("{field} must be at most {max}")]
    TooLarge {
        /// Key of the field.
        field: &'static str,
        /// Largest allowed value.
        max: usize,
    },
    /// A number is outside its allowed range.
    #[error("{field} must be {min} to {max}")]
    OutOfRange {
        /// Key of the field.
        field: &'static str,
        /// Smallest allowed value.
        min: usize,
        /// Largest allowed value.
        max: usize,
    },
}

/// Key and value of a field.
pub(super) type Field = (&'static str, f64);

pub(super) fn check_positive(fields: &[Field]) -> Result<(), InvalidSetting> {
    match fields
        .iter()
        .find(|(_, value)| !(value.is_finite() && *value > 0.0))
    {
        Some((field, _)) => Err(InvalidSetting::NotPositive { field }),
        None => Ok(()),
    }
}

pub(super) fn check_not_negative(fields: &[Field]) -> Result<(), InvalidSetting> {
    match fields
        .iter()
        .find(|(_, value)| !(value.is_finite() && *value >= 0.0))
    {
        Some((field, _)) => Err(InvalidSetting::Negative { field }),
        None => Ok(()),
    }
}

pub(super) fn check_at_most(
    field: &'static str,
    value: usize,
    max: usize,
) -> Result<(), InvalidSetting> {
    if value > max {
        return Err(InvalidSetting::TooLarge { field, max });
    }
    Ok(())
}
