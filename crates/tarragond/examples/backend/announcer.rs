use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_model::api::Announcement;

use crate::args::Args;

/// Time to live of an announcement, in ms; it is renewed three times within this time.
const ANNOUNCEMENT_TTL_MS: u64 = 1500;

/// Announces the server to the node on its host and renews the announcement.
pub struct Announcer {
    control_address: Option<SocketAddr>,
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
            ttl_ms: ANNOUNCEMENT_TTL_MS,
            draining: false,
            server: None,
        };
        Self {
            control_address: args.control,
            announcement,
            client: ControlClient::new(None, ANNOUNCEMENT_TTL_MS / 3),
        }
    }

    pub fn interval(&self) -> Duration {
        Duration::from_millis(ANNOUNCEMENT_TTL_MS / 3)
    }

    pub async fn announce(&self) {
        let body = serde_json::to_vec(&self.announcement).expect("announcements can be serialized");
        self.send(Method::PUT, Bytes::from(body)).await;
    }

    pub async fn withdraw(&self) {
        self.send(Method::DELETE, Bytes::new()).await;
    }

    async fn send(&self, method: Method, body: Bytes) {
        let Some(control_address) = self.control_address else { return };
        if let Err(report) = self.client.send(control_address, method, "/v1/backend", body).await {
            eprintln!("backend: announcement failed: {}", report.current_context());
        }
    }
}
