use std::net::SocketAddr;

use clap::Parser;

/// Stand-in backend server.
#[derive(Debug, Parser)]
pub struct Args {
    /// Name that it puts into its answers.
    #[arg(long)]
    pub name: String,
    /// Address to take requests at.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Service that it belongs to.
    #[arg(long)]
    pub service: String,
    /// Control address of the node on this host; not announced without it.
    #[arg(long)]
    pub control: Option<SocketAddr>,
    /// Exit address of the node on this host.
    #[arg(long)]
    pub exit: Option<SocketAddr>,
    /// Requests that run at once; more wait.
    #[arg(long, default_value_t = 75)]
    pub slots: u32,
    /// Mean service time, in ms.
    #[arg(long, default_value_t = 5)]
    pub service_ms: u64,
    /// Time for which it is slow after its start, in ms.
    #[arg(long, default_value_t = 0)]
    pub cold_start_ms: u64,
    /// Age of its load reports, in ms.
    #[arg(long, default_value_t = 1500)]
    pub report_age_ms: u64,
    /// Call to make for each request, as `service/path`; may be repeated.
    #[arg(long = "call")]
    pub calls: Vec<String>,
    /// Seed of the service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
