//! Assembles the data path of a node from its settings, policies and interfaces.

mod clock;
mod data_path;
mod metrics;
mod serving_state;
mod settings;

pub(crate) use clock::micros;
pub(crate) use clock::remaining_us;
pub use clock::Clock;
pub use data_path::BindError;
pub use data_path::DataPath;
pub use data_path::DataPathDependencies;
pub use data_path::Policies;
pub use metrics::Metrics;
pub use metrics::NoMetrics;
pub use serving_state::ServingState;
pub use settings::DataPathSettings;
