//! Tests of the announcements of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tarragon_datapath::backend::AnnouncementTracker;
use tarragon_kernel::Kernel;
use tarragon_kernel::Service;
use tarragon_model::api::Announcement;
use tarragon_model::api::ServerIdentity;
use tarragon_model::member::BackendState;
use tokio_util::sync::CancellationToken;

fn announcement() -> Announcement {
    Announcement {
        service: "ripewatch".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9001)),
        slots: 75,
        cold_start_ms: 2_000,
        ttl_ms: 1_000,
        draining: false,
        server: None,
    }
}

/// Announces repeatedly for a time, like a live backend server.
async fn keep_alive(announcements: &AnnouncementTracker, time_ms: u64) {
    for _ in 0..time_ms / 500 {
        announcements.announce(announcement());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

async fn with_announcements<F: std::future::Future>(
    run: impl FnOnce(Arc<AnnouncementTracker>) -> F,
) {
    let announcements = Arc::new(AnnouncementTracker::default());
    let stop = CancellationToken::new();
    let service = Arc::clone(&announcements);
    let running = tokio::spawn(service.run(Arc::new(Kernel::new()), stop.clone()));
    run(announcements).await;
    stop.cancel();
    running.await.expect("the service does not panic").expect("the service ends well");
}

/// Guards against work for a backend server that died without a word, and against a cold start
/// that is skipped or never ends.
#[tokio::test(start_paused = true)]
async fn a_server_starts_cold_becomes_ready_and_is_withdrawn_when_it_falls_silent() {
    with_announcements(|announcements| async move {
        assert_eq!(announcements.current_status().state, BackendState::Absent);
        keep_alive(&announcements, 1_500).await;
        assert_eq!(announcements.current_status().state, BackendState::Starting);
        keep_alive(&announcements, 1_500).await;
        assert_eq!(announcements.current_status().state, BackendState::Ready);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        assert_eq!(announcements.current_status().state, BackendState::Absent);
    })
    .await;
}

/// Guards against a drain that ends when the cleaned server announces itself again, and against
/// full load on a server that comes back cold.
#[tokio::test(start_paused = true)]
async fn a_drain_outlives_the_server_and_ends_with_a_cold_start() {
    with_announcements(|announcements| async move {
        keep_alive(&announcements, 3_000).await;
        announcements.set_drain(true);
        assert_eq!(announcements.current_status().state, BackendState::Draining);
        tokio::time::sleep(Duration::from_secs(60)).await;
        keep_alive(&announcements, 3_000).await;
        assert_eq!(announcements.current_status().state, BackendState::Draining);
        announcements.set_drain(false);
        assert_eq!(announcements.current_status().state, BackendState::Starting);
    })
    .await;
}

fn from_start(started_at_ms: u64, sequence: u64, draining: bool) -> Announcement {
    let id = format!("server-{started_at_ms}");
    let server = Some(ServerIdentity { id, started_at_ms, sequence });
    Announcement { draining, cold_start_ms: 0, server, ..announcement() }
}

/// Guards against an announcement that was held up on its way and revives or drains a later start.
#[tokio::test(start_paused = true)]
async fn an_outdated_announcement_changes_nothing() {
    with_announcements(|announcements| async move {
        assert!(announcements.announce(from_start(1_000, 7, false)));
        assert!(!announcements.announce(from_start(1_000, 6, true)));
        assert_eq!(announcements.current_status().state, BackendState::Ready);
        assert!(announcements.announce(from_start(2_000, 0, false)));
        assert!(!announcements.announce(from_start(1_000, 8, true)));
        let present = announcements.current_status();
        assert_eq!(present.state, BackendState::Ready);
        assert_eq!(present.server_id.as_deref(), Some("server-2000"));
    })
    .await;
}

/// Guards against new work for a start that has left and still announces itself.
#[tokio::test(start_paused = true)]
async fn a_start_that_left_stays_drained_until_a_later_one_comes() {
    with_announcements(|announcements| async move {
        announcements.announce(from_start(1_000, 7, false));
        assert!(announcements.mark_leaving("server-1000", Some(1_000)));
        assert_eq!(announcements.current_status().state, BackendState::Draining);
        assert!(!announcements.announce(from_start(1_000, 8, false)));
        assert_eq!(announcements.current_status().state, BackendState::Draining);
        assert!(announcements.announce(from_start(2_000, 0, false)));
        assert_eq!(announcements.current_status().state, BackendState::Ready);
        assert!(!announcements.mark_leaving("server-1000", Some(1_000)));
        assert_eq!(announcements.current_status().state, BackendState::Ready);
    })
    .await;
}
