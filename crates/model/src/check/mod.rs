//! Checks JSON documents as a whole, so that one run reports every mistake.

mod mistake;
mod parse;

pub use mistake::format_mistakes;
pub use mistake::Mistake;
pub use parse::parse_checked;
