//! Stand-in backend server for examples and tests.
//!
//! It announces itself to the node on its host, answers after a service time, and calls other
//! services through the node's exit. Faults are set by `POST /fault` with a JSON body.

mod announcer;
mod args;
mod behaviour;
mod outgoing;

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
use crate::behaviour::Behaviour;

type Answer = Response<Full<Bytes>>;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Arc::new(Args::parse());
    let listener = TcpListener::bind(args.listen).await?;
    let behaviour = Arc::new(Behaviour::new(&args));
    let announcer = Announcer::new(&args);
    let mut tasks = JoinSet::new();
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut announce_interval = tokio::time::interval(announcer.interval());
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                stream.set_nodelay(true)?;
                let behaviour = Arc::clone(&behaviour);
                let args = Arc::clone(&args);
                tasks.spawn(async move {
                    let service = service_fn(move |request| {
                        handle(request, Arc::clone(&args), Arc::clone(&behaviour))
                    });
                    let io = TokioIo::new(stream);
                    // A connection that breaks is the caller's business.
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

/// Answers one request.
async fn handle(
    request: Request<Incoming>,
    args: Arc<Args>,
    behaviour: Arc<Behaviour>,
) -> Result<Answer, Infallible> {
    if request.uri().path() == "/fault" {
        return Ok(set_fault(request, &behaviour).await);
    }
    if request.uri().path() == "/load" {
        return Ok(answer(StatusCode::OK, behaviour.late_load_report()));
    }
    let context = outgoing::context_headers(request.headers());
    let mut body = request.into_body();
    let mut received_bytes = 0;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => received_bytes += frame.data_ref().map_or(0, Bytes::len),
            Err(_) => return Ok(answer(StatusCode::BAD_REQUEST, "body cut short\n".into())),
        }
    }
    behaviour.run().await;
    let mut text = format!("{} received {received_bytes} bytes\n", args.name);
    for call in &args.calls {
        match outgoing::call(&args, call, &context).await {
            Ok(nested) => text.push_str(&format!("  {nested}")),
            Err(e) => return Ok(answer(StatusCode::BAD_GATEWAY, format!("{call}: {e}\n"))),
        }
    }
    Ok(answer(StatusCode::OK, text))
}

async fn set_fault(request: Request<Incoming>, behaviour: &Behaviour) -> Answer {
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return answer(StatusCode::BAD_REQUEST, "body cut short\n".into()),
    };
    match serde_json::from_slice(&body) {
        Ok(fault) => {
            behaviour.set_fault(fault);
            answer(StatusCode::OK, "fault set\n".into())
        }
        Err(e) => answer(StatusCode::BAD_REQUEST, format!("{e}\n")),
    }
}

fn answer(status: StatusCode, text: String) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
