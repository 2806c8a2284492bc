use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tarragon_datapath::gate::GateHandle;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::support::Cluster;
use crate::support::Node;

/// A node with a thread of its own, which can be paused like a process.
pub struct Host {
    pub caller: SocketAddr,
    gate: GateHandle,
    runtime: Handle,
    node_stop: CancellationToken,
    end: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a node. Its peers connect to the address that `relay` gives, if there is one.
    pub fn start(
        cluster: &Arc<Cluster>,
        name: &'static str,
        backend: Option<SocketAddr>,
        relay: Option<Box<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>>,
    ) -> Self {
        let cluster = Arc::clone(cluster);
        let (sender, started) = mpsc::channel();
        let end = CancellationToken::new();
        let ended = end.clone();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let relay = relay.as_ref().map(|relay| &**relay as &(dyn Fn(_) -> _ + Sync));
                let node: Node = cluster.start_node_behind(name, backend, relay).await;
                let parts = (node.caller, node.gate.clone(), node.stop.clone(), Handle::current());
                sender.send(parts).unwrap();
                ended.cancelled().await;
            });
            // Drops all tasks of the node, and its connections.
            drop(runtime);
        });
        let (caller, gate, node_stop, runtime) = started.recv().unwrap();
        Self { caller, gate, runtime, node_stop, end, thread: Some(thread) }
    }

    /// Stands still from now on for this long, as a process does between SIGSTOP and SIGCONT.
    pub fn pause(&self, duration: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(duration) });
    }

    /// Stops the node in the order of a daemon that got SIGTERM.
    pub fn terminate(&self) {
        let (gate, stop) = (self.gate.clone(), self.node_stop.clone());
        self.runtime.spawn(async move {
            gate.wait_until_idle().await;
            stop.cancel();
        });
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end.cancel();
        let thread = self.thread.take().expect("it is taken here only");
        let result = thread.join();
        assert!(result.is_ok() || std::thread::panicking(), "the node's thread panicked");
    }
}
