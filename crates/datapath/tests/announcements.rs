//! Announcements of a backend server: cold start, expiry, drain and outdated announcements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tarragon_datapath::backend::AnnouncementTracker;
use tarragon_kernel::Kernel;
use tarragon_kernel::Service;
use tarragon_model::api::Announcement;
use tarragon_model::api::ServerDeparture;
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

fn departure(id: &str, started_at_ms: u64) -> ServerDeparture {
    ServerDeparture { id: id.into(), started_at_ms }
}

/// Announces every 500 ms for the given time, as a running backend server does.
async fn announce_repeatedly(announcements: &AnnouncementTracker, duration_ms: u64) {
    for _ in 0..duration_ms / 500 {
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
    running.await.expect("the service does not panic").expect("the service ends without error");
}

/// Guards against requests to a backend server that exited without withdrawing its announcement,
/// and against a cold start that is skipped or never ends.
#[tokio::test(start_paused = true)]
async fn a_server_is_starting_then_ready_and_absent_after_its_announcements_stop() {
    with_announcements(|announcements| async move {
        assert_eq!(announcements.current_status().state, BackendState::Absent);
        announce_repeatedly(&announcements, 1_500).await;
        assert_eq!(announcements.current_status().state, BackendState::Starting);
        announce_repeatedly(&announcements, 1_500).await;
        assert_eq!(announcements.current_status().state, BackendState::Ready);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        assert_eq!(announcements.current_status().state, BackendState::Absent);
    })
    .await;
}

/// Guards against a drain that ends when the restarted server announces itself again, and against
/// full load on a server whose cold start has not ended.
#[tokio::test(start_paused = true)]
async fn a_drain_outlasts_a_server_restart_and_ends_with_a_cold_start() {
    with_announcements(|announcements| async move {
        announce_repeatedly(&announcements, 3_000).await;
        announcements.set_drain(true);
        assert_eq!(announcements.current_status().state, BackendState::Draining);
        tokio::time::sleep(Duration::from_secs(60)).await;
        announce_repeatedly(&announcements, 3_000).await;
        assert_eq!(announcements.current_status().state, BackendState::Draining);
        announcements.set_drain(false);
        assert_eq!(announcements.current_status().state, BackendState::Starting);
    })
    .await;
}

/// Announcement of the server process that started at a time.
fn identified_announcement(started_at_ms: u64, sequence: u64, draining: bool) -> Announcement {
    let id = format!("server-{started_at_ms}");
    let server = Some(ServerIdentity { id, started_at_ms, sequence });
    Announcement { draining, cold_start_ms: 0, server, ..announcement() }
}

/// Guards against a delayed announcement of an earlier server process, or an older one of the same
/// process, that changes the current status.
#[tokio::test(start_paused = true)]
async fn an_outdated_announcement_changes_nothing() {
    with_announcements(|announcements| async move {
        assert!(announcements.announce(identified_announcement(1_000, 7, false)));
        assert!(!announcements.announce(identified_announcement(1_000, 6, true)));
        assert_eq!(announcements.current_status().state, BackendState::Ready);
        assert!(announcements.announce(identified_announcement(2_000, 0, false)));
        assert!(!announcements.announce(identified_announcement(1_000, 8, true)));
        let status = announcements.current_status();
        assert_eq!(status.state, BackendState::Ready);
        assert_eq!(status.server_id.as_deref(), Some("server-2000"));
    })
    .await;
}

/// Guards against new requests to a server process that has left and still announces itself.
#[tokio::test(start_paused = true)]
async fn a_server_that_left_stays_draining_until_a_later_one_starts() {
    with_announcements(|announcements| async move {
        announcements.announce(identified_announcement(1_000, 7, false));
        assert!(!announcements.current_status().is_leaving);
        assert!(announcements.mark_leaving(&departure("server-1000", 1_000)));
        assert_eq!(announcements.current_status().state, BackendState::Draining);
        assert!(announcements.current_status().is_leaving);
        assert!(!announcements.announce(identified_announcement(1_000, 8, false)));
        assert_eq!(announcements.current_status().state, BackendState::Draining);
        assert!(announcements.announce(identified_announcement(2_000, 0, false)));
        assert_eq!(announcements.current_status().state, BackendState::Ready);
        assert!(!announcements.mark_leaving(&departure("server-1000", 1_000)));
        assert_eq!(announcements.current_status().state, BackendState::Ready);
    })
    .await;
}

/// Guards against new work for a backend server that has left: its departure is the first that a
/// node hears after its own restart, and announcements that were sent before arrive later.
#[test]
fn a_departure_before_the_first_announcement_is_remembered() {
    let identity =
        |started_at_ms, sequence| ServerIdentity { id: "i-7".into(), started_at_ms, sequence };
    let announce = |announcements: &AnnouncementTracker, started_at_ms, sequence| {
        let server = Some(identity(started_at_ms, sequence));
        announcements.announce(Announcement { cold_start_ms: 0, server, ..announcement() })
    };
    let restarted = AnnouncementTracker::default();
    assert!(!restarted.mark_leaving(&departure("i-7", 5_000)), "the process is not known yet");
    assert!(!announce(&restarted, 5_000, 9), "a late announcement of the departed process");
    assert_eq!(restarted.current_status().state, BackendState::Absent);
    assert!(announce(&restarted, 6_000, 1), "its successor with the same id");
    assert_eq!(restarted.current_status().state, BackendState::Ready);

    // The same for a successor whose announcements were all delayed.
    let announcements = AnnouncementTracker::default();
    assert!(announce(&announcements, 5_000, 9));
    assert!(!announcements.mark_leaving(&departure("i-7", 6_000)));
    assert!(!announce(&announcements, 6_000, 1), "a late announcement of the departed successor");
    assert!(
        !announcements.mark_leaving(&departure("i-7", 4_000)),
        "a late departure of a predecessor"
    );
    assert!(announce(&announcements, 7_000, 1));
}
