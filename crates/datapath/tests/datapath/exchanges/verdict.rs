use crate::exchanges::client::Answer;
use crate::exchanges::row::Row;
use crate::exchanges::sent_request::SentRequest;
use crate::exchanges::server::answer_body;
use crate::exchanges::server::Arrival;
use crate::exchanges::server::BodyEnd;

/// Names of fields that belong to one connection, or that nodes set themselves.
fn is_of_hop(name: &str) -> bool {
    let of_connection = ["content-length", "transfer-encoding", "connection", "date"];
    of_connection.contains(&name) || name.starts_with("tarragon-")
}

/// Checks that what the server got is what the client sent. Unless the whole body is due, it may end
/// early if the server can tell.
pub fn check_arrival(
    sent: &SentRequest,
    arrival: &Arrival,
    is_whole_due: bool,
) -> Result<(), String> {
    let line = format!("{} {} HTTP/1.1", sent.method, sent.target);
    if arrival.head.line != line.as_bytes() {
        let got = String::from_utf8_lossy(&arrival.head.line);
        return Err(format!("sent '{line}', the server got '{got}'"));
    }
    for (name, _) in &sent.fields {
        let expected = sent.fields.iter().filter(|field| field.0 == *name).map(|f| &f.1[..]);
        let expected: Vec<&[u8]> = expected.collect();
        let got = arrival.head.values(name);
        if got != expected {
            return Err(format!("field {name}: sent {expected:?}, the server got {got:?}"));
        }
    }
    let is_known = |name: &str| sent.fields.iter().any(|field| field.0 == name) || is_of_hop(name);
    if let Some((name, _)) = arrival.head.fields.iter().find(|field| !is_known(&field.0)) {
        return Err(format!("the server got a field {name} that was not sent"));
    }
    let has_body = arrival.head.is_chunked() || arrival.head.length().is_some();
    if sent.has_body && !has_body {
        return Err("the server got a request without a body".into());
    }
    if !sent.body.starts_with(&arrival.body) {
        return Err(format!("the server got other bytes, {} of them", arrival.body.len()));
    }
    match &arrival.end {
        BodyEnd::Whole(_) if arrival.body.len() < sent.body.len() => {
            let (got, all) = (arrival.body.len(), sent.body.len());
            Err(format!("the server took {got} of {all} bytes for the whole body"))
        }
        BodyEnd::Whole(trailer) if *trailer != sent.trailer => {
            Err(format!("trailer: sent {:?}, the server got {trailer:?}", sent.trailer))
        }
        BodyEnd::Whole(_) => Ok(()),
        end if is_whole_due => {
            let (got, all) = (arrival.body.len(), sent.body.len());
            Err(format!("the server read on and got {got} of {all} bytes, {end:?}"))
        }
        BodyEnd::Broken | BodyEnd::Unread => Ok(()),
    }
}

/// Checks that the client got one whole answer, of the server or of a node, or could tell that it got
/// none where that is allowed.
pub fn check_answer(row: &Row, sent: &SentRequest, answer: &Answer) -> Result<(), String> {
    match answer {
        Answer::Whole { head, body } if head.text("tarragon-outcome") == "answered" => {
            let is_bodiless = sent.method == "HEAD";
            let expected = if is_bodiless { Vec::new() } else { answer_body(row, &sent.id) };
            if head.text("x-answer") != sent.id {
                return Err(format!("the client got the answer to '{}'", head.text("x-answer")));
            }
            if *body != expected {
                let (got, all) = (body.len(), expected.len());
                return Err(format!("the client took {got} bytes for the whole answer of {all}"));
            }
            Ok(())
        }
        Answer::Whole { head, .. } if head.values("tarragon-outcome").is_empty() => {
            let line = String::from_utf8_lossy(&head.line);
            Err(format!("the client got an answer that is not the node's own: '{line}'"))
        }
        Answer::Whole { .. } => Ok(()),
        Answer::Cut { .. } | Answer::Nothing(_) if row.may_end_without_answer() => Ok(()),
        Answer::Cut { head, received_bytes } => {
            let line = String::from_utf8_lossy(&head.line);
            Err(format!("the answer '{line}' was cut after {received_bytes} bytes"))
        }
        Answer::Nothing(cause) => Err(format!("the client got no answer: {cause}")),
    }
}
