//! Refusals of the control API that come before the request has been read to its end.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Cluster;

/// Size of a body within the limit of the API, in bytes.
const ALLOWED_BYTES: usize = 3 << 20;

/// Size of a body over the limit of the API, in bytes.
const EXCESSIVE_BYTES: usize = 6 << 20;

/// Sends a whole request before it reads, and returns the head of the answer.
async fn send_then_read(address: SocketAddr, path: &str, key: &str, length: usize) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: control\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let sent = stream.write_all(&vec![b' '; length]).await;
    assert!(sent.is_ok(), "{path}, {length} bytes: {sent:?}");
    let mut answer = Vec::new();
    while !answer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let count = stream.read_buf(&mut answer).await;
        assert!(matches!(count, Ok(1..)), "{path}, {length} bytes: {count:?}");
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against refusals that are lost, because the connection is closed with unread bytes of the
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_large_control_requests_arrive() {
    let mut cluster = Cluster::new(&["replica-1", "replica-2", "replica-3"]);
    cluster.start().await;
    let control = cluster["replica-1"].addresses.control;
    let key = cluster.operator.key();
    for (path, key, length, status) in [
        ("/v1/notes", "wrong", ALLOWED_BYTES, "401"),
        ("/v1/notes", &*key, EXCESSIVE_BYTES, "400"),
        ("/v1/drain", &*key, ALLOWED_BYTES, "400"),
        ("/v1/drain", "wrong", ALLOWED_BYTES, "400"),
        ("/v1/control", &*key, ALLOWED_BYTES, "403"),
    ] {
        for _ in 0..5 {
            let answer = send_then_read(control, path, key, length).await;
            assert_eq!(answer.split(' ').nth(1), Some(status), "{path}, {length} bytes: {answer}");
        }
    }
}
