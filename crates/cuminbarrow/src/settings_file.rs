//! Settings files in YAML.

use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// Why settings can't be had from a file.
#[derive(Debug, Snafu)]
pub enum SettingsFileError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not what is expected; the cause names key, line and column.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: serde_norway::Error,
    },
}

/// Reads settings.
///
/// # Errors
/// [`SettingsFileError`] names the file, and where it can the line and key.
pub fn read<T>(path: &Path) -> Result<T, SettingsFileError>
where
    T: DeserializeOwned,
{
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_norway::from_str(&text).context(ParseSnafu { path })
}
