//! Guards against lost services: lookups of missing names, wrong types, and tasks left running.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tokio_util::sync::CancellationToken;

struct Waiter {
    has_ended: AtomicBool,
}

#[async_trait]
impl Service for Waiter {
    fn name(&self) -> &'static str {
        "waiter"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        stop.cancelled().await;
        self.has_ended.store(true, Ordering::SeqCst);
        Ok(())
    }
}

struct Failing;

#[async_trait]
impl Service for Failing {
    fn name(&self) -> &'static str {
        "failing"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        _stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        Err(Report::new(KernelError::NotProvided("clock".into())))
    }
}

#[test]
fn finds_an_interface_by_name_and_type() {
    let kernel = Kernel::new();
    kernel.provide::<str>("greeting", Arc::from("hello"));
    assert_eq!(&*kernel.find::<str>("greeting").unwrap(), "hello");
    let missing = kernel.find::<str>("farewell").unwrap_err();
    assert_eq!(missing.current_context(), &KernelError::NotProvided("farewell".into()));
    let wrong = kernel.find::<u32>("greeting").unwrap_err();
    assert_eq!(wrong.current_context(), &KernelError::WrongType("greeting".into()));
}

#[tokio::test]
async fn a_failing_service_stops_and_joins_the_others() {
    let waiter = Arc::new(Waiter { has_ended: AtomicBool::new(false) });
    let services: Vec<Arc<dyn Service>> = vec![waiter.clone(), Arc::new(Failing)];
    let result = Arc::new(Kernel::new()).run(services, CancellationToken::new()).await;
    let report = result.unwrap_err();
    assert_eq!(report.current_context(), &KernelError::ServiceFailed("failing".into()));
    assert!(waiter.has_ended.load(Ordering::SeqCst));
}
