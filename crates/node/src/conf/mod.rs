//! Settings of a node: a JSON file that is checked completely before the node starts.

mod check;
mod load;
mod settings;

pub use check::check_settings;
pub use load::load_settings;
pub use load::SettingsError;
pub use settings::AdvertisedAddresses;
pub use settings::DataPathLimits;
pub use settings::FormationSettings;
pub use settings::ListenAddresses;
pub use settings::LoadModel;
pub use settings::LogFormat;
pub use settings::LogSettings;
pub use settings::NodeSettings;
