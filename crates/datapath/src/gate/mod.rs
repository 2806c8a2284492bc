//! The gate in front of the node's own backend server. It alone decides what runs there.

mod answer_body;
mod attempts;
mod backend_calls;
mod backend_io;
mod backend_pool;
mod call_refusals;
mod desk;
mod gate_call;
mod gate_handle;
mod gate_service;
mod keyed_run;
mod keys;
mod ledger_span;
mod request_gate;
mod spans;

pub use attempts::AttemptKey;
pub use gate_call::GateCall;
pub use gate_call::GateResponse;
pub use gate_handle::GateHandle;
pub use gate_service::GateService;
pub use request_gate::Gate;
pub use request_gate::GateDependencies;
pub use spans::ParentSpan;
pub use spans::RequestInProgress;
