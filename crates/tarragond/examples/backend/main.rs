//! Stand-in backend server for examples and tests.
//!
//! It announces itself to the node on its host, responds after a simulated service time, and calls
//! other services through the exit of the node. `POST /fault` with a JSON body sets a fault.

mod announcer;
mod args;
mod outgoing;
mod simulated_server;

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use clap::Parser;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::announcer::Announcer;
use crate::args::Args;
use crate::simulated_server::SimulatedServer;

type TextResponse = Response<Full<Bytes>>;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Arc::new(Args::parse());
    let listener = TcpListener::bind(args.listen).await?;
    let server = Arc::new(SimulatedServer::new(&args));
    let announcer = Announcer::new(&args);
    let mut tasks = JoinSet::new();
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut announce_interval = tokio::time::interval(announcer.interval());
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                stream.set_nodelay(true)?;
                let server = Arc::clone(&server);
                let args = Arc::clone(&args);
                tasks.spawn(async move {
                    let service = service_fn(move |request| {
                        handle(request, Arc::clone(&args), Arc::clone(&server))
                    });
                    let io = TokioIo::new(stream);
                    // Connection errors are ignored; the caller handles them.
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(io, service)
                        .await;
                });
            }
            _ = announce_interval.tick() => announcer.announce().await,
            _ = terminate.recv() => break,
        }
    }
    announcer.withdraw().await;
    tasks.shutdown().await;
    Ok(())
}

/// Handles one request: sets a fault, reports the load, or simulates the service.
async fn handle(
    request: Request<Incoming>,
    args: Arc<Args>,
    server: Arc<SimulatedServer>,
) -> Result<TextResponse, Infallible> {
    if request.uri().path() == "/fault" {
        return Ok(set_fault(request, &server).await);
    }
    if request.uri().path() == "/load" {
        return Ok(text_response(StatusCode::OK, server.delayed_load_report()));
    }
    let context = outgoing::context_headers(request.headers());
    let mut body = request.into_body();
    let mut received_bytes = 0;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => received_bytes += frame.data_ref().map_or(0, Bytes::len),
            Err(_) => {
                return Ok(text_response(StatusCode::BAD_REQUEST, "incomplete body\n".into()))
            }
        }
    }
    server.serve_request().await;
    let mut text = format!("{} received {received_bytes} bytes\n", args.name);
    for call in &args.calls {
        match outgoing::call_service(&args, call, &context).await {
            Ok(response) => text.push_str(&format!("  {response}")),
            Err(e) => return Ok(text_response(StatusCode::BAD_GATEWAY, format!("{call}: {e}\n"))),
        }
    }
    Ok(text_response(StatusCode::OK, text))
}

async fn set_fault(request: Request<Incoming>, server: &SimulatedServer) -> TextResponse {
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return text_response(StatusCode::BAD_REQUEST, "incomplete body\n".into()),
    };
    match serde_json::from_slice(&body) {
        Ok(fault) => {
            server.set_fault(fault);
            text_response(StatusCode::OK, "fault set\n".into())
        }
        Err(e) => text_response(StatusCode::BAD_REQUEST, format!("{e}\n")),
    }
}

fn text_response(status: StatusCode, text: String) -> TextResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
