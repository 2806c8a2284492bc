use std::io::stderr;
use std::io::stdout;
use std::io::IsTerminal;

use error_stack::fmt::ColorMode;
use error_stack::Report;
use error_stack::ResultExt;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::app::NodeError;
use crate::conf::LogFormat;
use crate::conf::LogSettings;

/// Lines that wait to be written at most. Further ones are lost: a log must never hold up a
/// request, and its memory counts as the node's.
const WAITING_LINES: usize = 1_000;

/// Starts log output: JSON lines on standard output, or text for people on standard error. Keep the
/// guard; dropping it writes what waits.
///
/// # Errors
/// The filter cannot be parsed.
pub fn start_logging(settings: &LogSettings) -> Result<WorkerGuard, Report<NodeError>> {
    let filter = EnvFilter::try_new(&settings.filter)
        .change_context_lazy(|| NodeError::LogFilter(settings.filter.clone()))?;
    let waiting = NonBlockingBuilder::default().buffered_lines_limit(WAITING_LINES).lossy(true);
    let (writer, guard) = match settings.format {
        LogFormat::Human => waiting.finish(stderr()),
        LogFormat::Json => waiting.finish(stdout()),
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(stderr().is_terminal())
        .with_writer(writer);
    if !stderr().is_terminal() {
        Report::set_color_mode(ColorMode::None);
    }
    // A second call in one process, as in tests, keeps the first output.
    let _ = match settings.format {
        LogFormat::Human => builder.with_target(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).with_target(false).try_init(),
    };
    Ok(guard)
}
