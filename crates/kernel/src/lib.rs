//! Micro-kernel of the daemon.
//!
//! The kernel starts the services in order and joins all of them before it returns, so that no task
//! outlives its parent. Services look up each other's interfaces by name. See `docs/design.md`,
//! section 2.4.

mod kernel;
mod kernel_error;
mod service;

pub use kernel::Kernel;
pub use kernel_error::KernelError;
pub use service::Service;
