use std::fmt;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use tarragon_model::check::format_mistakes;
use tarragon_model::check::parse_checked;
use tarragon_model::check::Mistake;

use crate::conf::check_settings;
use crate::conf::NodeSettings;

/// Error of loading a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file at this path cannot be read.
    Unreadable(String),
    /// The settings are invalid; every mistake is listed.
    Invalid(Vec<Mistake>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path) => write!(f, "cannot read settings file '{path}'"),
            Self::Invalid(mistakes) => {
                write!(
                    f,
                    "invalid settings, {} mistakes:\n{}",
                    mistakes.len(),
                    format_mistakes(mistakes)
                )
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Loads and checks a settings file.
///
/// # Errors
/// Returns `Unreadable` with its cause, or `Invalid` with every mistake and its JSON path.
pub fn load_settings(path: &Path) -> Result<NodeSettings, Report<SettingsError>> {
    let text = std::fs::read_to_string(path)
        .change_context_lazy(|| SettingsError::Unreadable(path.display().to_string()))?;
    let settings: NodeSettings =
        parse_checked(&text).map_err(|mistakes| Report::new(SettingsError::Invalid(mistakes)))?;
    let mistakes = check_settings(&settings);
    if mistakes.is_empty() {
        Ok(settings)
    } else {
        Err(Report::new(SettingsError::Invalid(mistakes)))
    }
}
