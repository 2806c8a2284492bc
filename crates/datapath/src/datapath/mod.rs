//! Assembles the data path of a node from its settings, policies and interfaces.

mod clock;
mod data_path;
mod metrics;
mod serving;
mod settings;

pub(crate) use clock::left_us;
pub(crate) use clock::micros;
pub use clock::Clock;
pub use data_path::BindError;
pub use data_path::DataPath;
pub use data_path::Environment;
pub use data_path::Policies;
pub use metrics::Metrics;
pub use metrics::NoMetrics;
pub use serving::Serving;
pub use settings::DataPathSettings;
