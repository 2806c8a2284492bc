//! Responses without end.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tarragon_client::ControlClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Most memory that a node may take, in bytes (docs/design.md, section 1.4). Four responses are read
/// at the same time, each into a buffer that is copied when it grows, beside all else.
const MAX_TAKEN_BYTES: usize = (128 << 20) / 8;

/// Guards against a node that runs out of memory because a faulty peer sends a response of the control
/// API without end.
#[tokio::test]
async fn a_response_without_end_is_given_up_after_a_bounded_number_of_bytes() {
    for head in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 "] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(head.as_bytes()).await;
            let piece = [b'x'; 16 << 10];
            let mut taken_bytes = 0;
            while stream.write_all(&piece).await.is_ok() {
                taken_bytes += piece.len();
            }
            taken_bytes
        });
        let client = ControlClient::new(None, 20_000);
        let response = client.send(address, Method::GET, "/v1/members/full", Bytes::new());
        let response = tokio::time::timeout(Duration::from_secs(30), response).await;
        assert!(response.is_ok_and(|response| response.is_err()), "{head:?}");
        drop(client);
        let taken_bytes = server.await.expect("the server does not panic");
        assert!(taken_bytes < MAX_TAKEN_BYTES, "{head:?}: {taken_bytes} bytes were taken");
    }
}
