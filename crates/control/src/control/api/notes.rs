use std::collections::BTreeMap;
use std::sync::Arc;

use dropshot::endpoint;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::StreamingBody;
use schemars::JsonSchema;
use serde::Deserialize;
use tarragon_model::api::DataCentreRevision;
use tarragon_model::api::NoteList;
use tarragon_model::api::NoteStatus;
use tarragon_model::catalogue::SubmitAnswer;
use tarragon_model::note::ReleaseNote;
use tracing::info;

use crate::control::api::api_context::require_operator;
use crate::control::api::large_bodies::LargeBodies;
use crate::control::api::large_bodies::MAX_LARGE_BODY_BYTES;
use crate::control::api::ApiContext;
use crate::control::ControlCommand;
use crate::control::ControlQuery;
use crate::control::ControlRequest;
use crate::control::ControlResponse;

/// Path parameter: the id of a release note.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct NotePath {
    id: String,
}

/// Submits a release note.
#[endpoint {
    method = POST,
    path = "/v1/notes",
    request_body_max_bytes = MAX_LARGE_BODY_BYTES,
}]
pub async fn submit_note(
    request: RequestContext<Arc<ApiContext>>,
    body: StreamingBody,
) -> Result<HttpResponseOk<SubmitAnswer>, HttpError> {
    if let Err(refusal) = require_operator(&request) {
        LargeBodies::discard(body).await;
        return Err(refusal);
    }
    let body = request.context().large_bodies.read(body).await?;
    let text = std::str::from_utf8(&body)
        .map_err(|e| HttpError::for_bad_request(None, format!("the note is not UTF-8: {e}")))?;
    let note = match ReleaseNote::from_json(text) {
        Ok(note) => note,
        Err(mistakes) => return Ok(HttpResponseOk(SubmitAnswer::Invalid { mistakes })),
    };
    let (id, version) = (note.id.clone(), note.version);
    let command = ControlRequest::Propose(ControlCommand::Submit(note));
    let answer = request.context().send_to_log(&command).await?;
    info!("note: '{id}' version {version} -> {answer:?}");
    match answer {
        ControlResponse::Submit(answer) => Ok(HttpResponseOk(answer)),
        _ => Err(HttpError::for_internal_error(
            "the log returned a response of the wrong type".into(),
        )),
    }
}

/// Lists the latest accepted release notes and configurations, at most 1,000.
#[endpoint { method = GET, path = "/v1/notes" }]
pub async fn list_notes(
    request: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<NoteList>, HttpError> {
    require_operator(&request)?;
    match request.context().send_to_log(&ControlRequest::Read(ControlQuery::Notes)).await? {
        ControlResponse::Notes(notes) => Ok(HttpResponseOk(notes)),
        _ => Err(HttpError::for_internal_error(
            "the log returned a response of the wrong type".into(),
        )),
    }
}

/// Returns whether a release note was accepted and where it is in force.
#[endpoint { method = GET, path = "/v1/notes/{id}" }]
pub async fn note_status(
    request: RequestContext<Arc<ApiContext>>,
    path: Path<NotePath>,
) -> Result<HttpResponseOk<NoteStatus>, HttpError> {
    require_operator(&request)?;
    let id = path.into_inner().id;
    let context = request.context();
    let query = ControlRequest::Read(ControlQuery::Note(id.clone()));
    let ControlResponse::NoteRevision(revision) = context.send_to_log(&query).await? else {
        return Err(HttpError::for_internal_error(
            "the log returned a response of the wrong type".into(),
        ));
    };
    let data_centres = data_centre_progress(context, revision.unwrap_or(u64::MAX));
    Ok(HttpResponseOk(NoteStatus { id, revision, data_centres }))
}

/// Counts, for each data centre, the known nodes and those that have reached a revision.
fn data_centre_progress(context: &ApiContext, revision: u64) -> Vec<DataCentreRevision> {
    let mut counts: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for member in context.directory.members().borrow().iter() {
        let (nodes, in_force) = counts.entry(member.data_centre.clone()).or_default();
        *nodes += 1;
        *in_force += u32::from(member.revision >= revision);
    }
    let progress = counts.into_iter().map(|(data_centre, (nodes, in_force))| DataCentreRevision {
        data_centre,
        nodes,
        in_force,
    });
    progress.collect()
}
