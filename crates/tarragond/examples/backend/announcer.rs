use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_model::api::Announcement;

use crate::args::Args;

/// Time to live of an announcement, in ms; it is repeated three times within it.
const TTL_MS: u64 = 1500;

/// Keeps the announcement at the node alive.
pub struct Announcer {
    control: Option<SocketAddr>,
    announcement: Announcement,
    client: ControlClient,
}

impl Announcer {
    pub fn new(args: &Args) -> Self {
        let announcement = Announcement {
            service: args.service.clone(),
            address: args.listen,
            slots: args.slots,
            cold_start_ms: args.cold_start_ms,
            ttl_ms: TTL_MS,
            draining: false,
            server: None,
        };
        Self { control: args.control, announcement, client: ControlClient::new(None, TTL_MS / 3) }
    }

    pub fn interval(&self) -> Duration {
        Duration::from_millis(TTL_MS / 3)
    }

    pub async fn announce(&self) {
        let body = serde_json::to_vec(&self.announcement).expect("an announcement is JSON");
        self.send(Method::PUT, Bytes::from(body)).await;
    }

    pub async fn withdraw(&self) {
        self.send(Method::DELETE, Bytes::new()).await;
    }

    async fn send(&self, method: Method, body: Bytes) {
        let Some(control) = self.control else { return };
        if let Err(report) = self.client.send(control, method, "/v1/backend", body).await {
            eprintln!("backend: announcement failed: {}", report.current_context());
        }
    }
}
