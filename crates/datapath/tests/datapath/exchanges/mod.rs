//! A matrix of exchanges: what a client sends is compared, byte for byte, with what the backend server
//! gets, and what the server answers with what the client gets, while one of the parties is slow, early
//! or stands still.
//!
//! `TARRAGON_SEED` draws other rows, and `TARRAGON_EXCHANGES` more of them.

mod client;
mod host;
mod matrix;
mod play;
mod row;
mod rows;
mod sent_request;
mod server;
mod verdict;
mod wire;

pub use crate::exchanges::play::play;
pub use crate::exchanges::row::AnswerAfter;
pub use crate::exchanges::row::At;
pub use crate::exchanges::row::Client;
pub use crate::exchanges::row::FirstTry;
pub use crate::exchanges::row::Framing;
pub use crate::exchanges::row::Meanwhile;
pub use crate::exchanges::row::Pace;
pub use crate::exchanges::row::Path;
pub use crate::exchanges::row::Row;
pub use crate::exchanges::row::METHODS;
pub use crate::exchanges::wire::Head;
pub use crate::exchanges::wire::Part;
pub use crate::exchanges::wire::Reader;
pub use crate::exchanges::wire::Rest;
