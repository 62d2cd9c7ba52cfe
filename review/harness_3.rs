//! Stand-ins and helpers for the scripts of the third review: the platform's store, model replicas, the operator, clients,
//! and VMs as processes with the command of the deploy file. Standard library only.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt as _;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, unused: u64, unused_too: u64, last: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Sends a signal to a process that this program has started.
pub fn send_signal(pid: u32, signal: i32) {
    unsafe { kill(i32::try_from(pid).unwrap(), signal) };
}

// ---------------------------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(text, at)? else {
                            return None;
                        };
                        skip_space(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut bytes = Vec::new();
            loop {
                let start = *at;
                while !matches!(*text.get(*at)?, b'"' | b'\\') {
                    *at += 1;
                }
                bytes.extend_from_slice(&text[start..*at]);
                *at += 1;
                if text[*at - 1] == b'"' {
                    return Some(Json::Text(String::from_utf8(bytes).ok()?));
                }
                let escape = *text.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'b' => bytes.push(8),
                    b'f' => bytes.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let letter = char::from_u32(code).unwrap_or('?');
                        let mut buffer = [0; 4];
                        bytes.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => bytes.push(other),
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|byte| matches!(byte, b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9'))
            {
                *at += 1;
            }
            let digits = std::str::from_utf8(&text[start..*at]).ok()?;
            Some(Json::Number(digits.parse().ok()?))
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(content: &[u8]) -> String {
    let mut text = String::with_capacity(content.len() * 4 / 3 + 4);
    for chunk in content.chunks(3) {
        let mut bits = 0_u32;
        for position in 0..3 {
            bits = bits << 8 | u32::from(chunk.get(position).copied().unwrap_or(0));
        }
        for position in 0..4 {
            if position <= chunk.len() {
                let index = bits >> (18 - 6 * position) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------------------------- HTTP

/// A request as a stand-in has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header_of(&self.headers, name)
    }

    /// Value of a query field. Ids, keys and numbers need only `%XX` decoding.
    pub fn field(&self, name: &str) -> Option<String> {
        let pair = self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        let bytes = pair.as_bytes();
        let mut decoded = Vec::new();
        let mut at = 0;
        while at < bytes.len() {
            if bytes[at] == b'%' && at + 2 < bytes.len() {
                let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).ok()?;
                decoded.push(u8::from_str_radix(digits, 16).ok()?);
                at += 3;
            } else {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
        String::from_utf8(decoded).ok()
    }
}

pub fn header_of<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_end: bool,
) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if header_of(headers, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match header_of(headers, "content-length") {
        Some(length) => {
            body.resize(length.parse().ok()?, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None if until_end => {
            reader.read_to_end(&mut body).ok()?;
        }
        None => {}
    }
    Some(body)
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (line, headers) = read_head(reader)?;
    let mut words = line.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &headers, false)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

/// Serves connections of `listener` with one thread each. The handler returns whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(writer) = stream.try_clone() else { return };
                let mut writer = writer;
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handler(&request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut content = head.into_bytes();
    content.extend_from_slice(body);
    stream.write_all(&content).is_ok()
}

pub struct Answer {
    pub status: u16,
        pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Makes one call on a new connection. `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("Connection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = read_head(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers, true)?;
    Some(Answer {
        status,
        headers,
        body,
    })
}

// --------------------------------------------------------------------------------------------------------------- store

type RowKey = (String, String, String);

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<RowKey, (u64, Arc<str>)>,
    version: u64,
    /// Changes by version, for the feed; `None` is a removal.
    changes: Vec<(u64, RowKey)>,
}

/// The platform's store, kept in memory, as `PROTOCOL.md` describes it.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
    pub calls: AtomicU64,
}

const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;
const TXN_TIME: Duration = Duration::from_millis(5);
const READ_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr().unwrap(),
            calls: AtomicU64::new(0),
        });
        let served = Arc::clone(&store);
        serve(listener, move |request, stream| served.handle(request, stream));
        store
    }

    /// Writes a row on behalf of the operator or a replica.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.version += 1;
        let version = state.version;
        state.rows.insert(key.clone(), (version, base64(value.as_bytes()).into()));
        state.changes.push((version, key));
        self.changed.notify_all();
    }

    /// Number of results of jobs in the store, by the first row of each.
    pub fn result_count(&self) -> u64 {
        let state = self.state.lock().unwrap();
        let rows = state.rows.keys().filter(|key| key.0 == "job_items");
        rows.filter(|key| key.2.contains("/r") && key.2.ends_with(".00")).count() as u64
    }

    fn row_json(key: &RowKey, row: Option<&(u64, Arc<str>)>, version: u64) -> String {
        let (table, part, name) = key;
        match row {
            Some((version, value)) => format!(
                "{{\"Table\":\"{table}\",\"part\":\"{part}\",\"Key\":\"{name}\",\"Value\":\"{value}\",\"Ver\":{version}}}"
            ),
            None => format!(
                "{{\"Table\":\"{table}\",\"part\":\"{part}\",\"Key\":\"{name}\",\"Ver\":{version},\"Deleted\":true}}"
            ),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/rows-tx") => self.transact(request),
            ("GET", "/api/rows-get") => self.read(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            _ => (404, String::new()),
        };
        respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        if request.body.len() > MAX_PAGE_BYTES + (64 << 10) {
            return (400, "the call is larger than 1 MB".to_owned());
        }
        let Some(call) = Json::parse(&request.body) else {
            return (400, "no JSON".to_owned());
        };
        thread::sleep(TXN_TIME);
        let rows = |name: &str| -> Vec<(RowKey, Option<u64>, Option<String>)> {
            let list = call.get(name).map_or(&[][..], Json::list);
            let rows = list.iter().filter_map(|row| {
                let text = |field| row.get(field).and_then(Json::text).map(str::to_owned);
                let key = (text("Table")?, text("part")?, text("Key")?);
                Some((key, row.get("Ver").and_then(Json::number), text("Value")))
            });
            rows.collect()
        };
        let (expected, puts, removes) = (rows("ExpectedRev"), rows("Put"), rows("Remove"));
        if expected.len() + puts.len() + removes.len() > 100 {
            return (400, "more than 100 entries".to_owned());
        }
        if puts.iter().chain(&removes).any(|(key, _, _)| key.0 == "op" || key.0 == "servers") {
            return (403, String::new());
        }
        let mut state = self.state.lock().unwrap();
        let holds = expected.iter().all(|(key, version, _)| {
            let stored = state.rows.get(key).map_or(0, |(version, _)| *version);
            Some(stored) == *version
        });
        if !holds {
            let current = expected.iter().filter_map(|(key, _, _)| {
                let row = state.rows.get(key)?;
                Some(Store::row_json(key, Some(row), 0))
            });
            let current: Vec<String> = current.collect();
            let version = state.version;
            let now = self.now_ms();
            let rows = current.join(",");
            return (412, format!("{{\"Rows\":[{rows}],\"Ver\":{version},\"NowMs\":{now}}}"));
        }
        if !puts.is_empty() || !removes.is_empty() {
            state.version += 1;
        }
        let version = state.version;
        for (key, _, value) in puts {
            state.rows.insert(key.clone(), (version, value.unwrap_or_default().into()));
            state.changes.push((version, key));
        }
        for (key, _, _) in removes {
            state.rows.remove(&key);
            state.changes.push((version, key));
        }
        self.changed.notify_all();
        (200, format!("{{\"Ver\":{version},\"NowMs\":{}}}", self.now_ms()))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        thread::sleep(READ_TIME);
        let field = |name| request.field(name).unwrap_or_default();
        let (table, part, from, until) = (field("Table"), field("part"), field("From"), field("To"));
        let limit = field("Limit").parse().unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let state = self.state.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let mut rows: Vec<String> = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, row) in state.rows.range(start..) {
            if key.0 != table || key.1 != part || !until.is_empty() && key.2 >= until {
                break;
            }
            if rows.len() == limit || !rows.is_empty() && bytes + row.1.len() > MAX_PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += row.1.len();
            rows.push(Store::row_json(key, Some(row), 0));
        }
        let body = format!(
            "{{\"Rows\":[{}],\"HasMore\":{has_more},\"Ver\":{},\"NowMs\":{}}}",
            rows.join(","),
            state.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let field = |name| request.field(name).unwrap_or_default();
        let table = field("Table");
        let after: u64 = field("After").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        thread::sleep(READ_TIME);
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state.changes.partition_point(|(version, _)| *version <= after);
            let changed: Vec<&(u64, RowKey)> = state.changes[newer..]
                .iter()
                .filter(|(_, key)| key.0 == table)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let mut latest: HashMap<&RowKey, u64> = HashMap::new();
                for (version, key) in &changed {
                    latest.insert(key, *version);
                }
                let mut latest: Vec<(&RowKey, u64)> = latest.into_iter().collect();
                latest.sort_by_key(|(_, version)| *version);
                let rows: Vec<String> = latest
                    .into_iter()
                    .map(|(key, version)| Store::row_json(key, state.rows.get(key), version))
                    .collect();
                let body = format!(
                    "{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                    rows.join(","),
                    state.version,
                    self.now_ms()
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ------------------------------------------------------------------------------------------------------------ replicas

/// One run of a request at a replica: what it asks for, and where the replica writes.
pub struct Run<'a> {
    pub replica: &'a str,
    pub request: &'a Request,
    pub id: &'a str,
    /// Event after which the run goes on; zero for a run from the start.
    pub after: u64,
    pub stream: &'a mut TcpStream,
}

impl Run<'_> {
    /// Writes the head of a stream of events.
    pub fn begin(&mut self) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Plantainmill-Request-Id: {}\r\nX-Plantainmill-Server-Stamp: {}.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id, self.replica, self.id
        );
        self.stream.write_all(head.as_bytes()).is_ok()
    }

    pub fn event(&mut self, number: u64, data: &str) -> bool {
        let event = format!("id: {number}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.stream.write_all(chunk.as_bytes()).is_ok()
    }

    pub fn end(&mut self) -> bool {
        self.stream.write_all(b"0\r\n\r\n").is_ok()
    }

        pub fn status(&mut self, status: u16) -> bool {
        let stamp = format!("{}.{}", self.replica, self.id);
        let headers = [
            ("X-Plantainmill-Request-Id", self.id),
            ("X-Plantainmill-Server-Stamp", stamp.as_str()),
        ];
        respond(self.stream, status, &headers, b"")
    }
}

/// A replica of a service. It takes up to `slots` requests at a time and refuses others as full.
pub struct Replica {
    pub id: String,
    service: String,
    zone: String,
    slots: usize,
    address: SocketAddr,
    sequence: AtomicU64,
    pub state: Mutex<&'static str>,
    pub running: AtomicUsize,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        run: impl Fn(&mut Run<'_>) -> bool + Send + Sync + 'static,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.local_addr().unwrap(),
            sequence: AtomicU64::new(0),
            state: Mutex::new("ready"),
            running: AtomicUsize::new(0),
        });
        let served = Arc::clone(&replica);
        serve(listener, move |request, stream| {
            let id = request.header("X-Plantainmill-Request-Id").unwrap_or_default();
            let echo = ("X-Plantainmill-Request-Id", id);
            let refused = ("X-Plantainmill-Not-Executed", "1");
            let expected = request.header("X-Plantainmill-Expect-Instance");
            if expected.is_some_and(|expected| expected != served.id) {
                return respond(stream, 421, &[echo, refused], b"");
            }
            if served.running.fetch_add(1, Ordering::SeqCst) >= served.slots {
                served.running.fetch_sub(1, Ordering::SeqCst);
                return respond(stream, 503, &[echo, refused], b"");
            }
            let after = request.header("Last-Event-Id").and_then(|id| id.parse().ok());
            let mut current = Run {
                replica: &served.id,
                request,
                id,
                after: after.unwrap_or(0),
                stream,
            };
            let stays_open = run(&mut current);
            served.running.fetch_sub(1, Ordering::SeqCst);
            stays_open
        });
        replica
    }

    /// Writes the replica's entry to the store.
    pub fn report(&self, store: &Store) {
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\
             \"State\":\"{}\",\"ColdLeftMs\":0,\"Stage\":\"both\",\"Models\":[],\"Sequence\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state.lock().unwrap(),
            self.sequence.fetch_add(1, Ordering::Relaxed)
        );
        store.put("servers", &self.id, &entry);
    }
}

/// Reports all replicas every 1.2 s until the program ends.
pub fn keep_reporting(store: &Arc<Store>, replicas: &[Arc<Replica>]) {
    let (store, replicas) = (Arc::clone(store), replicas.to_vec());
    for replica in &replicas {
        replica.report(&store);
    }
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(1_200));
            for replica in &replicas {
                replica.report(&store);
            }
        }
    });
}

// ----------------------------------------------------------------------------------------------------------------- VMs

/// Settings of one VM, as `deploy/settings.toml` makes them.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    process: Mutex<Option<Child>>,
    /// Times that the platform has ended the process because it was over its memory.
    pub over_memory: AtomicU64,
    /// Largest resident size that was seen, in MB.
    pub peak_mb: AtomicU64,
    /// Times that the process has ended with no signal of this program.
    pub own_ends: AtomicU64,
}

/// A port that is free over TCP and UDP, below those that the system gives to outgoing connections.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (u64::from(std::process::id()) * 16 + step) % 18_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(port).unwrap()));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

pub const ZONES: [(&str, &str); 3] = [
    ("catania", "sicilia-est"),
    ("palermo", "sicilia-ovest"),
    ("siracusa", "sicilia-est"),
];

impl Vm {
    /// Prepares a VM in the zone with this number.
    pub fn new(root: &Path, folder: &Path, store: SocketAddr, number: usize) -> Arc<Vm> {
        let (zone, region) = ZONES[number % ZONES.len()];
        let name = format!("front-{zone}-{}", number / ZONES.len() + 1);
        let (callers, readiness, metrics) = (free_port(), free_port(), free_port());
        let control = free_port();
        let mut text = format!(
            "[vm]\nid = \"{name}\"\ndomain = \"{zone}\"\nregion = \"{region}\"\nprocessor_percent = 0.5e2\n\n[regions]\n"
        );
        for (zone, region) in ZONES {
            let _ = writeln!(text, "\"{zone}\" = \"{region}\"");
        }
        let _ = write!(
            text,
            "[listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\ncontrol = \"{control}\"\n\
             peers = \"{control}\"\nmetrics = \"{metrics}\"\n\n[store]\naddress = \"{store}\"\n\n\
             [bounds]\nkey_ms = 5000\nstop_s = 8\nresults_s = 120\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).unwrap();
        Arc::new(Vm {
            log: folder.join(format!("{name}.log")),
            program: root.join("target/release/plantainmill"),
            name,
            callers,
            readiness,
            settings,
            process: Mutex::new(None),
            over_memory: AtomicU64::new(0),
            peak_mb: AtomicU64::new(0),
            own_ends: AtomicU64::new(0),
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(&self.program);
        command
            .args(["--log-format", "json", "serve", "--platform"])
            .env_clear()
            .env("PLANTAINMILL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // The process ends with this program, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        *self.process.lock().unwrap() = Some(command.spawn().unwrap());
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.process.lock().unwrap() {
            send_signal(child.id(), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM, and SIGKILL after `grace`. The platform does not start the process again meanwhile.
    pub fn stop(&self, grace: Duration) {
        let Some(mut child) = self.process.lock().unwrap().take() else {
            return;
        };
        send_signal(child.id(), SIGTERM);
        thread::spawn(move || {
            let until = Instant::now() + grace;
            while Instant::now() < until {
                if matches!(child.try_wait(), Ok(Some(_))) {
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
            let _ = child.kill();
            let _ = child.wait();
        });
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.readiness, "GET", "/api/readiness", &[("Host", "readiness")], b"", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    fn resident_mb(&self) -> Option<u64> {
        let id = self.process.lock().unwrap().as_ref()?.id();
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1024)
    }

    fn has_ended(&self) -> bool {
        let mut process = self.process.lock().unwrap();
        let ended = process.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            *process = None;
        }
        ended
    }
}

/// What the platform does with processes: it ends one that exceeds its memory, and starts one again that has ended.
pub struct Platform {
    stopped: Arc<AtomicBool>,
    watch: Option<thread::JoinHandle<()>>,
}

const RESTART_DELAY: Duration = Duration::from_millis(500);

impl Platform {
    pub fn watch(vms: &[Arc<Vm>], memory_mb: u64, record: &Arc<Record>) -> Platform {
        let (vms, record) = (vms.to_vec(), Arc::clone(record));
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = Arc::clone(&stopped);
        let watch = thread::spawn(move || {
            let mut restarts: Vec<(usize, Instant)> = Vec::new();
            while !is_stopped.load(Ordering::Relaxed) {
                for (number, vm) in vms.iter().enumerate() {
                    if let Some(resident) = vm.resident_mb() {
                        vm.peak_mb.fetch_max(resident, Ordering::Relaxed);
                        if resident > memory_mb {
                            vm.kill();
                            vm.over_memory.fetch_add(1, Ordering::Relaxed);
                            record.line(&format!(
                                "platform: {} has {resident} MB, over its {memory_mb} MB, and is killed",
                                vm.name
                            ));
                            restarts.push((number, Instant::now() + RESTART_DELAY));
                            continue;
                        }
                    }
                    if vm.has_ended() {
                        vm.own_ends.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!("platform: {} has ended by itself", vm.name));
                        restarts.push((number, Instant::now() + RESTART_DELAY));
                    }
                }
                let now = Instant::now();
                for (number, _) in restarts.iter().filter(|(_, at)| now >= *at) {
                    vms[*number].start();
                }
                restarts.retain(|(_, at)| now < *at);
                thread::sleep(Duration::from_millis(5));
            }
        });
        Platform {
            stopped,
            watch: Some(watch),
        }
    }

    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(watch) = self.watch.take() {
            let _ = watch.join();
        }
    }
}

// -------------------------------------------------------------------------------------------------------------- record

/// The file in which a script states what was sent, answered and run.
pub struct Record {
    file: Mutex<std::fs::File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Record> {
        Arc::new(Record {
            file: Mutex::new(std::fs::File::create(folder.join("record.txt")).unwrap()),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let elapsed = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{elapsed:8.3} {text}");
        println!("{elapsed:8.3} {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/pule252/";

/// Route of callers, which stays with the service `compagno`.
pub const CALLER_HOST: &str = "ficu95.example";
pub const CALLER_PREFIX: &str = "/pufi791/";

/// A manifest with a batch route that goes to `service`, and a route of callers.
pub fn manifest(version: u64, service: &str, retention_s: u64) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{PREFIX}\",\
         \"Kind\":\"batch\",\"TimeoutMs\":15000,\"SloMs\":400,\"GapTargetMs\":300,\"Priority\":2,\"Service\":\"{service}\",\
         \"MaxAttempts\":3,\"CompletionTargetMs\":18000,\"RetentionS\":{retention_s},\"MaxCount\":1200000}},\
         {{\"Name\":\"r-2\",\"Host\":\"{CALLER_HOST}\",\"PathPrefix\":\"{CALLER_PREFIX}\",\"Kind\":\"streaming\",\
         \"TimeoutMs\":5000,\"SloMs\":300,\"GapTargetMs\":300,\"Priority\":0,\"Service\":\"compagno\",\"MaxAttempts\":1,\
         \"Resumable\":false}}],\
         \"Services\":[{{\"Name\":\"compagno\",\"HealthPath\":\"/health\",\"MaxConns\":210}},\
         {{\"Name\":\"guida\",\"HealthPath\":\"/health\",\"MaxConns\":210}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{}]}}",
        (0..TENANTS)
            .map(|tenant| format!(
                "{{\"Name\":\"tenant{tenant}\",\"ApiKeys\":[\"key-{tenant}\"],\"Priority\":1,\"RatePerS\":0,\"Burst\":0}}"
            ))
            .collect::<Vec<_>>()
            .join(",")
    )
}

/// Number of tenants in the manifest.
pub const TENANTS: usize = 4;

pub fn job_name(number: usize) -> String {
    format!("job{number:04}")
}

/// Body of a submission with `items` items of `tokens` tokens.
pub fn submission(job: usize, items: usize, tokens: usize) -> String {
    let requests = (0..items).map(|item| {
        format!(
            "{{\"Id\":\"i{job:02}{item:04}\",\"Path\":\"{PREFIX}{job}/{item}\",\"Headers\":{{\"X-Plantainmill-Model\":\"m\",\
             \"X-Plantainmill-Token-Usage\":\"50,{}\"}},\"Body\":\"{}\",\"Tokens\":{tokens}}}",
            tokens - 50,
            base64(format!("question {job} {item}").as_bytes())
        )
    });
    format!("{{\"Requests\":[{}]}}", requests.collect::<Vec<_>>().join(","))
}

/// Answers a run with a stream of `count` events, the data of which `data` makes of the request's id and the event's number.
pub fn write_events(
    run: &mut Run<'_>,
    count: u64,
    interval: Duration,
    data: impl Fn(&str, u64) -> String,
) -> bool {
    let id = run.id.to_owned();
    if !run.begin() {
        return false;
    }
    for event in run.after + 1..=count {
        if !run.event(event, &data(&id, event)) {
            return false;
        }
        thread::sleep(interval);
    }
    run.end()
}

/// A result as a client has read it.
pub struct JobResult {
    pub id: String,
    pub state: String,
    pub output: String,
}

/// Three VMs in three zones, with the platform that watches them.
#[derive(Clone)]
pub struct Fleet {
    pub store: Arc<Store>,
    pub vms: Vec<Arc<Vm>>,
    pub record: Arc<Record>,
    folder: PathBuf,
    memory_mb: u64,
}

impl Fleet {
    pub fn prepare(root: &Path, folder: &Path, memory_mb: u64) -> Fleet {
        let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).unwrap();
        let store = Store::start();
        let vms = (0..3).map(|number| Vm::new(root, &temporary, store.address, number));
        Fleet {
            vms: vms.collect(),
            store,
            record: Record::create(folder),
            folder: temporary,
            memory_mb,
        }
    }

    /// Starts the VMs, waits until they are ready, follows `story` and ends the VMs. Returns the exit code.
    pub fn play(&self, story: impl FnOnce(&Fleet) -> i32) -> i32 {
        self.vms.iter().for_each(|vm| vm.start());
        let mut platform = Platform::watch(&self.vms, self.memory_mb, &self.record);
        let code = if self.wait_until_ready() { story(self) } else { 2 };
        platform.stop();
        for vm in &self.vms {
            vm.kill();
            self.record.line(&format!(
                "{}: peak {} MB, {} times over its memory, {} ends of its own",
                vm.name,
                vm.peak_mb.load(Ordering::Relaxed),
                vm.over_memory.load(Ordering::Relaxed),
                vm.own_ends.load(Ordering::Relaxed)
            ));
        }
        match std::env::var("KEEP") {
            Ok(_) => self.record.line(&format!("logs: {}", self.folder.display())),
            Err(_) => {
                let _ = std::fs::remove_dir_all(&self.folder);
            }
        }
        self.record.line(&format!("exit {code}"));
        code
    }

    fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.vms.iter().all(|vm| vm.is_ready()) {
            if Instant::now() > deadline {
                self.record.line("the VMs are not ready");
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all VMs are ready");
        // The VMs hear of each other and of the replicas.
        thread::sleep(Duration::from_secs(2));
        true
    }

    /// Sends a job to the VM `first`, and again to the next one after each failure.
    pub fn submit(&self, first: usize, number: usize, key: &str, body: &str) -> bool {
        let (job, key) = (job_name(number), format!("Bearer {key}"));
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("X-Plantainmill-Request-Id", job.as_str()),
            ("Content-Type", "application/json"),
        ];
        let path = format!("{PREFIX}{job}");
        for attempt in 0..10 {
            let vm = &self.vms[(first + attempt) % self.vms.len()];
            let answer = call(vm.callers, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(4));
            let status = answer.map(|answer| answer.status);
            self.record.line(&format!("client: {job} to {}: {status:?}", vm.name));
            if status == Some(202) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Reads a job from the start, a page every half second, until all `count` results are read.
    pub fn read_all(&self, number: usize, key: &str, count: usize, limit: Duration) -> Option<Vec<JobResult>> {
        let until = Instant::now() + limit;
        let key = format!("Bearer {key}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("X-Plantainmill-Wait-Ms", "1000"),
        ];
        let mut results = Vec::new();
        for turn in number.. {
            if results.len() == count {
                return Some(results);
            }
            if Instant::now() > until {
                return None;
            }
            let vm = &self.vms[turn % self.vms.len()];
            let path = format!("/api/lots/{}?After={}", job_name(number), results.len());
            let answer = call(vm.callers, "GET", &path, &headers, b"", Duration::from_millis(2_500));
            let answer = answer.filter(|answer| answer.status == 200);
            if let Some(page) = answer.and_then(|answer| Json::parse(&answer.body)) {
                let list = page.get("Results").map_or(&[][..], Json::list);
                results.extend(list.iter().filter_map(|result| {
                    let text = |name| result.get(name).and_then(Json::text).map(str::to_owned);
                    Some(JobResult {
                        id: text("Id")?,
                        state: text("State")?,
                        output: text("Output")?,
                    })
                }));
            }
            thread::sleep(Duration::from_millis(500));
        }
        None
    }
}
