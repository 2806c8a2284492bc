//! Micro-kernel of the daemon.
//!
//! Services are started in order, find each other's interfaces by name, and are all joined before
//! the kernel returns, so that no task outlives its parent. See `docs/design.md`, section 2.4.

mod kernel;
mod kernel_error;
mod service;

pub use kernel::Kernel;
pub use kernel_error::KernelError;
pub use service::Service;
