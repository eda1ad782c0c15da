//! Loading of the features file. Its keys and ranges are defined by [`Features`].

use super::errors::SettingsError;
use super::files::read_file;
use crate::features::Features;
use std::path::Path;

/// Loading is implemented here because the `features` module does no file I/O.
impl Features {
    /// Reads and validates the features file at `path`.
    pub fn load(path: &Path) -> Result<Features, SettingsError> {
        let text = read_file(path)?;
        Features::parse(&text).map_err(|source| SettingsError::Features {
            path: path.into(),
            source,
        })
    }
}
