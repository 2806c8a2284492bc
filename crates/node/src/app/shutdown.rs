use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// Receives SIGTERM and SIGINT from its creation on.
///
/// It is created once, at the start of the node: a signal that arrives while no task waits for it
/// is kept until the next wait, whereas a new receiver for each wait would miss it.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the signal handlers. It must be called inside a tokio runtime.
    ///
    /// # Panics
    /// The signal handlers cannot be installed.
    pub fn new() -> Self {
        Self {
            terminate: signal(SignalKind::terminate()).expect("signal handlers can be installed"),
            interrupt: signal(SignalKind::interrupt()).expect("signal handlers can be installed"),
        }
    }

    /// Waits for one of the signals.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
