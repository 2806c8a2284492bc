use std::sync::Arc;
use std::sync::Mutex;

use error_stack::Report;
use tarragon_consensus::RestoreError;
use tarragon_consensus::StateMachine;
use tarragon_model::catalogue::Catalogue;
use tokio::sync::watch;

use crate::control::ControlCommand;
use crate::control::ControlFailure;
use crate::control::ControlResult;
use crate::control::ControlState;

/// Control state, written by the replica task and read by the control API.
pub type SharedControlState = Arc<Mutex<ControlState>>;

/// State machine of the replicated log, which holds the control state and publishes its catalogue.
pub struct ControlStateMachine {
    state: SharedControlState,
    catalogue: watch::Sender<Arc<Catalogue>>,
}

impl ControlStateMachine {
    /// Creates the state machine, its shared state and the receiver of its catalogue.
    pub fn new() -> (Self, SharedControlState, watch::Receiver<Arc<Catalogue>>) {
        let state = SharedControlState::default();
        let (catalogue, receiver) = watch::channel(Arc::default());
        (Self { state: Arc::clone(&state), catalogue }, state, receiver)
    }

    fn publish(&self, state: &ControlState) {
        if self.catalogue.borrow().revision() != state.catalogue().revision() {
            self.catalogue.send_replace(Arc::new(state.catalogue().without_history()));
        }
    }
}

impl StateMachine for ControlStateMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        let result: ControlResult = match postcard::from_bytes::<ControlCommand>(command) {
            Ok(command) => Ok(state.apply(&command)),
            Err(_) => Err(ControlFailure::Malformed),
        };
        self.publish(&state);
        postcard::to_stdvec(&result).expect("a result can be encoded")
    }

    fn snapshot(&self) -> Vec<u8> {
        let state = self.state.lock().expect("no thread panics while it holds the lock");
        postcard::to_stdvec(&*state).expect("the state can be encoded")
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), Report<RestoreError>> {
        let restored: ControlState = ControlState::from_bytes(snapshot)
            .map_err(|e| Report::new(RestoreError(format!("malformed control state: {e}"))))?;
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        *state = restored;
        self.publish(&state);
        Ok(())
    }
}
