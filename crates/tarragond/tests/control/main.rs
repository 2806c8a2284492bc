//! Tests of the control side with no network: settings, the state behind the log, announcements.

mod announcements;
mod control_state;
mod settings;
