//! Types that the tarragonloom packages share.
//!
//! The package performs no I/O. It defines identifiers, the call context and its headers, release
//! notes and their checks, the catalogue that results from them, and the types of the control API.
//! See `docs/design.md`, sections 3 and 5.

pub mod api;
pub mod call;
pub mod catalogue;
pub mod check;
pub mod configuration;
pub mod identity;
pub mod member;
pub mod note;
