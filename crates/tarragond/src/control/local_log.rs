use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use tarragon_model::catalogue::Catalogue;
use tokio::sync::watch;

use crate::control::ControlFailure;
use crate::control::ControlLog;
use crate::control::ControlReply;
use crate::control::ControlRequest;
use crate::control::ControlState;

/// The state machine without replication or durability, for tests.
pub struct LocalLog {
    state: Mutex<ControlState>,
    catalogue: watch::Sender<Arc<Catalogue>>,
}

impl Default for LocalLog {
    fn default() -> Self {
        let (catalogue, _) = watch::channel(Arc::default());
        Self { state: Mutex::default(), catalogue }
    }
}

#[async_trait]
impl ControlLog for LocalLog {
    async fn request(&self, request: &ControlRequest) -> ControlReply {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let answer = match request {
            ControlRequest::Propose(command) => state.apply(command),
            ControlRequest::Read(query) => state.query(query),
            ControlRequest::ChangeReplicas(_) => return Err(ControlFailure::Malformed),
        };
        if self.catalogue.borrow().revision() != state.catalogue().revision() {
            self.catalogue.send_replace(Arc::new(state.catalogue().clone()));
        }
        Ok(answer)
    }

    fn catalogue(&self) -> Option<watch::Receiver<Arc<Catalogue>>> {
        Some(self.catalogue.subscribe())
    }
}
