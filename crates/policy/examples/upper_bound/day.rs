use serde::Deserialize;

/// Figures of a day, read from a JSON file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Length of the day, in s.
    pub length_s: u32,
    /// Repeats that are allowed at a service, as a share of its first arrivals. A request or call is
    /// sent to two servers at most.
    pub retry_ratio: f64,
    pub services: Vec<Service>,
    pub kinds: Vec<Kind>,
    /// Times with more or less demand than the rates of the kinds say.
    #[serde(default)]
    pub demand: Vec<Demand>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: String,
    pub servers: u32,
    /// Slots of each server.
    pub slots: u32,
    /// Speeds of the servers in turn; 1 runs a request in its work time.
    pub speeds: Vec<f64>,
}

/// Requests of clients, or calls that other requests make (with a rate and a worth of 0).
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub service: String,
    #[serde(default)]
    pub per_s: f64,
    /// Mean time of the work itself, without the calls, in ms.
    pub work_ms: f64,
    /// Share of the requests that take `tail_factor` times as long.
    #[serde(default)]
    pub tail_share: f64,
    #[serde(default)]
    pub tail_factor: f64,
    pub time_limit_ms: f64,
    pub objective_ms: f64,
    #[serde(default)]
    pub worth: f64,
    /// Worth of a response within the time limit and after the objective.
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub calls: Vec<Call>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    pub kind: String,
    pub times: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    pub from_s: f64,
    pub to_s: f64,
    /// Factor on the rate of every kind, or of one kind.
    pub factor: f64,
    pub kind: Option<String>,
}

/// A service that rejects requests at random, or has lost servers.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub service: String,
    pub from_s: f64,
    pub to_s: f64,
    #[serde(default)]
    pub rejected_share: f64,
    #[serde(default)]
    pub lost_share: f64,
}
