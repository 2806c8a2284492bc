//! The gate in front of the node's backend server. All requests to the backend server pass through
//! it, and it alone decides which of them run.

mod admission_queue;
mod attempts;
mod backend_calls;
mod backend_pool;
mod backend_stream;
mod call_refusals;
mod crash_detector;
mod gate_call;
mod gate_dependencies;
mod gate_handle;
mod gate_service;
mod keyed_run;
mod keys;
mod request_gate;
mod response_body;
mod retry_token_guard;
mod run_checks;
mod server_notices;
mod silence_detection;
mod spans;
mod upload_body;

pub use attempts::AttemptKey;
pub use gate_call::GateCall;
pub use gate_call::GateResponse;
pub use gate_dependencies::GateDependencies;
pub use gate_handle::GateHandle;
pub use gate_service::GateService;
pub use request_gate::Gate;
pub use spans::RequestInProgress;
pub use spans::SpanContext;
