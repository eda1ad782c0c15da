//! Why settings can't be used, and the checks that say so.

use crate::features::FeaturesError;
use std::path::PathBuf;

/// Why a settings file can't be used; one line, naming file and field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        #[source]
        source: std::io::Error,
    },
    /// The file is no TOML, or a field is missing or of the wrong type.
    #[error("{}: line {line}: {}", path.display(), source.message().replace('\n', " "))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1; 0 if it is not known.
        line: usize,
        /// What the parser said.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// A field has a value that is not allowed.
    #[error("{}: {source}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The field and what is allowed.
        #[source]
        source: InvalidSetting,
    },
    /// The features file is not what its schema says.
    #[error("{}: {source}", path.display())]
    Features {
        /// The file.
        path: PathBuf,
        /// The key and what is allowed.
        #[source]
        source: FeaturesError,
    },
}

/// A field with a value that is not allowed.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSetting {
    /// No zone at all.
    #[error("settings.zones is empty")]
    NoZones,
    /// The controller's own zone is not one of the cluster's.
    #[error("domain is not among settings.zones")]
    UnknownZone,
    /// A time or a rate is 0, negative or no number.
    #[error("{field} must be above 0")]
    NotPositive {
        /// The field.
        field: &'static str,
    },
    /// A time or a part is negative or no number.
    #[error("{field} must not be negative")]
    Negative {
        /// The field.
        field: &'static str,
    },
    /// A number is too small for the program to work.
    #[error("{field} must be at least {min}")]
    TooSmall {
        /// The field.
        field: &'static str,
        /// The least allowed.
        min: usize,
    },
    /// A number is larger than the program is made for.
    #[error("{field} must be at most {max}")]
    TooLarge {
        /// The field.
        field: &'static str,
        /// The most allowed.
        max: usize,
    },
    /// A number is outside its range.
    #[error("{field} must be {min} to {max}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The least allowed.
        min: usize,
        /// The most allowed.
        max: usize,
    },
}

/// A field's name and its value.
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
