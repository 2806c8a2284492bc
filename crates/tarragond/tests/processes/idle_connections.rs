//! Memory of connections of callers that are open and have no request, against real processes.

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::peak_memory_kib;
use crate::support::Cluster;
use crate::support::MAX_MEMORY_KIB;

/// Number of connections that are opened.
const CONNECTIONS: u64 = 512;

/// Number of connections of callers that a node accepts by default.
const MAX_CALLER_CONNECTIONS: u64 = 4_096;

/// Guards against a node that exceeds its memory with no more callers than it accepts.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_take_their_share_of_the_memory_at_most() {
    let mut cluster = Cluster::new(&["replica-1", "replica-2", "replica-3"]);
    cluster.start().await;
    let node = &cluster["replica-1"];
    let before_kib = peak_memory_kib(node);
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(node.addresses.caller).await.unwrap();
        stream.write_all(b"GET /other HTTP/1.1\r\nhost: counter.test\r\n\r\n").await.unwrap();
        assert!(stream.read(&mut [0; 1_024]).await.unwrap() > 0);
        open.push(stream);
    }
    let taken_kib = peak_memory_kib(node) - before_kib;
    let share_kib = (MAX_MEMORY_KIB - before_kib) * CONNECTIONS / MAX_CALLER_CONNECTIONS;
    println!("{before_kib} KiB before, {taken_kib} KiB for {CONNECTIONS} connections");
    assert!(taken_kib <= share_kib, "{taken_kib} KiB of {share_kib} KiB");
}
