use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;

/// Operators' client of tarragonloom, an overload control layer for service call graphs.
#[derive(Debug, Parser)]
#[command(name = "tarragonctl", version)]
pub struct Args {
    /// Control address of a node; may be repeated, the next one is tried if one does not answer.
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
    /// Time to wait for an answer of one node, in ms.
    #[arg(long, default_value_t = 15_000)]
    pub timeout_ms: u64,
    /// Print the answer as JSON.
    #[arg(long)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of the client.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Submit release notes and see where they are in force.
    Note {
        /// What to do.
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
    /// Start, list and replace the control replicas.
    Replica {
        /// What to do.
        #[command(subcommand)]
        command: ReplicaCommand,
    },
}

/// Commands about the control replicas.
#[derive(Debug, Subcommand)]
pub enum ReplicaCommand {
    /// Start the log of a new deployment at the replica of the node given with --node.
    Init {
        /// Start even if a known replica does not answer.
        #[arg(long)]
        force: bool,
    },
    /// List the known replicas and what each says of itself.
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

/// Commands about release notes.
#[derive(Debug, Subcommand)]
pub enum NoteCommand {
    /// Submit a release note.
    Submit {
        /// File with the note in JSON.
        file: PathBuf,
    },
    /// Tell whether a note was accepted and where it is in force.
    Status {
        /// Id of the note.
        id: String,
    },
    /// List the accepted notes.
    List,
}
