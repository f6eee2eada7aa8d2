//! Reads settings files in YAML.

use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// Error of reading a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsFileError {
    /// The file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The file is not valid YAML or does not fit the settings. The underlying error names
    /// key, line and column where they are known.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: serde_norway::Error,
    },
}

/// Reads and parses a settings file.
///
/// # Errors
/// [`SettingsFileError`] names the file and, if parsing failed, key and line where they are known.
pub fn read<T>(path: &Path) -> Result<T, SettingsFileError>
where
    T: DeserializeOwned,
{
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_norway::from_str(&text).context(ParseSnafu { path })
}
