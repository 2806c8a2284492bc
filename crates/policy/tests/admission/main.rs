//! Guards the admission of a gate.
//!
//! With `TARRAGON_ADMISSION=naive` in the environment the tests run against the naive policy, which
//! shows that they can fail.

mod bench;
mod classes;
mod limit;
mod order;
mod slots;
