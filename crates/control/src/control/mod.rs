//! The control side of a node: the state behind the replicated log, and the control API.

pub mod api;
mod control_log;
mod control_state;
mod gate_view;
mod operator_key;
mod refusals;
mod remote_log;

pub use control_log::ControlFailure;
pub use control_log::ControlLog;
pub use control_log::ControlReply;
pub use control_log::ControlRequest;
pub use control_log::ReplicaChange;
pub use control_state::ClaimKey;
pub use control_state::ControlAnswer;
pub use control_state::ControlCommand;
pub use control_state::ControlQuery;
pub use control_state::ControlState;
pub use gate_view::GateReport;
pub use gate_view::GateView;
pub use operator_key::OperatorKey;
pub use refusals::Refusals;
pub use remote_log::RemoteLog;
