use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Waits for SIGTERM or SIGINT.
pub async fn stop_requested() {
    let mut terminate = signal(SignalKind::terminate()).expect("the runtime handles signals");
    let mut interrupt = signal(SignalKind::interrupt()).expect("the runtime handles signals");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
