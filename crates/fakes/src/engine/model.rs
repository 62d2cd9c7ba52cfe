//! The `OpenAI` interface of a model engine, whole and streamed.

use super::answer::{StartedRun, cut_error, delay_answer, start_run, whole_answer};
use super::fault::FaultKind;
use super::state::{EngineState, REQUEST_ID_HEADER, RunOutcome};
use crate::foreign_bytes::{FOREIGN_LINE, JOINED_LINE};
use actix_web::rt::time::{Instant, sleep, sleep_until};
use actix_web::web::{self, Bytes, Data, Payload, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use futures_util::stream::{self, Stream};
use serde::Deserialize;
use serde_json::{Value, json};
use std::future::pending;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Characters of a prompt that count as one token.
const CHARACTERS_PER_TOKEN: usize = 4;
/// Padding of each event of an oversized stream, in bytes.
const EVENT_PADDING_BYTES: usize = 4 * 1024 * 1024;
/// Most tokens of an answer.
const TOKENS_LIMIT: u32 = 100_000;

pub(super) fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(answer_chat))
        .route("/v1/completions", web::post().to(answer_text));
}

/// The part of a request that the engine reads.
#[derive(Deserialize)]
struct GenerateBody {
    #[serde(default)]
    model: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: Value,
}

impl GenerateBody {
    fn prompt_tokens(&self) -> u32 {
        let prompt = self.prompt.as_str().map_or(0, str::len);
        let messages = self.messages.iter();
        let content = messages
            .filter_map(|message| message["content"].as_str())
            .map(str::len);
        let tokens = (prompt + content.sum::<usize>()).div_ceil(CHARACTERS_PER_TOKEN);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}

/// Which of the two routes answers.
#[derive(Clone, Copy, Eq, PartialEq)]
enum AnswerForm {
    Chat,
    Text,
}

async fn answer_chat(
    state: Data<EngineState>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    answer(state.into_inner(), request, payload, AnswerForm::Chat).await
}

async fn answer_text(
    state: Data<EngineState>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    answer(state.into_inner(), request, payload, AnswerForm::Text).await
}

async fn answer(
    state: Arc<EngineState>,
    request: HttpRequest,
    payload: Payload,
    form: AnswerForm,
) -> HttpResponse {
    let started = match start_run(&state, &request) {
        Ok(started) => started,
        Err(answer) => return *answer,
    };
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(reason) => return HttpResponse::BadRequest().body(reason),
    };
    let prefill = state.options.prefill_per_token * body.prompt_tokens();
    if !prefill.is_zero() {
        // Even an empty sleep takes a timer tick of a millisecond.
        sleep(prefill).await;
    }
    let started = match delay_answer(&state, started).await {
        Ok(started) => started,
        Err(answer) => return *answer,
    };
    let run = DecodeRun::new(state, started, &body, form);
    if body.stream {
        run.into_stream_answer()
    } else {
        run.into_whole_answer().await
    }
}

async fn read_body(payload: Payload) -> Result<GenerateBody, String> {
    let content = payload
        .to_bytes_limited(super::BODY_LIMIT_BYTES)
        .await
        .map_err(|_| "the body is too large".to_owned())?
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&content).map_err(|error| error.to_string())
}

/// A request whose answer is being decoded.
struct DecodeRun {
    state: Arc<EngineState>,
    started: StartedRun,
    form: AnswerForm,
    model: String,
    prompt_tokens: u32,
    tokens: u32,
    decoded: u32,
    /// When the next token is due. It adds up, so that timers of a millisecond give the right pace.
    next_at: Instant,
}

impl DecodeRun {
    fn new(
        state: Arc<EngineState>,
        started: StartedRun,
        body: &GenerateBody,
        form: AnswerForm,
    ) -> DecodeRun {
        let tokens = body.max_tokens.unwrap_or(state.options.default_tokens);
        DecodeRun {
            state,
            started,
            form,
            model: body.model.clone(),
            prompt_tokens: body.prompt_tokens(),
            tokens: tokens.min(TOKENS_LIMIT),
            decoded: 0,
            next_at: Instant::now(),
        }
    }

    /// Waits for the next token and returns its text.
    async fn decode(&mut self) -> String {
        let slow = match self.started.fault.kind {
            FaultKind::Slow => Duration::from_millis(self.started.fault.delay_ms),
            _ => Duration::ZERO,
        };
        self.next_at += self.state.decode_step() + slow;
        if self.next_at > Instant::now() {
            sleep_until(self.next_at).await;
        }
        self.state.count_token();
        self.decoded += 1;
        format!("w{} ", self.decoded)
    }

    fn answer_id(&self) -> String {
        match self.form {
            AnswerForm::Chat => format!("chatcmpl-{}", self.started.id),
            AnswerForm::Text => format!("cmpl-{}", self.started.id),
        }
    }

    async fn into_whole_answer(mut self) -> HttpResponse {
        let mut text = String::new();
        while self.decoded < self.tokens {
            text.push_str(&self.decode().await);
        }
        let choice = match self.form {
            AnswerForm::Chat => json!({
                "index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text},
            }),
            AnswerForm::Text => json!({"index": 0, "finish_reason": "stop", "text": text}),
        };
        let object = match self.form {
            AnswerForm::Chat => "chat.completion",
            AnswerForm::Text => "text_completion",
        };
        let answer = json!({
            "id": self.answer_id(), "object": object, "created": 0, "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.tokens,
                "total_tokens": self.prompt_tokens.saturating_add(self.tokens),
            },
        });
        whole_answer(self.started, answer.to_string())
    }

    fn into_stream_answer(self) -> HttpResponse {
        let mut builder = HttpResponse::Ok();
        builder
            .insert_header((REQUEST_ID_HEADER, self.started.id.clone()))
            .insert_header(("content-type", "text/event-stream"));
        builder.streaming(Box::pin(event_stream(self)))
    }

    fn event(&self, text: &str) -> Bytes {
        let finish = (self.decoded == self.tokens).then_some("stop");
        let choice = match self.form {
            AnswerForm::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
            }
            AnswerForm::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.form {
            AnswerForm::Chat => "chat.completion.chunk",
            AnswerForm::Text => "text_completion",
        };
        let event = json!({
            "id": self.answer_id(), "object": object, "created": 0, "model": self.model,
            "choices": [choice],
        });
        Bytes::from(format!("data: {event}\n\n"))
    }

    /// The event that the fault puts in place of the next one.
    async fn faulty_event(&mut self) -> Option<EventStep> {
        if self.decoded < self.started.fault.after {
            return None;
        }
        match self.started.fault.kind {
            FaultKind::Hang => pending().await,
            FaultKind::CutStream => {
                // The pause lets the events before it leave first.
                sleep(Duration::from_millis(5)).await;
                Some(EventStep::Cut)
            }
            FaultKind::Malformed => {
                self.started.fault.kind = FaultKind::None;
                Some(EventStep::Send(Bytes::from_static(b"data: {\"id\": \n\n")))
            }
            FaultKind::Foreign => {
                self.started.fault.kind = FaultKind::None;
                Some(EventStep::Send(Bytes::from_static(FOREIGN_LINE.as_bytes())))
            }
            FaultKind::Oversized => {
                let padding = format!(": {}\n\n", "x".repeat(EVENT_PADDING_BYTES));
                Some(EventStep::Send(Bytes::from(padding)))
            }
            _ => None,
        }
    }

    async fn next_step(&mut self) -> EventStep {
        if let Some(step) = self.faulty_event().await {
            return step;
        }
        if self.decoded < self.tokens {
            let text = self.decode().await;
            return EventStep::Send(self.event(&text));
        }
        EventStep::End
    }
}

/// What comes next in a stream.
enum EventStep {
    Send(Bytes),
    Cut,
    End,
}

/// A stream after its last event, or still under way.
enum StreamState {
    Decoding(Box<DecodeRun>),
    Ended,
}

fn event_stream(run: DecodeRun) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let first = StreamState::Decoding(Box::new(run));
    stream::unfold(first, |state| async move {
        let StreamState::Decoding(mut run) = state else {
            return None;
        };
        match run.next_step().await {
            EventStep::Send(event) => Some((Ok(event), StreamState::Decoding(run))),
            EventStep::Cut => {
                run.started.guard.end(RunOutcome::Failed);
                Some((Err(cut_error()), StreamState::Ended))
            }
            EventStep::End => end_stream(*run),
        }
    })
}

fn end_stream(run: DecodeRun) -> Option<(Result<Bytes, io::Error>, StreamState)> {
    let fault = run.started.fault.kind;
    run.started.guard.end(RunOutcome::Completed);
    if fault == FaultKind::NoEnd {
        return None;
    }
    let foreign = match fault {
        FaultKind::ForeignEnd => JOINED_LINE.trim_end(),
        _ => "",
    };
    let last = Bytes::from(format!("data: [DONE]\n\n{foreign}"));
    Some((Ok(last), StreamState::Ended))
}
