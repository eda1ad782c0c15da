//! The features file. Its keys and ranges are those of [`Features`].

use super::errors::SettingsError;
use super::files::read_file;
use crate::features::Features;
use std::path::Path;

/// Here and not in `features`, which knows no files: its types are the only source of its keys.
impl Features {
    /// Reads and validates the features file.
    pub fn load(path: &Path) -> Result<Features, SettingsError> {
        let text = read_file(path)?;
        Features::parse(&text).map_err(|source| SettingsError::Features {
            path: path.into(),
            source,
        })
    }
}
