//! The control plane of a node: the state machine of the replicated log, access to the log, and the
//! control API.

pub mod api;
mod auth_failure_recorder;
mod control_log;
mod control_state;
mod gate_view;
mod operator_key;
mod remote_log;

pub use auth_failure_recorder::AuthFailureRecorder;
pub use control_log::ControlFailure;
pub use control_log::ControlLog;
pub use control_log::ControlRequest;
pub use control_log::ControlResult;
pub use control_log::ReplicaChange;
pub use control_state::ClaimKey;
pub use control_state::ControlCommand;
pub use control_state::ControlQuery;
pub use control_state::ControlResponse;
pub use control_state::ControlState;
pub use gate_view::GateReport;
pub use gate_view::GateView;
pub use operator_key::OperatorKey;
pub use remote_log::RemoteLog;
