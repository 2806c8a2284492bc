use std::fmt;
use std::str::FromStr;

/// What a backend server says about itself in the head of a response.
///
/// The default is the notice of a healthy server: no limit, and not leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerNotice {
    /// Requests per second that the server takes from all nodes together, for as long as it says
    /// so; `None` if it names no limit.
    pub max_requests_per_s: Option<f64>,
    /// Whether the server is about to end. This is final; only a later start of the server takes
    /// requests again.
    pub is_leaving: bool,
}

/// Notice of one start of a backend server, as nodes tell each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedNotice {
    /// Start of the backend server, in ms since 1970. A later start has a notice of its own.
    pub started_at_ms: u64,
    /// Latest notice of that start.
    pub notice: ServerNotice,
}

impl fmt::Display for ReportedNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ServerNotice { max_requests_per_s, is_leaving } = self.notice;
        write!(f, "{}:{}:", self.started_at_ms, u8::from(is_leaving))?;
        max_requests_per_s.map_or(Ok(()), |rate| write!(f, "{rate}"))
    }
}

impl FromStr for ReportedNotice {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, ':');
        let mut next = || parts.next().ok_or(());
        let started_at_ms = next()?.parse().map_err(|_| ())?;
        let is_leaving = next()? == "1";
        let max_requests_per_s = match next()? {
            "" => None,
            rate => Some(rate.parse().map_err(|_| ())?),
        };
        Ok(Self { started_at_ms, notice: ServerNotice { max_requests_per_s, is_leaving } })
    }
}
