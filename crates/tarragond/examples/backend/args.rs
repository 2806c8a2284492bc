use std::net::SocketAddr;

use clap::Parser;

/// Stand-in backend server with simulated service times.
#[derive(Debug, Parser)]
pub struct Args {
    /// Name that is written into the responses.
    #[arg(long)]
    pub name: String,
    /// Address to listen on for requests.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Service that the server provides.
    #[arg(long)]
    pub service: String,
    /// Control address of the node on this host; if absent, the server is not announced.
    #[arg(long)]
    pub control: Option<SocketAddr>,
    /// Exit address of the node on this host, used for outgoing calls.
    #[arg(long)]
    pub exit: Option<SocketAddr>,
    /// Maximum number of requests that run at the same time; further ones wait.
    #[arg(long, default_value_t = 75)]
    pub slots: u32,
    /// Mean service time, in ms.
    #[arg(long, default_value_t = 5)]
    pub service_ms: u64,
    /// Duration of the slow phase after the start, in ms.
    #[arg(long, default_value_t = 0)]
    pub cold_start_ms: u64,
    /// Age of the load in load reports, in ms.
    #[arg(long, default_value_t = 1500)]
    pub report_age_ms: u64,
    /// Outgoing call for each request, as `service/path`; may be given several times.
    #[arg(long = "call")]
    pub calls: Vec<String>,
    /// Seed of the random service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
