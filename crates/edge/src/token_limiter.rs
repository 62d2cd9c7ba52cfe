//! Rate limits of the organisations by token pools: drives the state machine of the pools with the clock and messages.

use crate::message::{PeerMessage, TokenQuestion};
use crate::metrics::EdgeMetrics;
use crate::settings::EdgeSettings;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use plantainmill_admission::UsageRecorder;
use plantainmill_admission::pools::{
    AskOutcome, BookCounts, FleetView, PoolBook, RateLimit, TokenAsk, TokenKind, TokenReceipt,
    TokenReply, TokenStep,
};
use plantainmill_core::{Clock, Incarnation, OrganisationId, Uptime, VmId};
use plantainmill_routing::DocumentView;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time for which a question stays known, so that a late token is returned.
const QUESTION_RETENTION: Duration = Duration::from_secs(2);

/// A message about a token, and the VM that holds its pool.
type OutgoingToken = (VmId, PeerMessage);

/// A question that was sent and not answered.
struct OpenQuestion {
    ask: TokenAsk,
    asked_at: Uptime,
    answer: oneshot::Sender<TokenReply>,
}

/// Admits the requests of organisations with a limit.
pub(crate) struct TokenLimiter {
    vm: VmId,
    book: RefCell<PoolBook>,
    view: DocumentView,
    usage: UsageRecorder,
    clock: Arc<dyn Clock>,
    questions: RefCell<HashMap<u64, OpenQuestion>>,
    outgoing: UnboundedSender<OutgoingToken>,
    receiver: Cell<Option<UnboundedReceiver<OutgoingToken>>>,
    metrics: TokenMetrics,
}

struct TokenMetrics {
    asked: Counter<u64>,
    granted: Counter<u64>,
    unanswered: Counter<u64>,
    refused: Counter<u64>,
    returned: Counter<u64>,
    held: Gauge<u64>,
    silent: Gauge<u64>,
    published: Cell<BookCounts>,
}

impl TokenMetrics {
    fn new(meter: &Meter) -> TokenMetrics {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        TokenMetrics {
            asked: counter("plantainmill_pool_tokens_asked"),
            granted: counter("plantainmill_pool_tokens_granted"),
            unanswered: counter("plantainmill_pool_questions_unanswered"),
            refused: counter("plantainmill_pool_refused"),
            returned: counter("plantainmill_pool_tokens_returned"),
            held: meter.u64_gauge("plantainmill_pools_held").build(),
            silent: meter.u64_gauge("plantainmill_pool_silent_holders").build(),
            published: Cell::default(),
        }
    }

    fn publish(&self, counts: BookCounts, held: usize, silent: usize) {
        let before = self.published.replace(counts);
        self.asked.add(counts.asked - before.asked, &[]);
        self.granted.add(counts.granted - before.granted, &[]);
        self.unanswered.add(counts.silent - before.silent, &[]);
        self.refused.add(counts.refused - before.refused, &[]);
        self.returned.add(counts.returned - before.returned, &[]);
        self.held.record(held as u64, &[]);
        self.silent.record(silent as u64, &[]);
    }
}

impl TokenLimiter {
    /// Creates the limiter of a VM. It holds no pool before the first [`TokenLimiter::tick`] with a view.
    pub fn new(
        settings: &EdgeSettings,
        view: &DocumentView,
        clock: &Arc<dyn Clock>,
        incarnation: Incarnation,
        metrics: &EdgeMetrics,
    ) -> TokenLimiter {
        let vm = settings.vm.id.clone();
        let regions = settings.regions.iter();
        let regions = regions.map(|(domain, region)| (domain.clone(), region.clone()));
        let (outgoing, receiver) = mpsc::unbounded_channel();
        let domain = settings.vm.domain.clone();
        TokenLimiter {
            book: RefCell::new(PoolBook::new(
                vm.clone(),
                domain,
                regions.collect(),
                incarnation,
            )),
            vm,
            view: view.clone(),
            usage: UsageRecorder::new(Arc::clone(clock)),
            clock: Arc::clone(clock),
            questions: RefCell::default(),
            outgoing,
            receiver: Cell::new(Some(receiver)),
            metrics: TokenMetrics::new(&metrics.meter()),
        }
    }

    /// Usage of this VM and its peers, for their reports.
    pub fn usage(&self) -> UsageRecorder {
        self.usage.clone()
    }

    /// The messages that the exchange sends. Returns nothing from the second call on.
    pub fn take_outgoing(&self) -> Option<UnboundedReceiver<OutgoingToken>> {
        self.receiver.take()
    }

    /// Rate limit of an organisation by the document in force; `None` if it has none.
    fn limit(&self, organisation: &OrganisationId) -> Option<RateLimit> {
        let document = self.view.load()?;
        let rule = document.organisations.get(organisation)?;
        Some(RateLimit {
            rate: f64::from(rule.rate_per_s),
            burst: f64::from(rule.burst),
        })
    }

    /// Checks one request of `organisation`. May ask other VMs for a token.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry may be admitted if the organisation has exhausted its rate and burst.
    pub async fn admit(
        &self,
        organisation: &OrganisationId,
        kind: TokenKind,
    ) -> Result<TokenReceipt, Duration> {
        let Some(limit) = self.limit(organisation).filter(|limit| limit.rate > 0.0) else {
            return Ok(TokenReceipt::Unlimited);
        };
        let now = self.clock.uptime();
        let (mut search, mut step) = self.book.borrow_mut().start(organisation, limit, kind, now);
        loop {
            match step {
                TokenStep::Admitted(receipt) => {
                    self.usage.record(organisation, limit, true);
                    return Ok(receipt);
                }
                TokenStep::Refused { retry_after } => {
                    self.usage.record(organisation, limit, false);
                    return Err(retry_after);
                }
                TokenStep::Ask(ask) => {
                    let outcome = self.ask(ask).await;
                    let now = self.clock.uptime();
                    step = self.book.borrow_mut().advance(&mut search, outcome, now);
                }
            }
        }
    }

    async fn ask(&self, ask: TokenAsk) -> AskOutcome {
        let (answer, answered) = oneshot::channel();
        let asked_at = self.clock.uptime();
        self.send(&ask, PeerMessage::AskToken);
        let question = OpenQuestion {
            ask: ask.clone(),
            asked_at,
            answer,
        };
        self.questions.borrow_mut().insert(ask.nonce, question);
        let Ok(Ok(reply)) = timeout(ask.valid, answered).await else {
            return AskOutcome::Silent;
        };
        // This VM may have been suspended between the answer and now.
        if self.clock.uptime() <= asked_at + ask.valid {
            return AskOutcome::Answered(reply);
        }
        self.return_late(&ask, reply);
        AskOutcome::Silent
    }

    fn send(&self, ask: &TokenAsk, message: impl FnOnce(TokenQuestion) -> PeerMessage) {
        let question = TokenQuestion {
            asker: self.vm.clone(),
            nonce: ask.nonce,
            domain: ask.domain.clone(),
            organisation: ask.organisation.clone(),
            kind: ask.kind,
            valid_ms: u32::try_from(ask.valid.as_millis()).unwrap_or(u32::MAX),
        };
        // Fails only when the exchange has ended, and nothing is sent any more.
        let _ = self.outgoing.send((ask.holder.clone(), message(question)));
    }

    fn return_late(&self, ask: &TokenAsk, reply: TokenReply) {
        if matches!(reply, TokenReply::Granted { .. }) {
            self.send(ask, PeerMessage::ReturnToken);
        }
    }

    /// Records the answer to a question. A token whose request no longer waits goes back.
    pub fn record_answer(&self, nonce: u64, reply: TokenReply) {
        let question = self.questions.borrow_mut().remove(&nonce);
        if let Some(question) = question
            && let Err(reply) = question.answer.send(reply)
        {
            self.return_late(&question.ask, reply);
        }
    }

    /// Answers the question of another VM.
    pub fn answer(&self, question: &TokenQuestion) -> TokenReply {
        let limit = self.limit(&question.organisation);
        let ask = self.ask_of(question);
        let now = self.clock.uptime();
        self.book
            .borrow_mut()
            .answer(&question.asker, &ask, limit, now)
    }

    /// Takes back a token that another VM has not used.
    pub fn take_back(&self, question: &TokenQuestion) {
        let ask = self.ask_of(question);
        let now = self.clock.uptime();
        self.book.borrow_mut().take_back(&question.asker, &ask, now);
    }

    fn ask_of(&self, question: &TokenQuestion) -> TokenAsk {
        TokenAsk {
            domain: question.domain.clone(),
            holder: self.vm.clone(),
            organisation: question.organisation.clone(),
            kind: question.kind,
            nonce: question.nonce,
            valid: Duration::from_millis(question.valid_ms.into()),
        }
    }

    /// Returns the token of a request that provably did not run.
    pub fn give_back(&self, receipt: TokenReceipt) {
        let now = self.clock.uptime();
        let returned = self.book.borrow_mut().give_back(receipt, now);
        if let Some(ask) = returned {
            self.send(&ask, PeerMessage::ReturnToken);
        }
    }

    /// Notices the time and applies what is known of the fleet, several times a second.
    pub fn tick(&self, view: Option<FleetView>) {
        let now = self.clock.uptime();
        let mut book = self.book.borrow_mut();
        book.tick(now);
        if let Some(view) = view {
            book.set_fleet(view, now);
        }
        let (held, silent) = (book.held_count(), book.silent_count(now));
        self.metrics.publish(book.counts(), held, silent);
        self.questions
            .borrow_mut()
            .retain(|_, question| now.saturating_sub(question.asked_at) < QUESTION_RETENTION);
    }

    /// Discards all tokens of this VM, because it stops.
    pub fn stop(&self) {
        self.book.borrow_mut().stop();
    }

    /// Internal state as JSON, for the diagnostic dump.
    pub fn dump(&self) -> serde_json::Value {
        self.book.borrow_mut().dump(self.clock.uptime())
    }
}
