use std::path::Path;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tarragon_client::ApiResponse;
use tarragon_client::ClientError;
use tarragon_client::ControlClient;
use tarragon_model::api::DrainAnswer;
use tarragon_model::api::DrainRequest;
use tarragon_model::api::InitRequest;
use tarragon_model::api::NodeStatus;
use tarragon_model::api::NoteList;
use tarragon_model::api::NoteStatus;
use tarragon_model::api::ReplicaChangeAnswer;
use tarragon_model::api::ReplicaEntry;
use tarragon_model::api::ReplicaName;
use tarragon_model::catalogue::SubmitAnswer;
use tarragon_model::member::MemberRecord;
use tarragon_model::note::ServiceSpec;

use crate::cli::Args;
use crate::cli::Command;
use crate::cli::NoteCommand;
use crate::cli::ReplicaCommand;
use crate::command::formatting;
use crate::command::CommandResult;

const INIT_PATH: &str = "/v1/replicas/init";

/// Runs the command given on the command line.
pub async fn run_command(args: &Args) -> CommandResult {
    try_run(args).await.unwrap_or_else(|result| result)
}

async fn try_run(args: &Args) -> Result<CommandResult, CommandResult> {
    let key = read_file(&args.key_file)?;
    let client = ControlClient::new(Some(key.trim().to_string()), args.timeout_ms);
    let runner = CommandRunner { args, client };
    match &args.command {
        Command::Note { command: NoteCommand::Submit { file } } => runner.submit(file).await,
        Command::Note { command: NoteCommand::Status { id } } => {
            let path = format!("/v1/notes/{}", encode_segment(id));
            runner.query::<NoteStatus>(Method::GET, &path, formatting::note_status).await
        }
        Command::Note { command: NoteCommand::List } => {
            runner.query::<NoteList>(Method::GET, "/v1/notes", formatting::note_list).await
        }
        Command::Services => {
            let format = |services: &Vec<ServiceSpec>| formatting::services(services);
            runner.query(Method::GET, "/v1/services", format).await
        }
        Command::Servers => {
            let format = |members: &Vec<MemberRecord>| formatting::servers(members);
            runner.query(Method::GET, "/v1/members", format).await
        }
        Command::Status => {
            runner.query::<NodeStatus>(Method::GET, "/v1/status", formatting::node_status).await
        }
        Command::Drain { force } => runner.drain(*force).await,
        Command::Undrain => {
            runner.request(Method::DELETE, "/v1/drain", Bytes::new()).await?;
            Ok(CommandResult::Done("the drain has ended".into()))
        }
        Command::Replica { command } => runner.replica(command).await,
    }
}

/// Runs one command against the control API.
struct CommandRunner<'a> {
    args: &'a Args,
    client: ControlClient,
}

impl CommandRunner<'_> {
    async fn submit(&self, file: &Path) -> Result<CommandResult, CommandResult> {
        let note = read_file(file)?;
        let response = self.request(Method::POST, "/v1/notes", Bytes::from(note)).await?;
        let answer: SubmitAnswer = parse(&response)?;
        let text = self.render(&answer, formatting::submit_answer);
        Ok(match answer {
            SubmitAnswer::Accepted { .. } => CommandResult::Done(text),
            _ => CommandResult::Refused(text),
        })
    }

    async fn drain(&self, force: bool) -> Result<CommandResult, CommandResult> {
        let body = json_body(&DrainRequest { force });
        let response = self.request(Method::POST, "/v1/drain", body).await?;
        let answer: DrainAnswer = parse(&response)?;
        let text = self.render(&answer, formatting::drain_answer);
        Ok(match answer {
            DrainAnswer::Draining { .. } => CommandResult::Done(text),
            DrainAnswer::Refused { .. } => CommandResult::Refused(text),
        })
    }

    async fn replica(&self, command: &ReplicaCommand) -> Result<CommandResult, CommandResult> {
        let name_body = |name: &String| json_body(&ReplicaName { name: name.clone() });
        let (path, body) = match command {
            ReplicaCommand::List => {
                let format = |replicas: &Vec<ReplicaEntry>| formatting::replicas(replicas);
                return self.query(Method::GET, "/v1/replicas", format).await;
            }
            ReplicaCommand::Init { force } => {
                (INIT_PATH, json_body(&InitRequest { force: *force }))
            }
            ReplicaCommand::Add { name } => ("/v1/replicas/add", name_body(name)),
            ReplicaCommand::Remove { name } => ("/v1/replicas/remove", name_body(name)),
        };
        let response = self.request(Method::POST, path, body).await?;
        let answer: ReplicaChangeAnswer = parse(&response)?;
        let text = self.render(&answer, formatting::replica_change);
        Ok(match answer {
            ReplicaChangeAnswer::Done => CommandResult::Done(text),
            ReplicaChangeAnswer::Refused { .. } => CommandResult::Refused(text),
        })
    }

    async fn query<T: DeserializeOwned + Serialize>(
        &self,
        method: Method,
        path: &str,
        format: fn(&T) -> String,
    ) -> Result<CommandResult, CommandResult> {
        let response = self.request(method, path, Bytes::new()).await?;
        let answer: T = parse(&response)?;
        Ok(CommandResult::Done(self.render(&answer, format)))
    }

    fn render<T: Serialize>(&self, answer: &T, format: fn(&T) -> String) -> String {
        if self.args.json {
            serde_json::to_string_pretty(answer).expect("a response can be serialized as JSON")
        } else {
            format(answer)
        }
    }

    /// Sends a request. Returns only successful responses and maps all others to a result.
    ///
    /// Some commands apply to a single node, so they are sent to the first address only.
    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiResponse, CommandResult> {
        let is_node_specific = ["/v1/drain", "/v1/status", INIT_PATH].contains(&path);
        let nodes = if is_node_specific { &self.args.nodes[..1] } else { &self.args.nodes[..] };
        let response = self.client.send_to_any(nodes, method, path, body).await;
        let response = response.map_err(|report| {
            let text = report.current_context().to_string();
            match report.current_context() {
                ClientError::NoResponse(_) | ClientError::ResponseTooLarge(_) => {
                    CommandResult::Unknown(format!("outcome unknown: {text}"))
                }
                _ => CommandResult::Unavailable(text),
            }
        })?;
        match response.status {
            status if status.is_success() => Ok(response),
            StatusCode::GATEWAY_TIMEOUT => Err(CommandResult::Unknown(error_text(&response))),
            status if status.is_server_error() => {
                Err(CommandResult::Unavailable(error_text(&response)))
            }
            _ => Err(CommandResult::Refused(error_text(&response))),
        }
    }
}

fn json_body<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("a request can be serialized as JSON"))
}

fn read_file(path: &Path) -> Result<String, CommandResult> {
    std::fs::read_to_string(path)
        .map_err(|e| CommandResult::BadInput(format!("cannot read '{}': {e}", path.display())))
}

fn parse<T: DeserializeOwned>(response: &ApiResponse) -> Result<T, CommandResult> {
    serde_json::from_slice(&response.body).map_err(|e| {
        CommandResult::Unknown(format!("the answer of {} cannot be read: {e}", response.peer))
    })
}

/// Formats the message of an error response, with the node that sent it.
fn error_text(response: &ApiResponse) -> String {
    let value: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let message = value["message"].as_str().unwrap_or("no message");
    format!("{} answered {}: {message}", response.peer, response.status.as_u16())
}

/// Percent-encodes one segment of a path.
fn encode_segment(text: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    let encode = |b: u8| if is_plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") };
    text.bytes().map(encode).collect()
}
