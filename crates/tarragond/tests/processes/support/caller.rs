use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::support::Daemon;

/// A call for the service of the fake backend servers.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    pub outcome: String,
    pub text: String,
}

impl Call {
    pub fn view(path: &str) -> Self {
        Self { method: "GET", path: path.into(), key: None }
    }

    /// A non-idempotent call with a key.
    pub fn weigh(path: &str, key: &str) -> Self {
        Self { method: "POST", path: path.into(), key: Some(key.into()) }
    }

    /// Sends the call through a node.
    ///
    /// # Errors
    /// No connection, or no whole answer.
    pub async fn send(&self, node: &Daemon) -> Result<Reply, String> {
        self.send_to(node.at.caller).await
    }

    /// Sends the call to the address of an entry.
    ///
    /// # Errors
    /// No connection, or no whole answer.
    pub async fn send_to(&self, entry: SocketAddr) -> Result<Reply, String> {
        let mut request = Request::builder().method(self.method).uri(&self.path);
        request = request.header("host", "counter.test");
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let text = |e: &dyn std::error::Error| e.to_string();
        let stream = TcpStream::connect(entry).await.map_err(|e| text(&e))?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| text(&e))?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|e| text(&e))?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| text(&e))?.to_bytes();
            let outcome = head.headers.get("tarragon-outcome");
            Ok(Reply {
                outcome: outcome.map_or("", |value| value.to_str().unwrap()).into(),
                text: String::from_utf8(body.to_vec()).unwrap(),
            })
        };
        // The connection ends with the call, also when the call is dropped.
        tokio::pin!(connection);
        tokio::pin!(exchange);
        tokio::select! {
            reply = &mut exchange => reply,
            _ = &mut connection => exchange.await,
        }
    }

    /// Sends the call, once more if it fails, and returns the answer of a backend server.
    ///
    /// # Panics
    /// Both attempts failed.
    pub async fn answered(&self, node: &Daemon) -> Reply {
        let first = self.send(node).await;
        match first {
            Ok(reply) if reply.outcome == "answered" => reply,
            failed => {
                let second = self.send(node).await;
                match second {
                    Ok(reply) if reply.outcome == "answered" => reply,
                    again => panic!("{self:?} through {}: {failed:?}, {again:?}", node.name),
                }
            }
        }
    }
}

/// Sends an idempotent call through a node, see [`Call::answered`].
pub async fn call(node: &Daemon, path: &str) -> Reply {
    Call::view(path).answered(node).await
}

/// Obtains a key for a non-idempotent call from a node.
pub async fn issued_key(node: &Daemon) -> String {
    let path = "/tarragon/keys?service=counter&count=1".into();
    let reply = Call { method: "POST", path, key: None }.send(node).await.unwrap();
    let answer: serde_json::Value = serde_json::from_str(&reply.text).unwrap();
    answer["keys"][0].as_str().unwrap().to_string()
}
