use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tarragon_wire::DeploymentKey;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Builds the body of the response to each request.
pub type BodyBuilder = Arc<dyn Fn() -> Vec<u8> + Send + Sync>;

/// Control API of another node, which can go silent or send slowly.
pub struct FakePeer {
    pub address: SocketAddr,
    /// Connections that are opened under another number than the current one never answer again.
    epoch: watch::Sender<u64>,
    /// Pause before each byte of the body of a response, in ms; 0 sends it at once.
    pause_ms: watch::Sender<u64>,
    _accepting: JoinSet<()>,
}

/// Epoch in which no connection answers.
const PAUSED: u64 = u64::MAX;

impl FakePeer {
    pub async fn start(body: BodyBuilder) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (epoch, epoch_receiver) = watch::channel(0);
        let (pause_ms, pause_receiver) = watch::channel(0);
        let mut accepting = JoinSet::new();
        accepting.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (epoch, pause_ms) = (epoch_receiver.clone(), pause_receiver.clone());
                connections.spawn(answer(stream, Arc::clone(&body), epoch, pause_ms));
            }
        });
        Self { address, epoch, pause_ms, _accepting: accepting }
    }

    /// Silences all open connections without closing them; new ones work.
    pub fn silence_connections(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Silences all connections, also new ones, like a host that is paused.
    pub fn pause(&self) {
        self.epoch.send_replace(PAUSED);
    }

    /// Sends the bodies of responses slowly, like a host behind a narrow link.
    pub fn pause_between_bytes(&self, pause_ms: u64) {
        self.pause_ms.send_replace(pause_ms);
    }
}

/// Key that the fake peers and the tested services share.
pub fn deployment_key() -> DeploymentKey {
    DeploymentKey::from_text("a key of the tests")
}

/// Record of a member whose every address is the given one.
pub fn member_record(index: usize, data_centre: &str, address: SocketAddr) -> MemberRecord {
    MemberRecord {
        node: format!("host-{index}"),
        instance: InstanceId(index as u64 + 1),
        data_centre: data_centre.into(),
        region: "region".into(),
        gossip_address: address,
        peer_address: address,
        control_address: address,
        replica_address: None,
        service: String::new(),
        state: BackendState::Ready,
        version: 1,
        revision: 0,
    }
}

/// Answers the requests of one connection.
async fn answer(
    mut stream: TcpStream,
    body: BodyBuilder,
    epoch: watch::Receiver<u64>,
    pause_ms: watch::Receiver<u64>,
) {
    let opened_in = *epoch.borrow();
    let mut request = Vec::new();
    loop {
        match stream.read_buf(&mut request).await {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return,
            Err(e) => panic!("reading a request failed: {e}"),
        }
        let is_silent = *epoch.borrow() != opened_in || opened_in == PAUSED;
        if is_silent || !is_complete(&request) {
            continue;
        }
        request.clear();
        let body = body();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let pause = Duration::from_millis(*pause_ms.borrow());
        let piece_bytes = if pause.is_zero() { body.len() } else { 1 };
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        for piece in body.chunks(piece_bytes) {
            tokio::time::sleep(pause).await;
            if stream.write_all(piece).await.is_err() {
                return;
            }
        }
    }
}

/// Whether the bytes hold a whole request.
fn is_complete(request: &[u8]) -> bool {
    let Some(head_end) = request.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&request[..head_end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let body_bytes = length.map_or(0, |length| length.parse().expect("the length is a number"));
    request.len() >= head_end + 4 + body_bytes
}
