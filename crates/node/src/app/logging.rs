use std::io::stderr;
use std::io::IsTerminal;

use error_stack::fmt::ColorMode;
use error_stack::Report;
use error_stack::ResultExt;
use tracing_subscriber::EnvFilter;

use crate::app::AppError;
use crate::conf::LogFormat;
use crate::conf::LogSettings;

/// Starts log output on standard error.
///
/// # Errors
/// The filter cannot be parsed.
pub fn start_logging(settings: &LogSettings) -> Result<(), Report<AppError>> {
    let filter = EnvFilter::try_new(&settings.filter)
        .change_context_lazy(|| AppError::LogFilter(settings.filter.clone()))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(stderr().is_terminal())
        .with_writer(stderr);
    if !stderr().is_terminal() {
        Report::set_color_mode(ColorMode::None);
    }
    // A second call in one process, as in tests, keeps the first output.
    let _ = match settings.format {
        LogFormat::Human => builder.with_target(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    Ok(())
}
