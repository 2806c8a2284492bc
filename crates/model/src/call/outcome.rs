use std::fmt;
use std::str::FromStr;

use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// What a caller may conclude from an answer, see `docs/design.md`, section 3.1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer of the backend server.
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
            /// All reasons, for documentation and tests.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Value of the reason header.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The outcome that this reason explains.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// HTTP status of the answer.
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
    /// The gate shed the request because of its importance.
    Shed = "shed", NotRun, SERVICE_UNAVAILABLE;
    /// The deadline cannot be met.
    Late = "late", NotRun, SERVICE_UNAVAILABLE;
    /// The backend server takes no new work.
    Draining = "draining", NotRun, SERVICE_UNAVAILABLE;
    /// The attempt was fenced before it started.
    Fenced = "fenced", NotRun, SERVICE_UNAVAILABLE;
    /// The backend server refused the request without running it.
    Rejected = "rejected", NotRun, SERVICE_UNAVAILABLE;
    /// The node does not know yet what is in force.
    NotReady = "not-ready", NotRun, SERVICE_UNAVAILABLE;
    /// The caller repeats requests faster than allowed.
    Throttled = "throttled", NotRun, TOO_MANY_REQUESTS;
    /// The key belongs to another caller or another request.
    KeyMismatch = "key-mismatch", NotRun, CONFLICT;
    /// The owner of the key is draining; the key is void and a new one is needed.
    KeyVoid = "key-void", NotRun, SERVICE_UNAVAILABLE;
    /// The key cannot be claimed without a majority of the control replicas; an earlier copy of the
    /// request may have claimed it and run.
    ClaimUnavailable = "claim-unavailable", Unknown, BAD_GATEWAY;
    /// The owner of the key cannot be asked; an earlier copy of the request may have run there.
    OwnerUnreachable = "owner-unreachable", Unknown, BAD_GATEWAY;
    /// The owner of the key is gone, or its answer is no longer kept.
    KeyUnknown = "key-unknown", Unknown, BAD_GATEWAY;
    /// The connection to the node or the backend server broke after the request was sent.
    ConnectionLost = "connection-lost", Unknown, BAD_GATEWAY;
    /// The backend server's answer was malformed.
    BadAnswer = "bad-answer", Unknown, BAD_GATEWAY;
    /// The deadline passed while the request was running.
    DeadlinePassed = "deadline-passed", Unknown, GATEWAY_TIMEOUT;
    /// The addressed instance of the node no longer exists.
    WrongInstance = "wrong-instance", Unknown, BAD_GATEWAY;
}

impl Reason {
    /// Whether the request was refused because there was no room for it in its time.
    pub fn is_overload(self) -> bool {
        matches!(self, Self::Shed | Self::Late)
    }

    /// Whether a backend server may have seen the request, so that sending it again adds to the
    /// work of the service.
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
