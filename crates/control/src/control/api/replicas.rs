use std::sync::Arc;
use std::time::Duration;

use dropshot::endpoint;
use dropshot::FreeformBody;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::RequestContext;
use dropshot::TypedBody;
use futures_util::future::join_all;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_model::api::InitRequest;
use tarragon_model::api::ReplicaChangeAnswer;
use tarragon_model::api::ReplicaEntry;
use tarragon_model::api::ReplicaName;
use tracing::info;

use crate::control::api::api_context::require_operator;
use crate::control::api::internal::sealed_response;
use crate::control::api::ApiContext;
use crate::control::ControlFailure;
use crate::control::ControlRequest;
use crate::control::ReplicaChange;
use crate::replica::fetch_replica_info;
use crate::replica::replica_info;

/// Maximum number of retries of making a new replica a voter. An attempt fails until the replica
/// has caught up.
const MAX_PROMOTION_RETRIES: usize = 20;

/// Delay between two of these attempts, in ms.
const PROMOTION_RETRY_DELAY_MS: u64 = 250;

/// Time limit for the response of a node about its replica, in ms.
const INFO_TIMEOUT_MS: u64 = 1_000;

/// Returns the state of the replica of this node to another node.
#[endpoint { method = GET, path = "/v1/replica" }]
pub async fn local_replica(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<FreeformBody>, HttpError> {
    let context = request.context();
    sealed_response(context, &context.replica.as_ref().map(replica_info))
}

/// Lists the known control replicas and the state that each one reports.
#[endpoint { method = GET, path = "/v1/replicas" }]
pub async fn list_replicas(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<Vec<ReplicaEntry>>, HttpError> {
    require_operator(&request)?;
    Ok(HttpResponseOk(fetch_replica_entries(request.context()).await))
}

/// Creates the replicated log with the replica of this node as its only voter.
#[endpoint { method = POST, path = "/v1/replicas/init" }]
pub async fn init_replicas(
    request: RequestContext<Arc<ApiContext>>,
    body: TypedBody<InitRequest>,
) -> Result<HttpResponseOk<ReplicaChangeAnswer>, HttpError> {
    require_operator(&request)?;
    let is_forced = body.into_inner().force;
    let context = request.context();
    let Some(replica) = &context.replica else {
        return Ok(refused("this node has no data_dir, so it cannot hold a replica".into()));
    };
    for entry in fetch_replica_entries(context).await {
        match entry.info {
            Some(info) if info.voters.is_empty() && info.learners.is_empty() => {}
            Some(_) => {
                let cause = format!("the log exists already at {}; use 'replica add'", entry.name);
                return Ok(refused(cause));
            }
            None if is_forced => {}
            None => {
                let cause = format!("{} does not answer and may hold the log", entry.name);
                return Ok(refused(cause));
            }
        }
    }
    let local_id = replica.status().id;
    info!("log: started by an operator with {local_id} as its only voter");
    replica.bootstrap(vec![local_id]).await;
    Ok(HttpResponseOk(ReplicaChangeAnswer::Done))
}

/// Adds a control replica: the log is replicated to it, and it becomes a voter once it has caught
/// up.
#[endpoint { method = POST, path = "/v1/replicas/add" }]
pub async fn add_replica(
    request: RequestContext<Arc<ApiContext>>,
    body: TypedBody<ReplicaName>,
) -> Result<HttpResponseOk<ReplicaChangeAnswer>, HttpError> {
    require_operator(&request)?;
    let context = request.context();
    let name = body.into_inner().name;
    let known = context.replica_addresses.control_addresses();
    let Some((_, address)) = known.into_iter().find(|(known, _)| *known == name) else {
        return Ok(refused(format!("no replica '{name}' is known; is its node running?")));
    };
    let Some(info) = fetch_replica_info(&context.deployment_key, address, INFO_TIMEOUT_MS).await
    else {
        return Ok(refused(format!("the replica '{name}' does not answer")));
    };
    let Ok(disk) = info.disk.parse() else {
        return Ok(refused(format!("the replica '{name}' has a malformed disk id")));
    };
    let change = ReplicaChange::Add(ReplicaId::new(name.clone(), disk));
    let mut answer = change_replicas(context, change.clone()).await?;
    for _ in 0..MAX_PROMOTION_RETRIES {
        if answer.0 == ReplicaChangeAnswer::Done {
            info!("log: replica {name} was added by an operator");
            break;
        }
        tokio::time::sleep(Duration::from_millis(PROMOTION_RETRY_DELAY_MS)).await;
        answer = change_replicas(context, change.clone()).await?;
    }
    Ok(answer)
}

/// Removes a control replica.
#[endpoint { method = POST, path = "/v1/replicas/remove" }]
pub async fn remove_replica(
    request: RequestContext<Arc<ApiContext>>,
    body: TypedBody<ReplicaName>,
) -> Result<HttpResponseOk<ReplicaChangeAnswer>, HttpError> {
    require_operator(&request)?;
    let name = body.into_inner().name;
    let answer = change_replicas(request.context(), ReplicaChange::Remove(name.clone())).await?;
    info!("log: removal of replica {name} by an operator: {:?}", answer.0);
    Ok(answer)
}

async fn change_replicas(
    context: &ApiContext,
    change: ReplicaChange,
) -> Result<HttpResponseOk<ReplicaChangeAnswer>, HttpError> {
    let request = ControlRequest::ChangeReplicas(change);
    match context.log.request(&request).await {
        Err(ControlFailure::Refused(cause)) => Ok(refused(cause)),
        Err(failure) => Err(context.http_error(&failure)),
        Ok(_) => Ok(HttpResponseOk(ReplicaChangeAnswer::Done)),
    }
}

fn refused(cause: String) -> HttpResponseOk<ReplicaChangeAnswer> {
    HttpResponseOk(ReplicaChangeAnswer::Refused { cause })
}

/// Queries all known replicas concurrently.
async fn fetch_replica_entries(context: &ApiContext) -> Vec<ReplicaEntry> {
    let known = context.replica_addresses.control_addresses();
    let fetch = |(name, address)| async move {
        ReplicaEntry {
            name,
            info: fetch_replica_info(&context.deployment_key, address, INFO_TIMEOUT_MS).await,
        }
    };
    join_all(known.into_iter().map(fetch)).await
}
