use std::fmt;
use std::time::Duration;

/// Framing of the body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Absent,
    LengthZero,
    Chunks,
    ChunksWithTrailer,
    ExpectContinue,
}

/// How fast the client sends its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    AtOnce,
    PauseWithin,
    Slow,
}

/// Way of the request to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    Local,
    OneHop,
}

/// Kind of the operation that the request calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    AtMostOnce,
    Upload,
    Keyed,
}

/// What the backend server does with the first try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstTry {
    Runs,
    Fails,
}

/// Part of the request after which the backend server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerAfter {
    Body,
    Head,
    FourKilobytes,
    HalfOfBody,
}

/// What the backend server does with its connection after the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAnswer {
    KeepsAndReads,
    Closes,
    KeepsUnread,
}

/// How the backend server sends its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerForm {
    OneGo,
    Pieces,
    Chunks,
}

/// How the client reads, and what else it sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Client {
    ReadsAtOnce,
    ReadsSlowly,
    ReadsAfterSending,
    SendsNextBehind,
    ClosesSendingSide,
}

/// Host to which something happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum At {
    Gate,
    Entry,
    Both,
}

/// What happens while the backend server runs the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Meanwhile {
    Nothing,
    Pause(At, Duration),
    TwoPauses(At),
    Sigterm(At),
    /// New connections to the peer work, and the open ones are held back.
    NewPathFirst,
    /// The open connections to the peer carry nothing any more, without a reset.
    OldPathCut,
}

/// When the backend server begins to answer, if something happens meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnds {
    Meanwhile,
    Afterwards,
}

pub const METHODS: [&str; 8] =
    ["POST", "GET", "HEAD", "PUT", "PATCH", "DELETE", "OPTIONS", "REPORT"];
const FRAMINGS: [Framing; 6] = [
    Framing::Length,
    Framing::Absent,
    Framing::LengthZero,
    Framing::Chunks,
    Framing::ChunksWithTrailer,
    Framing::ExpectContinue,
];
const BODY_BYTES: [usize; 7] = [24_000, 0, 1, 16_383, 16_384, 16_385, 360_000];
const CHUNK_BYTES: [usize; 4] = [8_192, 1_024, 16_384, 65_536];
const PACES: [Pace; 3] = [Pace::AtOnce, Pace::PauseWithin, Pace::Slow];
const PATHS: [Path; 2] = [Path::Local, Path::OneHop];
const KINDS: [Kind; 4] = [Kind::Idempotent, Kind::AtMostOnce, Kind::Upload, Kind::Keyed];
const FIRST_TRIES: [FirstTry; 2] = [FirstTry::Runs, FirstTry::Fails];
const ANSWERS_AFTER: [AnswerAfter; 4] =
    [AnswerAfter::Body, AnswerAfter::Head, AnswerAfter::FourKilobytes, AnswerAfter::HalfOfBody];
const AFTER_ANSWER: [AfterAnswer; 3] =
    [AfterAnswer::KeepsAndReads, AfterAnswer::Closes, AfterAnswer::KeepsUnread];
const ANSWER_FORMS: [AnswerForm; 3] = [AnswerForm::OneGo, AnswerForm::Pieces, AnswerForm::Chunks];
const ANSWER_BYTES: [usize; 4] = [36_000, 0, 1, 300_000];
const CLIENTS: [Client; 5] = [
    Client::ReadsAtOnce,
    Client::ReadsSlowly,
    Client::ReadsAfterSending,
    Client::SendsNextBehind,
    Client::ClosesSendingSide,
];
const MEANWHILE: [Meanwhile; 20] = [
    Meanwhile::Nothing,
    Meanwhile::Pause(At::Gate, Duration::from_millis(500)),
    Meanwhile::Pause(At::Gate, Duration::from_millis(1_600)),
    Meanwhile::Pause(At::Gate, Duration::from_millis(2_500)),
    Meanwhile::Pause(At::Gate, Duration::from_millis(3_500)),
    Meanwhile::TwoPauses(At::Gate),
    Meanwhile::Pause(At::Entry, Duration::from_millis(500)),
    Meanwhile::Pause(At::Entry, Duration::from_millis(1_600)),
    Meanwhile::Pause(At::Entry, Duration::from_millis(2_500)),
    Meanwhile::Pause(At::Entry, Duration::from_millis(3_500)),
    Meanwhile::TwoPauses(At::Entry),
    Meanwhile::Pause(At::Both, Duration::from_millis(500)),
    Meanwhile::Pause(At::Both, Duration::from_millis(1_600)),
    Meanwhile::Pause(At::Both, Duration::from_millis(2_500)),
    Meanwhile::Pause(At::Both, Duration::from_millis(3_500)),
    Meanwhile::TwoPauses(At::Both),
    Meanwhile::Sigterm(At::Gate),
    Meanwhile::Sigterm(At::Entry),
    Meanwhile::NewPathFirst,
    Meanwhile::OldPathCut,
];

const RUN_ENDS: [RunEnds; 2] = [RunEnds::Meanwhile, RunEnds::Afterwards];

/// Length of each of two pauses, and the time between them.
pub const TWO_PAUSES: (Duration, Duration) =
    (Duration::from_millis(1_700), Duration::from_millis(250));

/// Time for which the open connections are held back while new ones work.
pub const HOLD_TIME: Duration = Duration::from_millis(2_500);

/// Number of sides of an exchange.
pub const SIDES: usize = 15;

/// Number of values of each side, in the order of [`Row`]. The first value of each is the plainest.
pub const VALUE_COUNTS: [usize; SIDES] = [
    METHODS.len(),
    FRAMINGS.len(),
    BODY_BYTES.len(),
    CHUNK_BYTES.len(),
    PACES.len(),
    PATHS.len(),
    KINDS.len(),
    FIRST_TRIES.len(),
    ANSWERS_AFTER.len(),
    AFTER_ANSWER.len(),
    ANSWER_FORMS.len(),
    ANSWER_BYTES.len(),
    CLIENTS.len(),
    MEANWHILE.len(),
    RUN_ENDS.len(),
];

/// Sides of which every combination of values occurs, since faults on them need three values at once: an
/// answer that is late while a peer is silent, and one that is early while a request is still read.
pub const TIED_SIDES: [[usize; 3]; 2] = [[PATH, KIND, MEANWHILE_SIDE], [BODY, AFTER, CLIENT]];

const BODY: usize = 2;
const PATH: usize = 5;
const KIND: usize = 6;
const AFTER: usize = 8;
const CLIENT: usize = 12;
const MEANWHILE_SIDE: usize = 13;

/// Index of the value of each side.
pub type Choice = [usize; SIDES];

/// One exchange: a value for each side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    pub method: &'static str,
    pub framing: Framing,
    /// Size of the body, if the framing has one of its own size.
    pub body_bytes: usize,
    pub chunk_bytes: usize,
    pub pace: Pace,
    pub path: Path,
    pub kind: Kind,
    pub first_try: FirstTry,
    pub answer_after: AnswerAfter,
    pub after_answer: AfterAnswer,
    pub answer_form: AnswerForm,
    pub answer_bytes: usize,
    pub client: Client,
    pub meanwhile: Meanwhile,
    pub run_ends: RunEnds,
}

impl Row {
    pub fn new(choice: &Choice) -> Self {
        Self {
            method: METHODS[choice[0]],
            framing: FRAMINGS[choice[1]],
            body_bytes: BODY_BYTES[choice[2]],
            chunk_bytes: CHUNK_BYTES[choice[3]],
            pace: PACES[choice[4]],
            path: PATHS[choice[5]],
            kind: KINDS[choice[6]],
            first_try: FIRST_TRIES[choice[7]],
            answer_after: ANSWERS_AFTER[choice[8]],
            after_answer: AFTER_ANSWER[choice[9]],
            answer_form: ANSWER_FORMS[choice[10]],
            answer_bytes: ANSWER_BYTES[choice[11]],
            client: CLIENTS[choice[12]],
            meanwhile: MEANWHILE[choice[13]],
            run_ends: RUN_ENDS[choice[14]],
        }
    }

    /// The row with the plainest value on each side.
    pub fn plain() -> Self {
        Self::new(&[0; SIDES])
    }

    /// Time for which something happens.
    pub fn disturbance(&self) -> Duration {
        match self.meanwhile {
            Meanwhile::Pause(_, duration) => duration,
            Meanwhile::TwoPauses(_) => TWO_PAUSES.0 * 2 + TWO_PAUSES.1,
            Meanwhile::NewPathFirst => HOLD_TIME,
            Meanwhile::Nothing | Meanwhile::Sigterm(_) | Meanwhile::OldPathCut => Duration::ZERO,
        }
    }

    /// Number of bytes of the request body.
    pub fn sent_body_bytes(&self) -> usize {
        match self.framing {
            Framing::Absent | Framing::LengthZero => 0,
            _ => self.body_bytes,
        }
    }

    /// Whether a rule allows that the client gets no whole answer: it has closed its side as one that
    /// leaves does, or the answer cannot reach the entry before the deadline.
    pub fn may_end_without_answer(&self) -> bool {
        let is_cut = self.path == Path::OneHop && self.meanwhile == Meanwhile::OldPathCut;
        is_cut || self.client == Client::ClosesSendingSide
    }

    /// Whether the backend server is sure to get the whole request if it reads on.
    pub fn arrives_whole(&self) -> bool {
        let is_broken_off = self.first_try == FirstTry::Fails
            || self.client == Client::ClosesSendingSide
            || self.framing == Framing::ExpectContinue
            || self.meanwhile == Meanwhile::OldPathCut
            || matches!(self.meanwhile, Meanwhile::Sigterm(_));
        !is_broken_off && self.after_answer == AfterAnswer::KeepsAndReads
    }
}

/// Prints the values that differ from those of the plainest row.
impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = format!("{:?}", Self::plain());
        let plain: Vec<&str> = plain.split(", ").collect();
        let all = format!("{self:?}");
        let values: Vec<&str> = all.split(", ").filter(|value| !plain.contains(value)).collect();
        write!(f, "{}", values.join(", "))
    }
}
