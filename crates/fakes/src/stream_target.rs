//! A target that answers with streams of numbered events, with the faults of real ones.

use crate::other_events::{OTHER_EVENT_BYTES, send_broken_text, send_other_events};
use crate::refusal_copies::{CopyQueue, RefusalDraw, RefusalMode};
use crate::run_guard::RunGuard;
use crate::seen_request::{SeenRequest, read_request};
use crate::target_act::TargetAct;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Bytes that an endless answer sends at a time.
const ENDLESS_PART_BYTES: usize = 16 << 10;
/// Interval between the comments of a stream without progress.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time from a part of a head to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(10);

/// Names of the headers that the target knows.
#[derive(Clone, Copy, Debug)]
pub struct TargetNames {
    /// Id of a request.
    pub request_id: &'static str,
    /// Present on answers to requests that did not run.
    pub not_executed: &'static str,
    /// Requests a second that the target takes from all VMs together.
    pub limit: &'static str,
    /// Present on all answers of a target that leaves.
    pub leaving: &'static str,
}

/// A running target. Clones share the same state.
#[derive(Clone)]
pub struct StreamTarget {
    /// Address.
    pub address: SocketAddr,
    state: Rc<TargetState>,
}

struct TargetState {
    names: TargetNames,
    events: u64,
    pause: Cell<Duration>,
    acts: RefCell<VecDeque<TargetAct>>,
    default_act: Cell<TargetAct>,
    seen: RefCell<Vec<SeenRequest>>,
    /// Ids of the requests whose answers are being sent.
    running: RefCell<Vec<String>>,
    /// A request with this text in a header crashes the target.
    crash_marker: RefCell<Option<String>>,
    /// Events that such a request gets before the crash.
    events_before_crash: Cell<u64>,
    /// Notifies all connections of a crash.
    crash: Notify,
    /// Requests a second that responses name as the limit of this target.
    limit: Cell<Option<f64>>,
    /// A further header of all responses.
    header: RefCell<Option<(&'static str, String)>>,
    is_leaving: Cell<bool>,
    /// Requests that run at a time; further ones are refused.
    capacity: Cell<usize>,
    refusals: RefCell<RefusalDraw>,
    /// Header that names the instance that a request is for, and the instance that the target is.
    instance: RefCell<Option<(&'static str, String)>>,
}

impl StreamTarget {
    /// Starts a target on loopback whose streams have `events` events.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(names: TargetNames, events: u64) -> io::Result<StreamTarget> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let target = StreamTarget {
            address: listener.local_addr()?,
            state: Rc::new(TargetState {
                names,
                events,
                pause: Cell::new(Duration::ZERO),
                acts: RefCell::default(),
                default_act: Cell::default(),
                seen: RefCell::default(),
                running: RefCell::default(),
                crash_marker: RefCell::default(),
                events_before_crash: Cell::new(0),
                crash: Notify::new(),
                limit: Cell::new(None),
                header: RefCell::default(),
                is_leaving: Cell::new(false),
                capacity: Cell::new(usize::MAX),
                refusals: RefCell::new(RefusalDraw::new(RefusalMode::default())),
                instance: RefCell::default(),
            }),
        };
        let state = Rc::clone(&target.state);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Rc::clone(&state);
                actix_rt::spawn(async move {
                    tokio::select! {
                        // A caller that goes away ends the connection, as intended.
                        result = state.serve(stream) => drop(result),
                        () = state.crash.notified() => {}
                    }
                });
            }
        });
        Ok(target)
    }

    /// Plans what happens to the next requests; later ones are served.
    pub fn plan(&self, acts: impl IntoIterator<Item = TargetAct>) {
        self.state.acts.borrow_mut().extend(acts);
    }

    /// Sets what happens to requests that are not planned.
    pub fn set_default_act(&self, act: TargetAct) {
        self.state.default_act.set(act);
    }

    /// Sets the time between events.
    pub fn set_pause(&self, pause: Duration) {
        self.state.pause.set(pause);
    }

    /// A request with `marker` in a header ends all connections as soon as its answer has begun, as a crash does. The
    /// target takes new ones at once.
    pub fn crash_on(&self, marker: &str) {
        *self.state.crash_marker.borrow_mut() = Some(marker.to_owned());
    }

    /// Sets the number of events that a request gets before it crashes the target.
    pub fn set_events_before_crash(&self, events: u64) {
        self.state.events_before_crash.set(events);
    }

    /// Adds a header to all responses.
    pub fn set_header(&self, name: &'static str, value: &str) {
        self.state.header.replace(Some((name, value.to_owned())));
    }

    /// Sets the limit, in requests a second, that all responses name.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.state.limit.set(limit);
    }

    /// Sets whether all answers say that the target leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state.is_leaving.set(is_leaving);
    }

    /// Sets the number of requests that run at a time. Further ones are refused.
    pub fn set_capacity(&self, capacity: usize) {
        self.state.capacity.set(capacity);
    }

    /// Sets which requests are refused, and whether refusals are copied.
    pub fn set_refusals(&self, mode: RefusalMode) {
        self.state.refusals.replace(RefusalDraw::new(mode));
    }

    /// Begins a new life as the instance `id`: ends all connections, and refuses requests whose `header` names another one.
    pub fn restart_as(&self, header: &'static str, id: &str) {
        self.state.instance.replace(Some((header, id.to_owned())));
        self.state.crash.notify_waiters();
    }

    /// Requests seen so far.
    #[must_use]
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.state.seen.borrow().clone()
    }

    /// Takes the requests seen since the last call.
    #[must_use]
    pub fn take_seen(&self) -> Vec<SeenRequest> {
        self.state.seen.take()
    }

    /// Requests whose answers are being sent.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.running.borrow().len()
    }

    /// Ids of the requests whose answers are being sent.
    #[must_use]
    pub fn running_ids(&self) -> Vec<String> {
        self.state.running.borrow().clone()
    }
}

impl TargetState {
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut last_refusal = String::new();
        let mut copies = CopyQueue::default();
        loop {
            let request = tokio::select! {
                request = read_request(&mut stream, &mut buffer) => request?,
                copy = copies.take_idle() => {
                    stream.write_all(copy.as_bytes()).await?;
                    continue;
                }
            };
            let Some(request) = request else {
                return Ok(());
            };
            let copy = copies.take_before_answer();
            stream.write_all(copy.as_bytes()).await?;
            let id = request
                .headers
                .get(self.names.request_id)
                .cloned()
                .unwrap_or_default();
            let last = request.headers.get("last-event-id");
            let last = last.and_then(|last| last.parse().ok()).unwrap_or(0);
            let act = self.next_act(&request);
            let crashes = self.has_crash_marker(&request);
            self.seen.borrow_mut().push(SeenRequest {
                ran: !act.is_refusal(),
                ..request
            });
            if crashes {
                return self.crash_during(&mut stream, &id, last).await;
            }
            match act {
                TargetAct::Refuse
                | TargetAct::LateRefusal(_)
                | TargetAct::RefuseWith(_)
                | TargetAct::CopyRefusal(..) => {
                    last_refusal = self.refuse(&mut stream, &id, act).await?;
                    let copy = match act {
                        TargetAct::CopyRefusal(_, copy) => Some(copy),
                        _ => self.refusals.borrow_mut().draw_copy(),
                    };
                    if let Some(copy) = copy {
                        copies.add(&last_refusal, copy);
                    }
                }
                TargetAct::RefuseWithoutId => {
                    let refused = format!("{}: 1\r\n", self.names.not_executed);
                    let head = format!("HTTP/1.1 503 Any\r\n{refused}content-length: 0\r\n\r\n");
                    stream.write_all(head.as_bytes()).await?;
                    last_refusal = head;
                }
                TargetAct::Fail(status) => {
                    last_refusal = self.head(status, &id, "", "content-length: 0\r\n");
                    stream.write_all(last_refusal.as_bytes()).await?;
                }
                TargetAct::LoseAnswer => return Ok(()),
                TargetAct::CutHead(_)
                | TargetAct::ResetHead(_)
                | TargetAct::ShortBody
                | TargetAct::EndlessHead
                | TargetAct::EndlessBody
                | TargetAct::EndlessRefusal => {
                    return self.send_unfinished(&mut stream, &id, last, act).await;
                }
                TargetAct::ErrorText => {
                    let text = "data: out of memory\n\n";
                    let framing = format!(
                        "content-type: text/plain\r\ncontent-length: {}\r\n",
                        text.len()
                    );
                    let head = self.head(200, &id, "", &framing);
                    stream.write_all(head.as_bytes()).await?;
                    stream.write_all(text.as_bytes()).await?;
                }
                TargetAct::CrossAnswer => {
                    self.send_events(&mut stream, "another", last, act).await?;
                }
                _ => {
                    if act == TargetAct::RepeatRefusal {
                        stream.write_all(last_refusal.as_bytes()).await?;
                        sleep(self.pause.get()).await;
                    }
                    let _running = RunGuard::start(&self.running, &id);
                    if !self.send_events(&mut stream, &id, last, act).await? {
                        return Ok(());
                    }
                    let copy = copies.take_behind_answer();
                    stream.write_all(copy.as_bytes()).await?;
                }
            }
        }
    }

    /// Sends a response without its end.
    async fn send_unfinished(
        &self,
        stream: &mut TcpStream,
        id: &str,
        last: u64,
        act: TargetAct,
    ) -> io::Result<()> {
        let filler = vec![b'x'; ENDLESS_PART_BYTES];
        match act {
            TargetAct::EndlessHead => {
                stream.write_all(b"HTTP/1.1 200 Any\r\nfiller: ").await?;
                send_endless(stream, &filler).await
            }
            TargetAct::EndlessBody => {
                let head = self.head(500, id, "", "connection: close\r\n");
                stream.write_all(head.as_bytes()).await?;
                send_endless(stream, &filler).await
            }
            TargetAct::EndlessRefusal => {
                let refused = format!("{}: 1\r\n", self.names.not_executed);
                let head = self.head(503, id, &refused, "connection: close\r\n");
                stream.write_all(head.as_bytes()).await?;
                let _running = RunGuard::start(&self.running, id);
                send_endless(stream, &filler).await
            }
            _ => {
                let body = self.events_after(last);
                let length = format!("content-length: {}\r\n", body.len());
                let framing = format!("content-type: text/event-stream\r\n{length}");
                let head = self.head(200, id, "", &framing);
                send_part(stream, act, &head, &body).await
            }
        }
    }

    /// Refuses a request, and returns what it has sent.
    async fn refuse(&self, stream: &mut TcpStream, id: &str, act: TargetAct) -> io::Result<String> {
        if let TargetAct::LateRefusal(delay) = act {
            sleep(delay).await;
        }
        let status = match act {
            TargetAct::RefuseWith(status) | TargetAct::CopyRefusal(status, _) => status,
            _ => 503,
        };
        let refused = format!("{}: 1\r\n", self.names.not_executed);
        let head = self.head(status, id, &refused, "content-length: 0\r\n");
        stream.write_all(head.as_bytes()).await?;
        Ok(head)
    }

    /// What happens to a request: what is planned, unless the target is another instance or has no room.
    fn next_act(&self, request: &SeenRequest) -> TargetAct {
        let planned = self.acts.borrow_mut().pop_front();
        let instance = self.instance.borrow();
        let is_misdirected = instance.as_ref().is_some_and(|(header, id)| {
            let expected = request.headers.get(*header);
            expected.is_some_and(|expected| expected != id)
        });
        if is_misdirected {
            return TargetAct::RefuseWith(421);
        }
        if self.running.borrow().len() >= self.capacity.get() {
            return TargetAct::RefuseWith(self.refusals.borrow_mut().draw_status());
        }
        planned.unwrap_or_else(|| {
            let refused = self.refusals.borrow_mut().draw_refusal();
            refused.map_or_else(|| self.default_act.get(), TargetAct::RefuseWith)
        })
    }

    /// Begins an answer and ends all connections.
    async fn crash_during(&self, stream: &mut TcpStream, id: &str, last: u64) -> io::Result<()> {
        let framing = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        let head = self.head(200, id, "", framing);
        stream.write_all(head.as_bytes()).await?;
        for number in last + 1..=last + self.events_before_crash.get() {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
        }
        self.crash.notify_waiters();
        Ok(())
    }

    fn has_crash_marker(&self, request: &SeenRequest) -> bool {
        let marker = self.crash_marker.borrow();
        let mut values = request.headers.values();
        marker
            .as_ref()
            .is_some_and(|marker| values.any(|value| value.contains(marker)))
    }

    fn head(&self, status: u16, id: &str, extra: &str, framing: &str) -> String {
        let name = self.names.request_id;
        let limit = self.limit.get();
        let limit = limit.map_or_else(String::new, |limit| {
            format!("{}: {limit}\r\n", self.names.limit)
        });
        let leaving = if self.is_leaving.get() {
            format!("{}: 1\r\n", self.names.leaving)
        } else {
            String::new()
        };
        let header = self.header.borrow();
        let header = header
            .as_ref()
            .map_or_else(String::new, |(name, value)| format!("{name}: {value}\r\n"));
        let stated = format!("stamp: s1\r\n{limit}{leaving}{header}");
        format!("HTTP/1.1 {status:03} Any\r\n{name}: {id}\r\n{stated}{extra}{framing}\r\n")
    }

    /// The events after `last` as one body.
    fn events_after(&self, last: u64) -> String {
        let events = (last + 1..=self.events)
            .map(|number| format!("id: {number}\ndata: piece {number}\n\n"));
        events.collect()
    }

    /// Sends the events after `last`. Says whether the connection may be used again.
    async fn send_events(
        &self,
        stream: &mut TcpStream,
        id: &str,
        last: u64,
        act: TargetAct,
    ) -> io::Result<bool> {
        let is_framed = !matches!(
            act,
            TargetAct::Unframed | TargetAct::UnframedEnd(_) | TargetAct::UnframedReset(_)
        );
        let framing = if is_framed {
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
        } else {
            "content-type: text/event-stream\r\nconnection: close\r\n"
        };
        stream
            .write_all(self.head(200, id, "", framing).as_bytes())
            .await?;
        if let TargetAct::EndlessEvents(bytes) = act {
            send_other_events(stream, last + 1..=u64::MAX, bytes).await?;
            return Ok(false);
        }
        for number in last + 1..=self.events {
            pause_open(stream, self.pause.get()).await?;
            if !send_foreign(stream, act, number - 1).await? {
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            match act {
                TargetAct::CutAfter(after) if number > after => {
                    let part = &event[..event.len() / 2];
                    let chunk = format!("{:x}\r\n{part}\r\n", part.len());
                    stream.write_all(chunk.as_bytes()).await?;
                    return Ok(false);
                }
                TargetAct::SilentAfter(after) if number > after => {
                    let mut rest = Vec::new();
                    // Ends when the caller closes the connection.
                    stream.read_to_end(&mut rest).await?;
                    return Ok(false);
                }
                TargetAct::UnframedEnd(after) if number > after => return Ok(false),
                TargetAct::UnframedReset(after) if number > after => {
                    stream.set_zero_linger()?;
                    return Ok(false);
                }
                TargetAct::EndlessEvent(after) if number > after => {
                    let part = "x".repeat(ENDLESS_PART_BYTES);
                    let chunk = format!("{:x}\r\n{part}\r\n", part.len());
                    send_endless(stream, chunk.as_bytes()).await?;
                    return Ok(false);
                }
                TargetAct::TrickleAfter(after) if number > after => {
                    return trickle(stream, b"2\r\n:\n\r\n").await;
                }
                TargetAct::TrickleBlocks(after) if number > after => {
                    return trickle(stream, b"3\r\n:\n\n\r\n").await;
                }
                TargetAct::Skip(skipped) if number == skipped => continue,
                TargetAct::BrokenText(after) if number == after + 1 => {
                    send_broken_text(stream, number).await?;
                    continue;
                }
                _ => {}
            }
            let chunk = if is_framed {
                format!("{:x}\r\n{event}\r\n", event.len())
            } else {
                event
            };
            stream.write_all(chunk.as_bytes()).await?;
        }
        if !send_foreign(stream, act, self.events).await? {
            return Ok(false);
        }
        if let TargetAct::ExcessEvents(end) = act {
            let first = self.events.max(last) + 1;
            send_other_events(stream, first..=end, OTHER_EVENT_BYTES).await?;
            return Ok(false);
        }
        if is_framed {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(is_framed)
    }
}

/// Sends the bytes that `act` adds after the event `number`, as a chunk. Says whether the response goes on.
async fn send_foreign(stream: &mut TcpStream, act: TargetAct, number: u64) -> io::Result<bool> {
    match act {
        TargetAct::ForeignEnd(after, bytes) | TargetAct::ForeignWithin(after, bytes)
            if number == after =>
        {
            let chunk = format!("{:x}\r\n{bytes}\r\n", bytes.len());
            stream.write_all(chunk.as_bytes()).await?;
            Ok(matches!(act, TargetAct::ForeignWithin(..)))
        }
        _ => Ok(true),
    }
}

/// Waits, and fails as soon as the caller closes the connection.
async fn pause_open(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let until = Instant::now() + time;
    match timeout_at(until, stream.peek(&mut [0])).await {
        Ok(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(Err(error)) => Err(error),
        // The next request on the connection.
        Ok(Ok(_)) => {
            sleep_until(until).await;
            Ok(())
        }
        Err(_) => Ok(()),
    }
}

/// Sends the part of an answer that `act` leaves of it. The connection ends when it is dropped.
async fn send_part(
    stream: &mut TcpStream,
    act: TargetAct,
    head: &str,
    body: &str,
) -> io::Result<()> {
    let part = match act {
        TargetAct::CutHead(cut) | TargetAct::ResetHead(cut) => cut.cut(head),
        _ => format!("{head}{}", &body[..body.len() / 2]),
    };
    stream.write_all(part.as_bytes()).await?;
    if matches!(act, TargetAct::ResetHead(_)) {
        // A reset discards what the caller has not read yet.
        sleep(RESET_DELAY).await;
        stream.set_zero_linger()?;
    }
    Ok(())
}

/// Sends `part` now and then. Ends with an error when the caller closes the connection.
async fn trickle(stream: &mut TcpStream, part: &[u8]) -> io::Result<bool> {
    loop {
        sleep(TRICKLE_INTERVAL).await;
        stream.write_all(part).await?;
    }
}

/// Sends `part` again and again. Ends with an error when the caller closes the connection.
async fn send_endless(stream: &mut TcpStream, part: &[u8]) -> io::Result<()> {
    loop {
        stream.write_all(part).await?;
    }
}
