use std::fmt;
use std::str::FromStr;

use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// What a caller may conclude from a response, see `docs/design.md`, section 3.1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The caller got the complete response of the backend server.
    Answered,
    /// The request did not run and no late copy of it can run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Outcome {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Answered, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or(())
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $outcome:ident, $status:ident;)*) => {
        /// Why a request has an outcome other than `answered`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Reason { $($(#[$doc])* $name,)* }

        impl Reason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Value of the reason header.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Outcome of a request that ends for this reason.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// HTTP status of the response.
            pub fn status(self) -> StatusCode {
                match self { $(Self::$name => StatusCode::$status,)* }
            }
        }
    };
}

reasons! {
    /// No service of this name is in the catalogue.
    UnknownService = "unknown-service", NotRun, NOT_FOUND;
    /// No operation of the service matches method and path.
    UnknownOperation = "unknown-operation", NotRun, NOT_FOUND;
    /// The request or its context is malformed.
    BadRequest = "bad-request", NotRun, BAD_REQUEST;
    /// The call chain is deeper than the limit.
    TooDeep = "too-deep", NotRun, BAD_REQUEST;
    /// No backend server of the service can be reached.
    NoServer = "no-server", NotRun, SERVICE_UNAVAILABLE;
    /// The gate shed the request because of its low importance.
    Shed = "shed", NotRun, SERVICE_UNAVAILABLE;
    /// The deadline cannot be met.
    Late = "late", NotRun, SERVICE_UNAVAILABLE;
    /// The backend server accepts no new requests.
    Draining = "draining", NotRun, SERVICE_UNAVAILABLE;
    /// The attempt was fenced before it started.
    Fenced = "fenced", NotRun, SERVICE_UNAVAILABLE;
    /// The backend server refused the request without running it.
    Rejected = "rejected", NotRun, SERVICE_UNAVAILABLE;
    /// The node is starting: it does not serve callers yet, or does not have the configuration yet.
    NotReady = "not-ready", NotRun, SERVICE_UNAVAILABLE;
    /// The caller repeats requests more often than allowed.
    Throttled = "throttled", NotRun, TOO_MANY_REQUESTS;
    /// Backend servers crashed each time they ran the request, so it does not run for a while.
    Quarantined = "quarantined", NotRun, SERVICE_UNAVAILABLE;
    /// The key belongs to another caller or another request.
    KeyMismatch = "key-mismatch", NotRun, CONFLICT;
    /// The owner of the key runs no request with it, for example because it is draining or its key
    /// table is full; the request needs a new key.
    KeyVoid = "key-void", NotRun, SERVICE_UNAVAILABLE;
    /// The key cannot be claimed without a majority of the control replicas; an earlier copy of the
    /// request may have claimed it and run.
    ClaimUnavailable = "claim-unavailable", Unknown, BAD_GATEWAY;
    /// The owner of the key cannot be reached; an earlier copy of the request may have run there.
    OwnerUnreachable = "owner-unreachable", Unknown, BAD_GATEWAY;
    /// The owner of the key no longer exists, or no longer stores the response.
    KeyUnknown = "key-unknown", Unknown, BAD_GATEWAY;
    /// The connection to the node or the backend server broke after the request was sent.
    ConnectionLost = "connection-lost", Unknown, BAD_GATEWAY;
    /// The response of the backend server was malformed.
    BadAnswer = "bad-answer", Unknown, BAD_GATEWAY;
    /// The deadline passed while the request was running.
    DeadlinePassed = "deadline-passed", Unknown, GATEWAY_TIMEOUT;
    /// The addressed instance of the node no longer exists.
    WrongInstance = "wrong-instance", Unknown, BAD_GATEWAY;
}

impl Reason {
    /// Whether the request was refused because of missing capacity within its deadline.
    pub fn is_overload(self) -> bool {
        matches!(self, Self::Shed | Self::Late)
    }

    /// Whether a backend server may have received the request, so that a retry adds to the load of
    /// the service.
    pub fn may_have_reached_server(self) -> bool {
        self.outcome() == Outcome::Unknown || self == Self::Rejected
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Reason {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.iter().copied().find(|reason| reason.as_str() == text).ok_or(())
    }
}
