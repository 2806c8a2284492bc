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
use crate::command::print;
use crate::command::CommandResult;

const INIT_PATH: &str = "/v1/replicas/init";

/// Runs a command.
pub async fn run_command(args: &Args) -> CommandResult {
    run(args).await.unwrap_or_else(|failure| failure)
}

async fn run(args: &Args) -> Result<CommandResult, CommandResult> {
    let key = read_file(&args.key_file)?;
    let client = ControlClient::new(Some(key.trim().to_string()), args.timeout_ms);
    let session = Session { args, client };
    match &args.command {
        Command::Note { command: NoteCommand::Submit { file } } => session.submit(file).await,
        Command::Note { command: NoteCommand::Status { id } } => {
            let path = format!("/v1/notes/{}", encode_segment(id));
            session.show::<NoteStatus>(Method::GET, &path, print::note_status).await
        }
        Command::Note { command: NoteCommand::List } => {
            session.show::<NoteList>(Method::GET, "/v1/notes", print::note_list).await
        }
        Command::Services => {
            let format = |services: &Vec<ServiceSpec>| print::services(services);
            session.show(Method::GET, "/v1/services", format).await
        }
        Command::Servers => {
            let format = |members: &Vec<MemberRecord>| print::servers(members);
            session.show(Method::GET, "/v1/members", format).await
        }
        Command::Status => {
            session.show::<NodeStatus>(Method::GET, "/v1/status", print::node_status).await
        }
        Command::Drain { force } => session.drain(*force).await,
        Command::Undrain => {
            session.request(Method::DELETE, "/v1/drain", Bytes::new()).await?;
            Ok(CommandResult::Done("the drain has ended".into()))
        }
        Command::Replica { command } => session.replica(command).await,
    }
}

/// One command's connection to the control API.
struct Session<'a> {
    args: &'a Args,
    client: ControlClient,
}

impl Session<'_> {
    async fn submit(&self, file: &Path) -> Result<CommandResult, CommandResult> {
        let note = read_file(file)?;
        let reply = self.request(Method::POST, "/v1/notes", Bytes::from(note)).await?;
        let answer: SubmitAnswer = parse(&reply)?;
        let text = self.text(&answer, print::submit_answer);
        Ok(match answer {
            SubmitAnswer::Accepted { .. } => CommandResult::Done(text),
            _ => CommandResult::Refused(text),
        })
    }

    async fn drain(&self, force: bool) -> Result<CommandResult, CommandResult> {
        let body = json_body(&DrainRequest { force });
        let reply = self.request(Method::POST, "/v1/drain", body).await?;
        let answer: DrainAnswer = parse(&reply)?;
        let text = self.text(&answer, print::drain_answer);
        Ok(match answer {
            DrainAnswer::Draining { .. } => CommandResult::Done(text),
            DrainAnswer::Refused { .. } => CommandResult::Refused(text),
        })
    }

    async fn replica(&self, command: &ReplicaCommand) -> Result<CommandResult, CommandResult> {
        let named = |name: &String| json_body(&ReplicaName { name: name.clone() });
        let (path, body) = match command {
            ReplicaCommand::List => {
                let format = |replicas: &Vec<ReplicaEntry>| print::replicas(replicas);
                return self.show(Method::GET, "/v1/replicas", format).await;
            }
            ReplicaCommand::Init { force } => {
                (INIT_PATH, json_body(&InitRequest { force: *force }))
            }
            ReplicaCommand::Add { name } => ("/v1/replicas/add", named(name)),
            ReplicaCommand::Remove { name } => ("/v1/replicas/remove", named(name)),
        };
        let reply = self.request(Method::POST, path, body).await?;
        let answer: ReplicaChangeAnswer = parse(&reply)?;
        let text = self.text(&answer, print::replica_change);
        Ok(match answer {
            ReplicaChangeAnswer::Done => CommandResult::Done(text),
            ReplicaChangeAnswer::Refused { .. } => CommandResult::Refused(text),
        })
    }

    async fn show<T: DeserializeOwned + Serialize>(
        &self,
        method: Method,
        path: &str,
        format: fn(&T) -> String,
    ) -> Result<CommandResult, CommandResult> {
        let reply = self.request(method, path, Bytes::new()).await?;
        let answer: T = parse(&reply)?;
        Ok(CommandResult::Done(self.text(&answer, format)))
    }

    fn text<T: Serialize>(&self, answer: &T, format: fn(&T) -> String) -> String {
        if self.args.json {
            serde_json::to_string_pretty(answer).expect("an answer is JSON")
        } else {
            format(answer)
        }
    }

    /// Sends a request; only successful replies are returned as such.
    ///
    /// Some commands concern the one node that was named, so they go to the first address only.
    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiResponse, CommandResult> {
        let is_for_one = ["/v1/drain", "/v1/status", INIT_PATH].contains(&path);
        let nodes = if is_for_one { &self.args.nodes[..1] } else { &self.args.nodes[..] };
        let reply = self.client.send_to_any(nodes, method, path, body).await;
        let reply = reply.map_err(|report| {
            let text = report.current_context().to_string();
            match report.current_context() {
                ClientError::NoResponse(_) | ClientError::ResponseTooLarge(_) => {
                    CommandResult::Unknown(format!("outcome unknown: {text}"))
                }
                _ => CommandResult::Unavailable(text),
            }
        })?;
        match reply.status {
            status if status.is_success() => Ok(reply),
            StatusCode::GATEWAY_TIMEOUT => Err(CommandResult::Unknown(error_text(&reply))),
            status if status.is_server_error() => {
                Err(CommandResult::Unavailable(error_text(&reply)))
            }
            _ => Err(CommandResult::Refused(error_text(&reply))),
        }
    }
}

fn json_body<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("a request is JSON"))
}

fn read_file(path: &Path) -> Result<String, CommandResult> {
    std::fs::read_to_string(path)
        .map_err(|e| CommandResult::BadInput(format!("cannot read '{}': {e}", path.display())))
}

fn parse<T: DeserializeOwned>(reply: &ApiResponse) -> Result<T, CommandResult> {
    serde_json::from_slice(&reply.body).map_err(|e| {
        CommandResult::Unknown(format!("the answer of {} cannot be read: {e}", reply.peer))
    })
}

/// The message of an error reply, with the node that sent it.
fn error_text(reply: &ApiResponse) -> String {
    let value: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let message = value["message"].as_str().unwrap_or("no message");
    format!("{} answered {}: {message}", reply.peer, reply.status.as_u16())
}

/// Percent-encodes one segment of a path.
fn encode_segment(text: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    let encode = |b: u8| if is_plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") };
    text.bytes().map(encode).collect()
}
