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

/// Maximum number of buffered log lines. Further lines are dropped, because logging must not block
/// requests, and the buffer counts towards the memory of the node.
const MAX_BUFFERED_LINES: usize = 1_000;

/// Starts logging: JSON lines on standard output, or human-readable text on standard error. The
/// caller must keep the returned guard until the end of the process; dropping it flushes the
/// buffer.
///
/// # Errors
/// The filter cannot be parsed.
pub fn start_logging(settings: &LogSettings) -> Result<WorkerGuard, Report<NodeError>> {
    let filter = EnvFilter::try_new(&settings.filter)
        .change_context_lazy(|| NodeError::LogFilter(settings.filter.clone()))?;
    let writer_builder =
        NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LINES).lossy(true);
    let (writer, guard) = match settings.format {
        LogFormat::Human => writer_builder.finish(stderr()),
        LogFormat::Json => writer_builder.finish(stdout()),
    };
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(stderr().is_terminal())
        .with_writer(writer);
    if !stderr().is_terminal() {
        Report::set_color_mode(ColorMode::None);
    }
    // Fails on a second call in the same process, as in tests; the first subscriber stays in place.
    let _ = match settings.format {
        LogFormat::Human => subscriber.with_target(false).try_init(),
        LogFormat::Json => subscriber.json().flatten_event(true).with_target(false).try_init(),
    };
    Ok(guard)
}
