use std::any::Any;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;

use error_stack::Report;
use error_stack::ResultExt;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tracing::error;
use tracing::info;

use crate::KernelError;
use crate::Service;

/// Type-erased `Arc` of an interface.
type ErasedInterface = Box<dyn Any + Send + Sync>;

/// Runs the services of the daemon and keeps their interfaces by name.
#[derive(Default)]
pub struct Kernel {
    interfaces: RwLock<HashMap<&'static str, ErasedInterface>>,
}

impl Kernel {
    /// Creates a kernel without interfaces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers an interface under a name, replacing an earlier one of that name.
    pub fn provide<T: ?Sized + Send + Sync + 'static>(&self, name: &'static str, value: Arc<T>) {
        let mut interfaces =
            self.interfaces.write().expect("no thread panics while it holds the lock");
        interfaces.insert(name, Box::new(value));
    }

    /// Returns the interface registered under a name.
    ///
    /// # Errors
    /// `NotProvided` if no interface has this name, `WrongType` if it has another type than `T`.
    pub fn find<T: ?Sized + Send + Sync + 'static>(
        &self,
        name: &str,
    ) -> Result<Arc<T>, Report<KernelError>> {
        let interfaces = self.interfaces.read().expect("no thread panics while it holds the lock");
        let interface = interfaces
            .get(name)
            .ok_or_else(|| Report::new(KernelError::NotProvided(name.into())))?;
        interface
            .downcast_ref::<Arc<T>>()
            .cloned()
            .ok_or_else(|| Report::new(KernelError::WrongType(name.into())))
    }

    /// Runs the services until `stop` is cancelled or one of them fails, and joins all of them.
    ///
    /// # Errors
    /// Returns the failure of the first service that failed, after all services have stopped.
    pub async fn run(
        self: Arc<Self>,
        services: Vec<Arc<dyn Service>>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let mut tasks = JoinSet::new();
        for service in services {
            let kernel = Arc::clone(&self);
            let child_stop = stop.child_token();
            tasks.spawn(async move {
                let name = service.name();
                let result = service.run(kernel, child_stop).await;
                (name, result)
            });
        }
        let mut first_failure = Ok(());
        while let Some(joined) = tasks.join_next().await {
            let (name, result) = match joined {
                Ok((name, result)) => (name, result),
                Err(e) => ("task", Err(Report::new(KernelError::ServiceFailed(e.to_string())))),
            };
            match result {
                Ok(()) => info!("kernel: service {name} stopped"),
                Err(report) => {
                    error!("kernel: service {name} failed: {report:?}");
                    stop.cancel();
                    if first_failure.is_ok() {
                        first_failure = Err(report)
                            .change_context(KernelError::ServiceFailed(name.to_string()));
                    }
                }
            }
        }
        first_failure
    }
}
