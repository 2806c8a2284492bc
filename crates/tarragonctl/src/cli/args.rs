use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;

/// Operators' client of tarragonloom, an overload control layer for service call graphs.
#[derive(Debug, Parser)]
#[command(name = "tarragonctl", version)]
pub struct Args {
    /// Control address of a node; may be repeated, the nodes are tried in order until one responds.
    #[arg(
        long = "node",
        short = 'n',
        env = "TARRAGON_NODES",
        value_delimiter = ',',
        required = true
    )]
    pub nodes: Vec<SocketAddr>,
    /// File with the operator key.
    #[arg(long, short = 'k', env = "TARRAGON_KEY_FILE")]
    pub key_file: PathBuf,
    /// Time limit for the response of each node, in ms.
    #[arg(long, default_value_t = 15_000)]
    pub timeout_ms: u64,
    /// Print the response as JSON.
    #[arg(long)]
    pub json: bool,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of the client.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Submit release notes and show where they are in force.
    Note {
        /// Command on release notes.
        #[command(subcommand)]
        command: NoteCommand,
    },
    /// List the services in force.
    Services,
    /// List the backend servers and their states.
    Servers,
    /// Show the state of a node, its gate and its backend server.
    Status,
    /// Drain the backend server of the node given with --node.
    Drain {
        /// Drain even if fewer than half of the service's servers would stay ready.
        #[arg(long)]
        force: bool,
    },
    /// End the drain of the backend server of the node given with --node.
    Undrain,
    /// Initialize the replicated log; list, add and remove control replicas.
    Replica {
        /// Command on control replicas.
        #[command(subcommand)]
        command: ReplicaCommand,
    },
}

/// Commands on control replicas.
#[derive(Debug, Subcommand)]
pub enum ReplicaCommand {
    /// Create the log of a new deployment on the replica of the node given with --node.
    Init {
        /// Create the log even if a known replica does not respond.
        #[arg(long)]
        force: bool,
    },
    /// List the known replicas and the state that each one reports.
    List,
    /// Add the replica of a node; it votes once it has caught up.
    Add {
        /// Name of the node.
        name: String,
    },
    /// Remove the replica of a node, for example one that lost its disk.
    Remove {
        /// Name of the node.
        name: String,
    },
}

/// Commands on release notes.
#[derive(Debug, Subcommand)]
pub enum NoteCommand {
    /// Submit a release note.
    Submit {
        /// JSON file with the release note.
        file: PathBuf,
    },
    /// Show whether a release note was accepted and where it is in force.
    Status {
        /// Id of the release note.
        id: String,
    },
    /// List the latest accepted release notes and configurations.
    List,
}
