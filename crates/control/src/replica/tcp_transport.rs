use std::collections::HashMap;
use std::sync::Mutex;

use bytes::Bytes;
use tarragon_consensus::driver::ReplicaTransport;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;
use tracing::warn;

use crate::replica::peer_sender::PeerSender;
use crate::replica::ReplicaAddresses;

/// Maximum number of messages queued for one replica. Further messages are dropped; the log resends
/// them.
const QUEUE_CAPACITY: usize = 256;

/// Sends messages to other replicas over TCP.
pub struct TcpTransport {
    addresses: ReplicaAddresses,
    key: DeploymentKey,
    tasks: TaskTracker,
    queues: Mutex<HashMap<String, mpsc::Sender<Bytes>>>,
}

impl TcpTransport {
    /// Creates a transport, which spawns its connections on `tasks`.
    pub fn new(addresses: ReplicaAddresses, key: DeploymentKey, tasks: TaskTracker) -> Self {
        Self { addresses, key, tasks, queues: Mutex::default() }
    }

    /// Closes all queues, which closes the connections.
    pub fn close(&self) {
        self.queues.lock().expect("no thread panics while it holds the lock").clear();
    }

    fn start_sender(&self, name: &str) -> mpsc::Sender<Bytes> {
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        let peer = PeerSender { name: name.into(), addresses: self.addresses.clone(), queue };
        self.tasks.spawn(peer.run());
        sender
    }
}

impl ReplicaTransport for TcpTransport {
    fn send(&self, peer: &str, message: RaftMessage) {
        if self.tasks.is_closed() {
            return;
        }
        let bytes = match encode_authenticated(&self.key, MessageChannel::Replica, &message) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                warn!("log: cannot encode a message to {peer}: {e}");
                return;
            }
        };
        let mut queues = self.queues.lock().expect("no thread panics while it holds the lock");
        let queue =
            queues.entry(peer.to_string()).or_insert_with_key(|name| self.start_sender(name));
        // A full queue means that the peer is too slow. The log resends the dropped messages that
        // are still needed.
        let _ = queue.try_send(bytes);
    }
}
