//! Splitting of streams into complete events, independent of how the bytes arrive.

use plantainmill_core::{Executed, Problem, ResultCode};
use plantainmill_fakes::foreign_bytes::{FOREIGN_LINE, JOINED_LINE, OTHER_HEAD};
use plantainmill_proxy::{EventReader, error_event};
use rstest::rstest;

const STREAM: &[u8] =
    b"data: {\"a\": 1}\n\n: comment\n\nevent: x\r\ndata: {\"a\":\r\ndata: 2}\r\n\r\ndata:[DONE]\n\n";

/// Guards against passing on partial events and against delaying or losing complete ones.
#[rstest]
fn any_split() -> Result<(), String> {
    for first in 0..=STREAM.len() {
        for second in first..=STREAM.len() {
            let mut reader = EventReader::default();
            let mut passed = Vec::new();
            for part in [&STREAM[..first], &STREAM[first..second], &STREAM[second..]] {
                let events = reader.push(part)?;
                let is_complete = events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n");
                assert!(events.is_empty() || is_complete);
                passed.extend_from_slice(&events);
            }
            assert_eq!(passed, STREAM);
            assert!(reader.is_done());
        }
    }
    Ok(())
}

/// Guards against bytes that belong to no event in the stream of a model.
#[rstest]
#[case::cut_json("data: {\"a\": \n\n")]
#[case::no_json("data: text\n\n")]
#[case::after_last("data: [DONE]\n\ndata: {}\n\n")]
#[case::foreign_line(FOREIGN_LINE)]
#[case::foreign_head(OTHER_HEAD)]
#[case::joined_line(JOINED_LINE)]
#[case::line_within("data: {\nq7#x0f\ndata: }\n\n")]
#[case::foreign_after_last("data: [DONE]\n\nq7#x0f\n\n")]
fn malformed_event(#[case] text: &str) {
    assert!(EventReader::default().push(text.as_bytes()).is_err());
}

#[rstest]
fn unfinished_event() -> Result<(), String> {
    let mut reader = EventReader::default();
    assert_eq!(reader.push(b"data: [DONE]\n")?, "");
    assert!(!reader.is_done());
    Ok(())
}

/// Guards against an error event that clients parse as a response or cannot parse.
#[rstest]
fn error_text() -> Result<(), Box<dyn std::error::Error>> {
    let problem = Problem::new(ResultCode::AnswerInvalid, "a\nb").with_executed(Executed::Yes);
    let event = error_event(&problem);
    let text = std::str::from_utf8(&event)?;
    let data = text.strip_prefix("data: ").ok_or("no data")?;
    let body: serde_json::Value = serde_json::from_str(data)?;
    assert_eq!(body["error"]["result"], 3005);
    assert_eq!(body["error"]["executed"], "yes");
    assert!(text.ends_with("\n\n"));
    Ok(())
}
