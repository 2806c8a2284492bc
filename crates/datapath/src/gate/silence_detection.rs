use std::error::Error;
use std::io;
use std::io::ErrorKind;
use std::time::Duration;

use hyper::body::Body as HttpBody;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time after which a connection is closed if the operating system of the backend server does not
/// acknowledge the bytes of a request. The server runs on the same host, where an acknowledgement
/// takes well under a millisecond, also while the server itself is busy or paused. Linux sends
/// unacknowledged bytes again after 200 ms at the earliest.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without traffic after which a connection is probed, and interval of the probes. Linux takes
/// whole seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Maximum size of a small body, in bytes. It fits into the receive buffer of a connection on which
/// all earlier requests have been answered, so it is acknowledged before the server reads it.
const MAX_SMALL_BODY_BYTES: u64 = 8 << 10;

/// Size of the body of a request, which determines when a connection without acknowledgements is
/// silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodySize {
    /// The operating system of the backend server acknowledges the whole request at once.
    Small,
    /// The backend server may read slowly, and what does not fit into its receive buffer stays
    /// unacknowledged for as long.
    Large,
}

impl BodySize {
    pub(crate) fn of(body: &impl HttpBody) -> Self {
        let is_small = body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_SMALL_BODY_BYTES);
        if is_small {
            Self::Small
        } else {
            Self::Large
        }
    }
}

/// Has the operating system close the connection when the network has lost track of it. Without
/// this, a request on it waits for its deadline, although new connections work. See
/// docs/incidents/2026-12-05-silent-connections.md.
///
/// # Errors
/// The operating system refuses a socket option.
pub(crate) fn enable(stream: &TcpStream, body_size: BodySize) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    if body_size == BodySize::Small {
        socket.set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT))?;
    }
    Ok(())
}

/// Whether a connection failed because it was silent.
pub(crate) fn is_cause_of(error: &hyper::Error) -> bool {
    let mut cause = error.source();
    while let Some(error) = cause {
        if error.downcast_ref::<io::Error>().is_some_and(|e| e.kind() == ErrorKind::TimedOut) {
            return true;
        }
        cause = error.source();
    }
    false
}
