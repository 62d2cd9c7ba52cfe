//! Stand-ins for the cases of the review: the platform's store, replicas, clients, and the processes of a small fleet.
//! Only the standard library is used. `harness CASE FOLDER` plays one case and exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

// ---------------------------------------------------------------- signals

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}
/// A process that has this option ends with the thread that started it.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn str(&self) -> &str {
        if let Json::Str(s) = self { s } else { "" }
    }
    pub fn num(&self) -> Option<f64> {
        if let Json::Num(n) = self {
            Some(*n)
        } else {
            None
        }
    }
    pub fn arr(&self) -> &[Json] {
        if let Json::Arr(a) = self { a } else { &[] }
    }
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut p = Parser { t: text, i: 0 };
        let v = p.value()?;
        p.space();
        (p.i == text.len()).then_some(v)
    }
    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            Json::Num(n) if n.fract() == 0.0 => out.push_str(&format!("{}", *n as i64)),
            Json::Num(n) => out.push_str(&format!("{n}")),
            Json::Str(s) => {
                out.push('"');
                for c in s.chars() {
                    match c {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        '\n' => out.push_str("\\n"),
                        c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
                        c => out.push(c),
                    }
                }
                out.push('"');
            }
            Json::Arr(a) => {
                out.push('[');
                for (i, v) in a.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    v.write(out);
                }
                out.push(']');
            }
            Json::Obj(o) => {
                out.push('{');
                for (i, (n, v)) in o.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    Json::Str(n.clone()).write(out);
                    out.push(':');
                    v.write(out);
                }
                out.push('}');
            }
        }
    }
}

struct Parser<'a> {
    t: &'a [u8],
    i: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.i < self.t.len() && self.t[self.i].is_ascii_whitespace() {
            self.i += 1;
        }
    }
    fn eat(&mut self, word: &str) -> Option<()> {
        self.t[self.i..]
            .starts_with(word.as_bytes())
            .then(|| self.i += word.len())
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.t.get(self.i)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.i += 1;
                let mut a = Vec::new();
                loop {
                    self.space();
                    if self.t.get(self.i)? == &b']' {
                        self.i += 1;
                        return Some(Json::Arr(a));
                    }
                    if self.t[self.i] == b',' {
                        self.i += 1;
                        continue;
                    }
                    a.push(self.value()?);
                }
            }
            b'{' => {
                self.i += 1;
                let mut o = Vec::new();
                loop {
                    self.space();
                    if self.t.get(self.i)? == &b'}' {
                        self.i += 1;
                        return Some(Json::Obj(o));
                    }
                    if self.t[self.i] == b',' {
                        self.i += 1;
                        continue;
                    }
                    let n = self.string()?;
                    self.space();
                    self.eat(":")?;
                    o.push((n, self.value()?));
                }
            }
            _ => {
                let from = self.i;
                while self.i < self.t.len() && b"+-.eE0123456789".contains(&self.t[self.i]) {
                    self.i += 1;
                }
                std::str::from_utf8(&self.t[from..self.i])
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Num)
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = Vec::new();
        loop {
            let c = *self.t.get(self.i)?;
            self.i += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let e = *self.t.get(self.i)?;
                    self.i += 1;
                    match e {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.t.get(self.i..self.i + 4)?).ok()?;
                            self.i += 4;
                            let ch = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend_from_slice(ch.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                c => out.push(c),
            }
        }
    }
}

pub fn s(text: &str) -> Json {
    Json::Str(text.to_owned())
}
pub fn n(number: u64) -> Json {
    Json::Num(number as f64)
}
pub fn obj(fields: Vec<(&str, Json)>) -> Json {
    Json::Obj(fields.into_iter().map(|(n, v)| (n.to_owned(), v)).collect())
}

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for c in bytes.chunks(3) {
        let v = (u32::from(c[0]) << 16)
            | (u32::from(*c.get(1).unwrap_or(&0)) << 8)
            | u32::from(*c.get(2).unwrap_or(&0));
        for k in 0..4 {
            if k <= c.len() {
                out.push(B64[(v >> (18 - 6 * k)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- record

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map_or("", |(_, v)| v)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

fn percent_decode(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' && b.len() >= i + 3 {
            if let Ok(v) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(v);
                i += 3;
                continue;
            }
        }
        out.push(if b[i] == b'+' { b' ' } else { b[i] });
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(String, Vec<(String, String)>)> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_owned();
            let headers = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            return Some((first, headers));
        }
        fill(stream, buffer)?;
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 65536];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(size) => {
            buffer.extend_from_slice(&chunk[..size]);
            Some(())
        }
    }
}

fn header_of<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(n, _)| n == name)
        .map(|(_, v)| v.as_str())
}

/// Reads a body by its length or its chunks. The flag says whether its end was marked and reached.
fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &[(String, String)],
    to_end: bool,
) -> (Vec<u8>, bool) {
    if let Some(length) = header_of(headers, "content-length").and_then(|v| v.parse::<usize>().ok())
    {
        while buffer.len() < length {
            if fill(stream, buffer).is_none() {
                return (std::mem::take(buffer), false);
            }
        }
        return (buffer.drain(..length).collect(), true);
    }
    if header_of(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(buffer, b"\r\n") {
                    break end;
                }
                if fill(stream, buffer).is_none() {
                    return (body, false);
                }
            };
            let size = String::from_utf8_lossy(&buffer[..end]).trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return (body, false);
            };
            while buffer.len() < end + 2 + size + 2 {
                if fill(stream, buffer).is_none() {
                    return (body, false);
                }
            }
            body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
            buffer.drain(..end + 2 + size + 2);
            if size == 0 {
                return (body, true);
            }
        }
    }
    if !to_end {
        return (Vec::new(), true);
    }
    while fill(stream, buffer).is_some() {}
    (std::mem::take(buffer), true)
}

pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (first, headers) = read_head(stream, buffer)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .map(|(n, v)| (n.to_owned(), percent_decode(v)))
        .collect();
    let path = path.to_owned();
    let (body, whole) = read_body(stream, buffer, &headers, false);
    whole.then_some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header_of(&self.headers, name).unwrap_or("")
    }
}

/// One call on a new channel. `None` if no answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut buffer = Vec::new();
    loop {
        let (first, headers) = read_head(&mut stream, &mut buffer)?;
        let status: u16 = first.split(' ').nth(1)?.parse().ok()?;
        if status < 200 {
            continue;
        }
        let (body, whole) = read_body(&mut stream, &mut buffer, &headers, true);
        return Some(Answer {
            status,
            headers,
            body,
            whole,
        });
    }
}

// ---------------------------------------------------------------- the platform's store

type Key = (String, String, String);

/// How the store is disturbed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreMode {
    Sound,
    /// All calls are answered 503.
    Busy,
}

struct StoreState {
    rows: BTreeMap<Key, (String, u64)>,
    log: Vec<(u64, Key, Option<String>)>,
    version: u64,
    mode: StoreMode,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    record: Arc<Record>,
    pub refused_for_size: AtomicU64,
}

const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1 << 20;
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(StoreState {
                rows: BTreeMap::new(),
                log: Vec::new(),
                version: 1,
                mode: StoreMode::Sound,
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
            refused_for_size: AtomicU64::new(0),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
        self.record.line(&format!("store: {mode:?}"));
        self.changed.notify_all();
    }

    /// Writes a row as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = base64(value.as_bytes());
        state.rows.insert(key.clone(), (value.clone(), version));
        state.log.push((version, key, Some(value)));
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.rows.remove(&key);
        state.log.push((version, key, None));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let (status, body) = self.answer(&request);
            let body = body.text();
            let head = format!(
                "HTTP/1.1 {status} Any\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        if self.state.lock().unwrap().mode == StoreMode::Busy {
            return (503, Json::Null);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/rows-tx") => {
                thread::sleep(Duration::from_millis(5));
                self.transact(request)
            }
            ("GET", "/api/rows-get") => {
                thread::sleep(Duration::from_millis(4));
                self.read(request)
            }
            ("GET", "/api/rows-feed") => self.feed(request),
            _ => (404, Json::Null),
        }
    }

    fn now_ms(&self) -> Json {
        n(self.record.ms())
    }

    fn transact(&self, request: &Request) -> (u16, Json) {
        let Some(call) = Json::parse(&request.body) else {
            return (400, Json::Null);
        };
        let expected = call.get("ExpectedRev").arr();
        let puts = call.get("Put").arr();
        let removes = call.get("Remove").arr();
        let entries = expected.len() + puts.len() + removes.len();
        if entries > MAX_ENTRIES || request.body.len() > MAX_CALL_BYTES {
            self.refused_for_size.fetch_add(1, Ordering::SeqCst);
            self.record.line(&format!("store: a transaction of {entries} entries and {} bytes is refused: at most 100 entries and 1 MB", request.body.len()));
            return (413, Json::Null);
        }
        let key = |e: &Json| {
            (
                e.get("Table").str().to_owned(),
                e.get("part").str().to_owned(),
                e.get("Key").str().to_owned(),
            )
        };
        for put in puts {
            if put.get("Value").str().len() > 65_536 {
                return (400, Json::Null);
            }
        }
        for e in puts.iter().chain(removes) {
            if matches!(e.get("Table").str(), "op" | "servers") {
                return (403, Json::Null);
            }
        }
        let mut state = self.state.lock().unwrap();
        if state.mode == StoreMode::Busy {
            return (503, Json::Null);
        }
        let holds = expected.iter().all(|e| {
            let version = state.rows.get(&key(e)).map_or(0, |(_, v)| *v);
            e.get("Ver").num() == Some(version as f64)
        });
        if !holds {
            let rows = expected.iter().filter_map(|e| {
                let key = key(e);
                let (value, version) = state.rows.get(&key)?;
                Some(wire_row(&key, Some(value), *version))
            });
            return (
                412,
                obj(vec![
                    ("Rows", Json::Arr(rows.collect())),
                    ("Ver", n(state.version)),
                    ("NowMs", self.now_ms()),
                ]),
            );
        }
        state.version += 1;
        let version = state.version;
        for put in puts {
            let value = put.get("Value").str().to_owned();
            state.rows.insert(key(put), (value.clone(), version));
            state.log.push((version, key(put), Some(value)));
        }
        for remove in removes {
            state.rows.remove(&key(remove));
            state.log.push((version, key(remove), None));
        }
        self.changed.notify_all();
        (
            200,
            obj(vec![("Ver", n(version)), ("NowMs", self.now_ms())]),
        )
    }

    fn read(&self, request: &Request) -> (u16, Json) {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (field("Table"), field("part"), field("From"), field("To"));
        let limit = field("Limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (value, version)) in state.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2 >= to) {
                break;
            }
            if rows.len() == limit || (bytes + value.len() > PAGE_BYTES && !rows.is_empty()) {
                more = true;
                break;
            }
            bytes += value.len();
            rows.push(wire_row(key, Some(value), *version));
        }
        (
            200,
            obj(vec![
                ("Rows", Json::Arr(rows)),
                ("HasMore", Json::Bool(more)),
                ("Ver", n(state.version)),
                ("NowMs", self.now_ms()),
            ]),
        )
    }

    fn feed(&self, request: &Request) -> (u16, Json) {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let table = field("Table");
        let after: u64 = field("After").parse().unwrap_or(0);
        let until = Instant::now()
            + Duration::from_millis(field("WaitMs").parse().unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.mode == StoreMode::Busy {
                return (503, Json::Null);
            }
            let rows: Vec<Json> = state
                .log
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| wire_row(key, value.as_ref(), *version))
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                return (
                    200,
                    obj(vec![
                        ("Rows", Json::Arr(rows)),
                        ("Ver", n(state.version)),
                        ("NowMs", self.now_ms()),
                    ]),
                );
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn wire_row(key: &Key, value: Option<&String>, version: u64) -> Json {
    let mut row = vec![
        ("Table", s(&key.0)),
        ("part", s(&key.1)),
        ("Key", s(&key.2)),
    ];
    match value {
        Some(value) => row.push(("Value", s(value))),
        None => row.push(("Deleted", Json::Bool(true))),
    }
    row.push(("Ver", n(version)));
    obj(row)
}

// ---------------------------------------------------------------- replicas

/// What a replica does with a request.
#[derive(Clone, Debug)]
pub enum Work {
    /// Streams events of `bytes` bytes of data, one each `pause`, from the first one or after `Last-Event-Id`.
    Events {
        count: u64,
        bytes: usize,
        pause: Duration,
    },
    /// Fails at once with status 500. `extra_late`: the same answer comes once more, at the point where the next response on
    /// the channel is expected.
    Fail { extra_late: bool },
}

/// A run of a request at a replica.
#[derive(Clone, Debug)]
pub struct Run {
    pub replica: String,
    pub id: String,
    pub from: String,
    pub arrived_ms: u64,
    pub began_ms: u64,
    /// End of the run and how it ended: `whole`, `cut`, or a status.
    pub ended: Option<(u64, String)>,
}

pub type WorkOf = dyn Fn(&Request, usize) -> Work + Send + Sync;

pub struct Replicas {
    pub ids: Vec<String>,
    pub runs: Mutex<Vec<Run>>,
    busy: Mutex<HashMap<String, usize>>,
    freed: Condvar,
    slots: usize,
    record: Arc<Record>,
    work_of: Box<WorkOf>,
    stamp: AtomicU64,
    stopped: AtomicBool,
}

pub fn event_data(id: &str, number: u64, bytes: usize) -> String {
    let mut data = format!("{id}.{number}.");
    while data.len() < bytes {
        data.push((b'a' + (number % 26) as u8) as char);
    }
    data.truncate(bytes.max(4));
    data
}

impl Replicas {
    /// Starts `count` replicas of a service with `slots` slots each, and keeps their entries in the store fresh.
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        service: &'static str,
        count: usize,
        slots: usize,
        work_of: Box<WorkOf>,
    ) -> Arc<Replicas> {
        let ids: Vec<String> = (0..count)
            .map(|k| {
                format!(
                    "i-{service}{:08x}",
                    0x7f3a_91c2_u32.wrapping_add(k as u32 * 7919)
                )
            })
            .collect();
        let replicas = Arc::new(Replicas {
            ids: ids.clone(),
            runs: Mutex::default(),
            busy: Mutex::default(),
            freed: Condvar::new(),
            slots,
            record: Arc::clone(record),
            work_of,
            stamp: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
        });
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        for id in ids {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a replica");
            let address = listener.local_addr().expect("an address");
            let (served, name) = (Arc::clone(&replicas), id.clone());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (replicas, name) = (Arc::clone(&served), name.clone());
                    thread::spawn(move || replicas.serve(stream, &name));
                }
            });
            let (store, replicas) = (Arc::clone(store), Arc::clone(&replicas));
            let entry = move |sequence: u64| {
                obj(vec![
                    ("Service", s(service)),
                    ("Address", s(&address.to_string())),
                    ("Zone", s("a")),
                    ("Version", s("v1")),
                    ("Slots", n(replicas.slots as u64)),
                    ("State", s("ready")),
                    ("ColdLeftMs", n(0)),
                    ("Sequence", n(sequence)),
                    ("born", n(born)),
                ])
            };
            store.put("servers", &id, &entry(1).text());
            thread::spawn(move || {
                for sequence in 2.. {
                    thread::sleep(Duration::from_millis(1200));
                    store.put("servers", &id, &entry(sequence).text());
                }
            });
        }
        replicas
    }

    pub fn running(&self) -> usize {
        self.busy.lock().unwrap().values().sum()
    }

    fn serve(&self, mut stream: TcpStream, name: &str) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let id = request.header("x-plantainmill-request-id").to_owned();
            let refuse = |status: u16| {
                format!(
                    "HTTP/1.1 {status} Any\r\nX-Plantainmill-Not-Executed: 1\r\nX-Plantainmill-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )
            };
            let expected = request.header("x-plantainmill-expect-instance");
            if !expected.is_empty() && expected != name {
                let _ = stream.write_all(refuse(421).as_bytes());
                continue;
            }
            if request.method != "POST" {
                let _ = stream.write_all(refuse(400).as_bytes());
                continue;
            }
            let arrived_ms = self.record.ms();
            if !self.take_slot(&stream, name) {
                self.record
                    .line(&format!("replica {name}: {id} left before it ran"));
                return;
            }
            let attempt = self
                .runs
                .lock()
                .unwrap()
                .iter()
                .filter(|run| run.id == id)
                .count()
                + 1;
            let from = request.header("last-event-id").to_owned();
            let position = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    replica: name.to_owned(),
                    id: id.clone(),
                    from: from.clone(),
                    arrived_ms,
                    began_ms: self.record.ms(),
                    ended: None,
                });
                runs.len() - 1
            };
            self.record.line(&format!(
                "replica {name}: runs {id}, run {attempt}, after event '{from}'"
            ));
            // A late extra answer comes where the next response on this channel is expected.
            if let Some(extra) = late.take() {
                self.record.line(&format!(
                    "replica {name}: writes the earlier answer once more, before that of {id}"
                ));
                let _ = stream.write_all(&extra);
            }
            let end = match (self.work_of)(&request, attempt) {
                Work::Events {
                    count,
                    bytes,
                    pause,
                } => self.stream_events(
                    &mut stream,
                    &id,
                    from.parse().unwrap_or(0),
                    count,
                    bytes,
                    pause,
                ),
                Work::Fail { extra_late } => {
                    let stamp = self.stamp.fetch_add(1, Ordering::SeqCst);
                    let text = format!(
                        "HTTP/1.1 500 Any\r\nX-Plantainmill-Request-Id: {id}\r\nX-Plantainmill-Server-Stamp: {stamp:x}\r\nContent-Length: 6\r\n\r\nfailed"
                    );
                    let written = stream.write_all(text.as_bytes());
                    if extra_late {
                        late = Some(text.into_bytes());
                    }
                    if written.is_ok() {
                        "500".to_owned()
                    } else {
                        "cut".to_owned()
                    }
                }
            };
            self.record
                .line(&format!("replica {name}: {id}, run {attempt}, ends: {end}"));
            self.runs.lock().unwrap()[position].ended = Some((self.record.ms(), end.clone()));
            self.free_slot(name);
            if end == "cut" {
                return;
            }
        }
    }

    /// Waits for a slot. False if the channel was closed meanwhile.
    fn take_slot(&self, stream: &TcpStream, name: &str) -> bool {
        let mut busy = self.busy.lock().unwrap();
        loop {
            let count = busy.entry(name.to_owned()).or_default();
            if *count < self.slots {
                *count += 1;
                return true;
            }
            busy = self
                .freed
                .wait_timeout(busy, Duration::from_millis(20))
                .unwrap()
                .0;
            if is_closed(stream) {
                return false;
            }
        }
    }

    fn free_slot(&self, name: &str) {
        *self
            .busy
            .lock()
            .unwrap()
            .entry(name.to_owned())
            .or_default() -= 1;
        self.freed.notify_all();
    }

    fn stream_events(
        &self,
        stream: &mut TcpStream,
        id: &str,
        after: u64,
        count: u64,
        bytes: usize,
        pause: Duration,
    ) -> String {
        let stamp = self.stamp.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Plantainmill-Request-Id: {id}\r\nX-Plantainmill-Server-Stamp: {stamp:x}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return "cut".to_owned();
        }
        let began = Instant::now();
        for (step, number) in (after + 1..=count).enumerate() {
            let due = began + pause * (step as u32 + 1);
            loop {
                let now = Instant::now();
                if is_closed(stream) {
                    return "cut".to_owned();
                }
                if now >= due {
                    break;
                }
                thread::sleep((due - now).min(Duration::from_millis(20)));
            }
            let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number, bytes));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return "cut".to_owned();
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            "cut".to_owned()
        } else {
            "whole".to_owned()
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

// ---------------------------------------------------------------- the fleet

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Vm {
    fn pid(&self) -> Option<i32> {
        self.child
            .lock()
            .unwrap()
            .as_ref()
            .map(|child| child.id() as i32)
    }
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            unsafe { kill(pid, signal) };
        }
    }
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            unsafe { kill(child.id() as i32, SIGCONT) };
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    pub fn start(&self) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| e.to_string())?;
        let mut command = Command::new("target/release/plantainmill");
        // No process outlives the script, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(["--log-format", "json", "serve", "--platform"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PLANTAINMILL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("target/release/plantainmill: {e}"))?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }
    pub fn is_ready(&self) -> bool {
        call(
            self.readiness,
            "GET",
            "/api/readiness",
            &[("Host", "platform")],
            b"",
            Duration::from_millis(500),
        )
        .is_some_and(|a| a.status == 200)
    }
}

pub struct Fleet {
    pub vms: Vec<Arc<Vm>>,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub trouble: bool,
    pub folder: PathBuf,
    all: Arc<Mutex<Vec<Arc<Vm>>>>,
}

/// A free port below those that the system gives to outgoing channels, so that it is still free after a restart.
fn free_port() -> (TcpListener, UdpSocket) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let port = 10_240
            + (u64::from(std::process::id()) * 131 + NEXT.fetch_add(1, Ordering::SeqCst)) % 21_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if let (Ok(tcp), Ok(udp)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
            return (tcp, udp);
        }
    }
}

impl Fleet {
    /// Starts `count` VMs in one zone and waits until all are ready.
    pub fn start_vms(&mut self, count: usize) -> Result<(), String> {
        let mut held = Vec::new();
        for k in 0..count {
            let ports = [free_port(), free_port(), free_port(), free_port()];
            let [front_at, readiness_at, control_at, metrics_at] =
                [0, 1, 2, 3].map(|k: usize| ports[k].0.local_addr().unwrap());
            held.push(ports);
            let name = format!("front-a-{}", k + 1);
            // As deploy/settings.toml writes it.
            let text = format!(
                "[vm]\nid = \"{name}\"\ndomain = \"a\"\nregion = \"north\"\nprocessor_percent = 0.5e2\n\n[regions]\n\"a\" = \"north\"\n\n[listen]\n\
                 callers = \"{front_at}\"\nreadiness = \"{readiness_at}\"\ncontrol = \"{control_at}\"\npeers = \"{control_at}\"\nmetrics = \"{metrics_at}\"\n\n\
                 [store]\naddress = \"{}\"\n\n[bounds]\nkey_ms = 5000\nstop_s = 8\nresults_s = 120\n",
                self.store.address
            );
            let settings = self.folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text).map_err(|e| e.to_string())?;
            let vm = Arc::new(Vm {
                name: name.clone(),
                front: front_at,
                readiness: readiness_at,
                settings,
                log: self.folder.join(format!("{name}.log")),
                child: Mutex::new(None),
            });
            self.all.lock().unwrap().push(Arc::clone(&vm));
            self.vms.push(vm);
        }
        drop(held);
        for vm in &self.vms {
            vm.start()?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !self.vms.iter().all(|vm| vm.is_ready()) {
            if Instant::now() > until {
                return Err("the fleet is not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Takeovers and reports need a moment after the start.
        thread::sleep(Duration::from_secs(3));
        self.record.line(&format!("{count} VMs are ready"));
        Ok(())
    }

    /// Lines of a VM's log that hold `word`.
    pub fn log_lines(&self, vm: &Vm, word: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&vm.log).unwrap_or_default();
        text.lines()
            .filter(|line| line.contains(word))
            .map(str::to_owned)
            .collect()
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.record.line(text);
    }
}

pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const TENANTS: usize = 8;
pub fn tenant_key(k: usize) -> String {
    format!("k{k}n73hh2b9wu3fexd9dn")
}
pub const LOT_HOST: &str = "lot.example";
pub const ASK_HOST: &str = "ask.example";
pub const BUSY_HOST: &str = "busy.example";

/// The operator's manifest: a batch route and a route of streams to the service `llm`, and a route of streams to `chat`.
pub fn write_manifest(store: &Store, version: u64, lot_tokens: u64) {
    // Further tenants with a rate, whose clients use `chat`.
    let others: Vec<String> = (0..TENANTS).map(|k| format!(r#",{{"Name":"tenant{k}","ApiKeys":["{}"],"Priority":1,"RatePerS":400,"Burst":400}}"#, tenant_key(k))).collect();
    let others = others.concat();
    let text = format!(
        r#"{{"Version":{version},"Routes":[
{{"Name":"r-lot","Host":"{LOT_HOST}","PathPrefix":"/lot/","Kind":"batch","TimeoutMs":15000,"SloMs":400,"Priority":2,"Service":"llm","MaxAttempts":3,"Public":false,"SessionAffinity":true,"Resumable":true,"GapTargetMs":300,"CompletionTargetMs":18000,"RetentionS":60.0,"MaxCount":{lot_tokens}}},
{{"Name":"r-busy","Host":"{BUSY_HOST}","PathPrefix":"/busy/","Kind":"streaming","TimeoutMs":5000,"SloMs":300,"Priority":0,"Service":"llm","MaxAttempts":2,"Public":false,"SessionAffinity":true,"Resumable":true,"GapTargetMs":300}},
{{"Name":"r-ask","Host":"{ASK_HOST}","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":5000,"SloMs":300,"Priority":0,"Service":"chat","MaxAttempts":2,"Public":false,"SessionAffinity":true,"Resumable":true,"GapTargetMs":300}}],
"Services":[{{"Name":"llm","HealthPath":"/health","MaxConns":210,"Protocol":"h1","Tls":false}},{{"Name":"chat","HealthPath":"/health","MaxConns":210,"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"kaje80","ApiKeys":["{KEY}"],"Priority":1,"RatePerS":0,"Burst":0}}{others}]}}"#
    );
    store.put("op", "config", &text);
}

/// A batch job whose items have the ids `items`.
pub fn lot_body(items: &[String], tokens: u64) -> String {
    let items = items.iter().map(|id| {
        let headers = obj(vec![
            ("X-Plantainmill-Model", s("m")),
            ("X-Plantainmill-Token-Usage", s("350,1530")),
            (
                "X-Plantainmill-Prompt-Prefix",
                s(&format!("9c2e41:100,{id}:250")),
            ),
        ]);
        obj(vec![
            ("Id", s(id)),
            ("Path", s(&format!("/lot/{}", &id[..4]))),
            ("Headers", headers),
            ("Body", s(&base64(id.as_bytes()))),
            ("Tokens", n(tokens)),
        ])
    });
    obj(vec![("Requests", Json::Arr(items.collect()))]).text()
}

pub fn auth() -> String {
    format!("Bearer {KEY}")
}

/// Hands in a batch job at one VM, on a new channel.
pub fn submit(fleet: &Fleet, vm: &Vm, lot: &str, body: &str) -> Option<u16> {
    let headers = [
        ("Host", LOT_HOST),
        ("Authorization", &auth()),
        ("X-Plantainmill-Request-Id", lot),
        ("Content-Type", "application/json"),
    ];
    fleet
        .record
        .line(&format!("client: hands in batch job {lot} at {}", vm.name));
    let answer = call(
        vm.front,
        "POST",
        &format!("/lot/{}", &lot[..4]),
        &headers,
        body.as_bytes(),
        Duration::from_secs(5),
    );
    let status = answer.map(|a| a.status);
    fleet
        .record
        .line(&format!("client: batch job {lot} is answered {status:?}"));
    status
}

/// One page of results: `(Total, [(Id, State, Output)])`, or the status of another answer.
pub fn results(
    vm: &Vm,
    lot: &str,
    after: usize,
) -> Result<(u64, Vec<(String, String, String)>), u16> {
    let headers = [("Host", LOT_HOST), ("Authorization", &*auth())];
    let answer = call(
        vm.front,
        "GET",
        &format!("/api/lots/{lot}?After={after}"),
        &headers,
        b"",
        Duration::from_secs(4),
    )
    .ok_or(0u16)?;
    if answer.status != 200 {
        return Err(answer.status);
    }
    let page = Json::parse(&answer.body).ok_or(1u16)?;
    let list = page.get("Results").arr().iter().map(|r| {
        (
            r.get("Id").str().to_owned(),
            r.get("State").str().to_owned(),
            r.get("Output").str().to_owned(),
        )
    });
    Ok((
        page.get("Total").num().unwrap_or(0.0) as u64,
        list.collect(),
    ))
}

/// Reads all results from the start, page by page.
pub fn all_results(vm: &Vm, lot: &str) -> Result<Vec<(String, String, String)>, u16> {
    let mut all = Vec::new();
    loop {
        let (_, page) = results(vm, lot, all.len())?;
        if page.is_empty() {
            return Ok(all);
        }
        all.extend(page);
    }
}

/// Clients that send one stream after the other until `stop` is set, `clients` of them, at the given VMs in turn.
pub fn stream_clients(
    fleet: &Fleet,
    host: &'static str,
    vms: &[usize],
    clients: usize,
    pause_ms: u64,
    stop: &Arc<AtomicBool>,
) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    for k in 0..clients {
        let vm = Arc::clone(&fleet.vms[vms[k % vms.len()]]);
        let stop = Arc::clone(stop);
        let key = if host == ASK_HOST {
            format!("Bearer {}", tenant_key(k % TENANTS))
        } else {
            auth()
        };
        thread::spawn(move || {
            let path = format!("/{}/q", host.split('.').next().unwrap_or(""));
            while !stop.load(Ordering::SeqCst) {
                let id = format!(
                    "{:016x}",
                    0x51_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst)
                );
                let prefix = format!("5c1e07a2:100,{id}:250");
                let headers = [
                    ("Host", host),
                    ("Authorization", &*key),
                    ("X-Plantainmill-Request-Id", &*id),
                    ("X-Plantainmill-Model", "m"),
                    ("X-Plantainmill-Token-Usage", "350,225"),
                    ("X-Plantainmill-Prompt-Prefix", &*prefix),
                    ("X-Plantainmill-Deadline-Ms", "5000"),
                ];
                call_until(vm.front, &path, &headers, id.as_bytes(), &stop);
                sleep_ms(pause_ms);
            }
        });
    }
}

/// A call whose client leaves when `stop` is set.
fn call_until(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    stop: &AtomicBool,
) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let mut head = format!("POST {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    if stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body))
        .is_err()
    {
        return;
    }
    let until = Instant::now() + Duration::from_millis(5_500);
    let mut seen = Vec::new();
    let mut chunk = [0; 4096];
    while !stop.load(Ordering::SeqCst) && Instant::now() < until {
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(size) => {
                seen.extend_from_slice(&chunk[..size]);
                if seen.ends_with(b"0\r\n\r\n") {
                    return;
                }
            }
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return,
        }
    }
}

/// Ends a batch job at one VM.
pub fn end_lot(fleet: &Fleet, vm: &Vm, lot: &str) -> Option<u16> {
    let headers = [("Host", LOT_HOST), ("Authorization", &*auth())];
    fleet
        .record
        .line(&format!("client: ends batch job {lot} at {}", vm.name));
    let status = call(
        vm.front,
        "DELETE",
        &format!("/api/lots/{lot}"),
        &headers,
        b"",
        Duration::from_secs(4),
    )
    .map(|a| a.status);
    fleet
        .record
        .line(&format!("client: the end of {lot} is answered {status:?}"));
    status
}

/// A number below `limit`, from the clock.
pub fn random_ms(limit: u64) -> u64 {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::from(d.subsec_nanos()));
    (nanos / 1_000).wrapping_mul(2_654_435_761) / 65_536 % limit
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn item_ids(lot: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|k| format!("{}{:08x}", &lot[..8], k as u32 + 0x10))
        .collect()
}

pub fn unlisted(items: &[String], listed: &[(String, String, String)]) -> Vec<String> {
    let ids: BTreeSet<&String> = listed.iter().map(|(id, _, _)| id).collect();
    items
        .iter()
        .filter(|id| !ids.contains(id))
        .cloned()
        .collect()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("harness CASE FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(folder);
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        std::process::exit(2);
    }
    let Ok(file) = File::create(folder.join("record.txt")) else {
        std::process::exit(2)
    };
    let record = Arc::new(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let all: Arc<Mutex<Vec<Arc<Vm>>>> = Arc::default();
    let end_all = |all: &Mutex<Vec<Arc<Vm>>>| {
        for vm in all.lock().unwrap_or_else(|e| e.into_inner()).iter() {
            vm.kill();
        }
    };
    // Nothing outlives the time limit of a script.
    let watched = Arc::clone(&all);
    let watched_folder = scratch.clone();
    thread::spawn(move || {
        sleep_ms(114_000);
        for vm in watched.lock().unwrap_or_else(|e| e.into_inner()).iter() {
            vm.kill();
        }
        let _ = std::fs::remove_dir_all(&watched_folder);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let store = Store::start(&record);
    let mut fleet = Fleet {
        vms: Vec::new(),
        store,
        record: Arc::clone(&record),
        trouble,
        folder: scratch.clone(),
        all: Arc::clone(&all),
    };
    record.line(&format!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        cases::play(case, &mut fleet)
    }));
    end_all(&all);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let code = match result {
        Ok(Ok(None)) => {
            fleet.say("the rule held");
            0
        }
        Ok(Ok(Some(broken))) => {
            fleet.say(&format!("BROKEN: {broken}"));
            1
        }
        Ok(Err(reason)) => {
            fleet.say(&format!("could not run: {reason}"));
            2
        }
        Err(_) => {
            fleet.say("could not run: the harness failed");
            2
        }
    };
    std::process::exit(code);
}
