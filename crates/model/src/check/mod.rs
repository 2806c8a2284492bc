//! Validation of JSON documents that reports every mistake at once.

mod mistake;
mod parse;

pub use mistake::format_mistakes;
pub use mistake::Mistake;
pub use parse::parse_checked;
