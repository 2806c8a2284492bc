use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use error_stack::Report;
use error_stack::ResultExt;
use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tokio_util::sync::CancellationToken;
use tracing_slog::TracingSlogDrain;

use crate::control::api::backend;
use crate::control::api::internal;
use crate::control::api::notes;
use crate::control::api::replicas;
use crate::control::api::status;
use crate::control::api::ApiContext;

/// Maximum size of a request body, in bytes, at endpoints without a limit of their own.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Serves the control API.
pub struct ControlApi {
    server: Mutex<Option<HttpServer<Arc<ApiContext>>>>,
    local_address: SocketAddr,
}

impl ControlApi {
    /// Binds the listener and starts serving.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr, context: ApiContext) -> Result<Self, Report<KernelError>> {
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        // At the level `info`, dropshot logs several lines for each request.
        let drain = LevelFilter::new(TracingSlogDrain, Level::Warning).fuse();
        let log = Logger::root(drain, slog::o!());
        let server = ServerBuilder::new(api_description(), Arc::new(context), log)
            .config(config)
            .start()
            .change_context_lazy(|| {
                KernelError::ServiceFailed(format!("control API at {address}"))
            })?;
        let local_address = server.local_addr();
        Ok(Self { server: Mutex::new(Some(server)), local_address })
    }

    /// Address that the API listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }
}

fn api_description() -> ApiDescription<Arc<ApiContext>> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(backend::announce_backend)
        .and_then(|()| api.register(backend::withdraw_backend))
        .and_then(|()| api.register(backend::start_drain))
        .and_then(|()| api.register(backend::end_drain))
        .and_then(|()| api.register(notes::submit_note))
        .and_then(|()| api.register(notes::list_notes))
        .and_then(|()| api.register(notes::note_status))
        .and_then(|()| api.register(replicas::local_replica))
        .and_then(|()| api.register(replicas::list_replicas))
        .and_then(|()| api.register(replicas::init_replicas))
        .and_then(|()| api.register(replicas::add_replica))
        .and_then(|()| api.register(replicas::remove_replica))
        .and_then(|()| api.register(status::node_status))
        .and_then(|()| api.register(status::list_services))
        .and_then(|()| api.register(status::list_members))
        .and_then(|()| api.register(internal::control_request))
        .and_then(|()| api.register(internal::catalogue_changes))
        .and_then(|()| api.register(internal::full_members))
        .and_then(|()| api.register(internal::departures));
    registered.expect("no two endpoints share a method and a path");
    api
}

#[async_trait]
impl Service for ControlApi {
    fn name(&self) -> &'static str {
        "control-api"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let server = self.server.lock().expect("no thread panics while it holds the lock").take();
        let server = server.expect("the kernel runs a service once");
        stop.cancelled().await;
        server
            .close()
            .await
            .map_err(|e| Report::new(KernelError::ServiceFailed("control-api".into())).attach(e))
    }
}
