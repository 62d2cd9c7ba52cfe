//! What a stand-in target does with a request.

use crate::head_cut::HeadCut;
use crate::refusal_copies::RefusalCopy;
use std::time::Duration;

/// What the target does with one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetAct {
    /// Answers the whole stream.
    #[default]
    Serve,
    /// Closes the connection in the middle of the event after this one.
    CutAfter(u64),
    /// Sends nothing any more after this event.
    SilentAfter(u64),
    /// Leaves out this event.
    Skip(u64),
    /// Says that it did not run the request.
    Refuse,
    /// The same, with this status.
    RefuseWith(u16),
    /// The same as `Refuse`, after this time.
    LateRefusal(Duration),
    /// The same as `Refuse`, without the id of the request.
    RefuseWithoutId,
    /// Refuses with this status, and writes the refusal once more later.
    CopyRefusal(u16, RefusalCopy),
    /// Writes the last refusal or failure on the connection once more, if there was one, and then runs the request and answers.
    /// Pauses in between.
    RepeatRefusal,
    /// Ran the request and fails with this status, which is written with three digits.
    Fail(u16),
    /// Runs the request and closes the connection without an answer.
    LoseAnswer,
    /// Answers with the id of another request.
    CrossAnswer,
    /// Answers without a length: the body ends with the connection.
    Unframed,
    /// The same, with a connection that is reset after this event.
    UnframedReset(u64),
    /// The same, with a connection that ends after this event, as that of a complete response does.
    UnframedEnd(u64),
    /// Sends bytes of a head that never ends, until the caller closes.
    EndlessHead,
    /// Fails with status 500 and a body that never ends, until the caller closes.
    EndlessBody,
    /// Says that it did not run the request, with a body that never ends, until the caller closes.
    EndlessRefusal,
    /// Answers with status 200 and the text of an error, which is no stream of events.
    ErrorText,
    /// Sends bytes without the end of an event after this one, until the caller closes.
    EndlessEvent(u64),
    /// Sends a comment now and then, but no event after this one, until the caller closes.
    TrickleAfter(u64),
    /// The same, with a blank line behind each comment.
    TrickleBlocks(u64),
    /// Sends these bytes after this event, and closes the connection.
    ForeignEnd(u64, &'static str),
    /// Sends these bytes after this event, and goes on.
    ForeignWithin(u64, &'static str),
    /// Sends other events than those of the stream, with this number of bytes of data each, until the caller closes.
    EndlessEvents(usize),
    /// Sends the whole stream, goes on beyond its end with other events up to this one, and closes the connection.
    ExcessEvents(u64),
    /// Answers the whole stream, with data in the event after this one that is no UTF-8 text.
    BrokenText(u64),
    /// Runs the request and closes the connection in the middle of the head of its answer.
    CutHead(HeadCut),
    /// The same, with a connection that is reset.
    ResetHead(HeadCut),
    /// Answers with a length, and closes the connection in the middle of the body.
    ShortBody,
}

impl TargetAct {
    /// Whether the response says that the request did not run.
    pub(crate) fn is_refusal(self) -> bool {
        matches!(
            self,
            TargetAct::Refuse
                | TargetAct::LateRefusal(_)
                | TargetAct::RefuseWithoutId
                | TargetAct::RefuseWith(_)
                | TargetAct::CopyRefusal(..)
                | TargetAct::EndlessRefusal
        )
    }
}
