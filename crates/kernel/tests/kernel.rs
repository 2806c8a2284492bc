//! Guards against lookups that return a missing or wrong interface, and against services that
//! keep running after another one failed.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tokio_util::sync::CancellationToken;

struct WaitingService {
    has_stopped: AtomicBool,
}

#[async_trait]
impl Service for WaitingService {
    fn name(&self) -> &'static str {
        "waiter"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        stop.cancelled().await;
        self.has_stopped.store(true, Ordering::SeqCst);
        Ok(())
    }
}

struct FailingService;

#[async_trait]
impl Service for FailingService {
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
fn interfaces_are_found_by_name_and_type() {
    let kernel = Kernel::new();
    kernel.provide::<str>("greeting", Arc::from("hello"));
    assert_eq!(&*kernel.find::<str>("greeting").unwrap(), "hello");
    let missing = kernel.find::<str>("farewell").unwrap_err();
    assert_eq!(missing.current_context(), &KernelError::NotProvided("farewell".into()));
    let wrong_type = kernel.find::<u32>("greeting").unwrap_err();
    assert_eq!(wrong_type.current_context(), &KernelError::WrongType("greeting".into()));
}

#[tokio::test]
async fn a_failing_service_stops_and_joins_the_others() {
    let waiter = Arc::new(WaitingService { has_stopped: AtomicBool::new(false) });
    let services: Vec<Arc<dyn Service>> = vec![waiter.clone(), Arc::new(FailingService)];
    let result = Arc::new(Kernel::new()).run(services, CancellationToken::new()).await;
    let report = result.unwrap_err();
    assert_eq!(report.current_context(), &KernelError::ServiceFailed("failing".into()));
    assert!(waiter.has_stopped.load(Ordering::SeqCst));
}
