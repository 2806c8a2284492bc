use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// SIGTERM and SIGINT from the moment it is created.
///
/// It is created once, at the start: a signal that arrives while nobody waits is kept for the next
/// wait, and would be lost with a receiver for each wait.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Starts to receive the signals. Call it inside a tokio runtime.
    pub fn new() -> Self {
        Self {
            terminate: signal(SignalKind::terminate()).expect("the runtime handles signals"),
            interrupt: signal(SignalKind::interrupt()).expect("the runtime handles signals"),
        }
    }

    /// Waits for one of the signals.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
