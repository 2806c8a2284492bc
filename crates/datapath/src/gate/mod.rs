//! The gate in front of the node's own backend server. It alone decides what runs there.

mod answer_body;
mod attempts;
mod backend_io;
mod backend_pool;
mod call_refusals;
mod desk;
mod gate_call;
mod gate_handle;
mod gate_service;
mod gate_shell;
mod keyed_run;
mod keys;
mod ledger_span;
mod server_calls;
mod spans;

pub use attempts::AttemptKey;
pub use gate_call::GateAnswer;
pub use gate_call::GateCall;
pub use gate_handle::GateHandle;
pub use gate_service::GateService;
pub use gate_shell::Gate;
pub use gate_shell::GateParts;
pub use spans::ParentSpan;
pub use spans::RequestInProgress;
