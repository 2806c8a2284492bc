/// What a backend server says about itself in the head of a response.
///
/// The default is what a server says that is well: no limit, and not leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerNotice {
    /// Requests per second that the server takes from all nodes together, for as long as it says
    /// so; `None` if it names no limit.
    pub max_requests_per_s: Option<f64>,
    /// Whether the server is about to end. A server that once said so leaves; only a new start of
    /// it takes requests again.
    pub is_leaving: bool,
}
