use tarragon_model::identity::InstanceId;

use crate::conf::Settings;
use crate::datapath::Policies;
use crate::interim::FixedLimit;
use crate::interim::KeyTable;
use crate::interim::LeastInFlight;
use crate::interim::TokenLedger;

/// Slots assumed until the backend server announces its own.
const DEFAULT_SLOTS: usize = 64;

/// Builds the decisions of a node from its settings.
pub fn policies(_settings: &Settings, _instance: InstanceId) -> Policies {
    Policies {
        admission: Box::new(FixedLimit::new(DEFAULT_SLOTS, DEFAULT_SLOTS)),
        route: Box::new(LeastInFlight::default()),
        retry: Box::new(TokenLedger::default()),
        once: Box::new(KeyTable::default()),
    }
}
