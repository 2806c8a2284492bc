//! Settings of the daemon: a JSON file, checked as a whole.

mod check;
mod load;
mod settings;

pub use check::check_settings;
pub use load::load_settings;
pub use load::SettingsError;
pub use settings::Advertise;
pub use settings::Formation;
pub use settings::Limits;
pub use settings::Listen;
pub use settings::LoadModel;
pub use settings::LogFormat;
pub use settings::LogSettings;
pub use settings::Settings;
