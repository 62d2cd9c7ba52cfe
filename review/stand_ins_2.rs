//! Stand-ins for the platform's store, replicas and clients, and control of the processes under test.
//! Standard library only, so that no dependency is added.

use std::collections::{BTreeMap, HashSet};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }

    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(number) if number.fract() == 0.0 => out.push_str(&format!("{number:.0}")),
            Json::Num(number) => out.push_str(&number.to_string()),
            Json::Str(text) => write_text(text, out),
            Json::Arr(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            character if (character as u32) < 32 => {
                out.push_str(&format!("\\u{:04x}", character as u32));
            }
            character => out.push(character),
        }
    }
    out.push('"');
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
                if *text.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Obj(fields));
                }
                if *text.get(*at)? == b',' {
                    *at += 1;
                    continue;
                }
                let name = parse_text(text, at)?;
                skip_space(text, at);
                if *text.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, parse_value(text, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(text, at);
                if *text.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::Arr(items));
                }
                if *text.get(*at)? == b',' {
                    *at += 1;
                    continue;
                }
                items.push(parse_value(text, at)?);
            }
        }
        b'"' => parse_text(text, at).map(Json::Str),
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&text[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                word => word.parse().ok().map(Json::Num),
            }
        }
    }
}

fn parse_text(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *text.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *at += 4;
                        let character = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(character.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

pub fn text(value: &str) -> Json {
    Json::Str(value.to_owned())
}

pub fn number(value: u64) -> Json {
    Json::Num(value as f64)
}

pub fn object(fields: &[(&str, Json)]) -> Json {
    let fields = fields.iter();
    Json::Obj(
        fields
            .map(|(name, value)| ((*name).to_owned(), value.clone()))
            .collect(),
    )
}

pub fn to_text(value: &Json) -> String {
    let mut out = String::new();
    value.write(&mut out);
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let group = [
            chunk[0],
            chunk.get(1).copied().unwrap_or(0),
            chunk.get(2).copied().unwrap_or(0),
        ];
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for position in 0..4 {
            if position <= chunk.len() {
                let digit = bits >> (18 - 6 * position) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- record and exit code

/// The record of a run: what was sent, answered and run.
pub struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Record> {
        let file = fs::File::create(folder.join("record.txt")).expect("record.txt");
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn line(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {line}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

static RECORD: OnceLock<Arc<Record>> = OnceLock::new();

/// Has the stand-ins of this process write to `record`.
pub fn set_record(record: &Arc<Record>) {
    let _ = RECORD.set(Arc::clone(record));
}

/// Writes to the record, or to standard output in a process without one.
fn note(line: &str) {
    match RECORD.get() {
        Some(record) => record.line(line),
        None => println!("{line}"),
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- HTTP

pub struct HttpRequest {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode(value))
            .unwrap_or_default()
    }
}

fn percent_decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8(out).unwrap_or_default()
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    headers
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunked(reader: &mut impl BufRead, mut sink: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size =
            usize::from_str_radix(size, 16).map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
        if size == 0 {
            loop {
                let mut trailer = String::new();
                if reader.read_line(&mut trailer)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                if trailer.trim().is_empty() {
                    return Ok(());
                }
            }
        }
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        sink(&chunk);
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
    }
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<HttpRequest>> {
    let Some((line, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if let Some(length) = find_header(&headers, "content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    } else if find_header(&headers, "transfer-encoding").is_some() {
        read_chunked(reader, |part| body.extend_from_slice(part))?;
    }
    Ok(Some(HttpRequest { target, headers, body }))
}

pub struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends one request on a new channel, and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<HttpResponse> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    send_request(&mut stream, method, target, headers, body)?;
    let mut reader = BufReader::new(stream);
    let Some((line, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let mut body = Vec::new();
    if let Some(length) = find_header(&headers, "content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    } else if find_header(&headers, "transfer-encoding").is_some() {
        read_chunked(&mut reader, |part| body.extend_from_slice(part))?;
    } else {
        reader.read_to_end(&mut body)?;
    }
    Ok(HttpResponse { status, body })
}

pub fn send_request(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" && method != "DELETE" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut content = head.into_bytes();
    content.extend_from_slice(body);
    stream.write_all(&content)
}

// ---------------------------------------------------------------- sockets

unsafe extern "C" {
    fn prctl(option: i32, signal: u64, third: u64, fourth: u64, fifth: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(socket: i32, address: *const SocketAddrIn, length: u32) -> i32;
}

#[repr(C)]
struct SocketAddrIn {
    family: u16,
    port: u16,
    address: [u8; 4],
    zero: [u8; 8],
}

/// Connects like a client on an Ethernet link that reads into a small window: segments of `segment` bytes and a receive buffer
/// of `buffer` bytes. On loopback, a segment would otherwise have 64 KB.
pub fn connect_small(address: SocketAddr, segment: i32, buffer: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd as _;
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    // AF_INET 2, SOCK_STREAM 1, SOL_SOCKET 1, SO_RCVBUF 8, IPPROTO_TCP 6, TCP_MAXSEG 2.
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, 1, 8, &buffer, 4);
        setsockopt(descriptor, 6, 2, &segment, 4);
        let name = SocketAddrIn {
            family: 2,
            port: address.port().to_be(),
            address: address.ip().octets(),
            zero: [0; 8],
        };
        if connect(descriptor, &name, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

// ---------------------------------------------------------------- the store

type RowKey = (String, String, String);

#[derive(Default)]
struct StoreRows {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    log: Vec<(u64, RowKey)>,
}

/// The platform's store, in memory.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<StoreRows>,
    changed: Condvar,
    started: Instant,
    pub writes: AtomicUsize,
    pub reads: AtomicUsize,
}

/// Rows and bytes of one page.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);

impl Store {
    pub fn start(ip: Ipv4Addr) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let store = Arc::new(Store {
            address: listener.local_addr().unwrap(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            writes: AtomicUsize::new(0),
            reads: AtomicUsize::new(0),
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

    /// Writes a row for the operator or a replica.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &Json) {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert(key.clone(), (base64(to_text(value).as_bytes()), version));
        rows.log.push((version, key));
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, part: &str, key: &str) {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.remove(&key);
        rows.log.push((version, key));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a stream");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, answer) = match request.path() {
                "/api/rows-tx" => {
                    self.writes.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(TRANSACTION_TIME);
                    self.transact(&Json::parse(&request.body).unwrap_or(Json::Null))
                }
                "/api/rows-get" => {
                    self.reads.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(2));
                    self.page(&request)
                }
                "/api/rows-feed" => {
                    self.reads.fetch_add(1, Ordering::Relaxed);
                    self.feed(&request)
                }
                _ => (404, Json::Null),
            };
            let body = to_text(&answer);
            let head = format!(
                "HTTP/1.1 {status} Any\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> Json {
        Json::Num(self.started.elapsed().as_millis() as f64)
    }

    fn wire_row(key: &RowKey, row: Option<&(String, u64)>, version: u64) -> Json {
        let mut fields = vec![
            ("Table".to_owned(), text(&key.0)),
            ("part".to_owned(), text(&key.1)),
            ("Key".to_owned(), text(&key.2)),
        ];
        match row {
            Some((value, row_version)) => {
                fields.push(("Value".to_owned(), text(value)));
                fields.push(("Ver".to_owned(), number(*row_version)));
            }
            None => {
                fields.push(("Ver".to_owned(), number(version)));
                fields.push(("Deleted".to_owned(), Json::Bool(true)));
            }
        }
        Json::Obj(fields)
    }

    fn transact(&self, call: &Json) -> (u16, Json) {
        let key_of = |entry: &Json| -> RowKey {
            (
                entry.get("Table").text().to_owned(),
                entry.get("part").text().to_owned(),
                entry.get("Key").text().to_owned(),
            )
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = call.get("ExpectedRev").items();
        let is_met = expected.iter().all(|entry| {
            let current = rows.rows.get(&key_of(entry)).map_or(0, |row| row.1);
            current == entry.get("Ver").number()
        });
        if !is_met {
            let found = expected.iter().filter_map(|entry| {
                let key = key_of(entry);
                let row = rows.rows.get(&key)?;
                Some(Store::wire_row(&key, Some(row), 0))
            });
            let found = Json::Arr(found.collect());
            let answer = object(&[("Rows", found), ("Ver", number(rows.version)), ("NowMs", self.now_ms())]);
            return (412, answer);
        }
        let (puts, removes) = (call.get("Put").items(), call.get("Remove").items());
        let is_forbidden = |entry: &Json| matches!(entry.get("Table").text(), "op" | "servers");
        if puts.iter().chain(removes).any(is_forbidden) {
            return (403, Json::Null);
        }
        if !puts.is_empty() || !removes.is_empty() {
            rows.version += 1;
        }
        let version = rows.version;
        for entry in puts {
            let key = key_of(entry);
            let value = entry.get("Value").text().to_owned();
            rows.rows.insert(key.clone(), (value, version));
            rows.log.push((version, key));
        }
        for entry in removes {
            let key = key_of(entry);
            rows.rows.remove(&key);
            rows.log.push((version, key));
        }
        self.changed.notify_all();
        (200, object(&[("Ver", number(version)), ("NowMs", self.now_ms())]))
    }

    fn page(&self, request: &HttpRequest) -> (u16, Json) {
        let (table, part) = (request.query("Table"), request.query("part"));
        let (from, until) = (request.query("From"), request.query("To"));
        let limit = request.query("Limit").parse().unwrap_or(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let (mut page, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, row) in rows.rows.range(start..) {
            if key.0 != table || key.1 != part || (!until.is_empty() && key.2 >= until) {
                break;
            }
            bytes += row.0.len() + key.2.len() + 100;
            let is_full = page.len() >= limit.min(PAGE_ROWS) || bytes > PAGE_BYTES;
            if is_full && !page.is_empty() {
                has_more = true;
                break;
            }
            page.push(Store::wire_row(key, Some(row), 0));
        }
        let answer = object(&[
            ("Rows", Json::Arr(page)),
            ("HasMore", Json::Bool(has_more)),
            ("Ver", number(rows.version)),
            ("NowMs", self.now_ms()),
        ]);
        (200, answer)
    }

    fn feed(&self, request: &HttpRequest) -> (u16, Json) {
        let table = request.query("Table");
        let after: u64 = request.query("After").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let start = rows.log.partition_point(|(version, _)| *version <= after);
            let mut latest: BTreeMap<&RowKey, u64> = BTreeMap::new();
            for (version, key) in rows.log[start..].iter().filter(|(_, key)| key.0 == table) {
                latest.insert(key, *version);
            }
            let left = until.saturating_duration_since(Instant::now());
            if !latest.is_empty() || left.is_zero() {
                let mut changed: Vec<(u64, &RowKey)> =
                    latest.into_iter().map(|(key, version)| (version, key)).collect();
                changed.sort();
                let changed = changed
                    .into_iter()
                    .map(|(version, key)| Store::wire_row(key, rows.rows.get(key), version));
                let answer = object(&[
                    ("Rows", Json::Arr(changed.collect())),
                    ("Ver", number(rows.version)),
                    ("NowMs", self.now_ms()),
                ]);
                return (200, answer);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- machines

/// Renders `deploy/settings.toml` as the platform does, with the constructs that it uses.
fn render_template(template: &str, fields: &BTreeMap<String, String>, zones: &[(String, String)]) -> String {
    let mut out = template.to_owned();
    // Sections: Zones is a table, the others are single values.
    while let Some(start) = out.find("{{#") {
        let name_end = start + out[start..].find("}}").expect("a section's name");
        let name = out[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = name_end + out[name_end..].find(&close).expect("a section's end");
        let inner = out[name_end + 2..end].to_owned();
        let rendered: String = if name == "Zones" {
            zones
                .iter()
                .map(|(zone, region)| {
                    inner
                        .replace("{{@}}", zone)
                        .replace("{{.|json}}", &format!("\"{region}\""))
                })
                .collect()
        } else {
            fields
                .get(&name)
                .map(|value| inner.replace("{{.}}", value))
                .unwrap_or_default()
        };
        out.replace_range(start..end + close.len(), &rendered);
    }
    while let Some(start) = out.find("{{") {
        let end = start + out[start..].find("}}").expect("a placeholder's end");
        let name = out[start + 2..end].to_owned();
        let value = match name.strip_suffix("|json") {
            Some(name) => format!("\"{}\"", fields.get(name).cloned().unwrap_or_default()),
            None => fields.get(&name).cloned().unwrap_or_default(),
        };
        out.replace_range(start..end + 2, &value);
    }
    out
}

/// One machine with its process of the system.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Set while the platform keeps the process running: one that ends is started again.
    is_kept: AtomicBool,
    pub peak_bytes: AtomicU64,
    /// Ends of the process because of its memory.
    pub memory_ends: AtomicUsize,
    pub starts: AtomicUsize,
}

const FRONT_PORT: u16 = 8689;
const READINESS_PORT: u16 = 8687;
const FIRST_PORT: u16 = 7360;
const METRICS_PORT: u16 = 9464;
/// Delay after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Chooses a loopback network of which no address is in use by this case's ports.
pub fn free_network() -> [u8; 3] {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let mut seed = seed.as_nanos() as u64 ^ u64::from(std::process::id()) << 32;
    loop {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let network = [127, 16 + (seed >> 40) as u8 % 200, (seed >> 50) as u8];
        let is_free = (1..=8).all(|host| {
            let ip = Ipv4Addr::new(network[0], network[1], network[2], host);
            [FRONT_PORT, READINESS_PORT, FIRST_PORT, METRICS_PORT]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return network;
        }
    }
}

pub fn host(network: [u8; 3], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(network[0], network[1], network[2], host)
}

/// Root of the repository: the folder above `review`.
pub fn repository() -> PathBuf {
    let folder = std::env::args().nth(2).expect("the folder of the case");
    let folder = fs::canonicalize(folder).expect("the folder of the case");
    folder
        .parent()
        .and_then(Path::parent)
        .expect("the repository")
        .to_owned()
}

impl Machine {
    pub fn new(
        folder: &Path,
        name: &str,
        ip: Ipv4Addr,
        zone: &str,
        zones: &[(&str, &str)],
        store: SocketAddr,
    ) -> Arc<Machine> {
        let zones: Vec<(String, String)> = zones
            .iter()
            .map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned()))
            .collect();
        let region = zones.iter().find(|(name, _)| name == zone).unwrap().1.clone();
        let front = SocketAddr::new(IpAddr::V4(ip), FRONT_PORT);
        let readiness = SocketAddr::new(IpAddr::V4(ip), READINESS_PORT);
        let fields = [
            ("NodeName", name.to_owned()),
            ("Zone", zone.to_owned()),
            ("Region", region),
            ("Limits.CpuShare", "0.5".to_owned()),
            ("Listen.Front", front.to_string()),
            ("Listen.Readiness", readiness.to_string()),
            ("Ip", ip.to_string()),
            ("PortRange.0", FIRST_PORT.to_string()),
            ("Provider.Address", store.to_string()),
            ("Bounds.RevokeMs", "5000".to_owned()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Bounds.StatusTtlS", "120".to_owned()),
        ];
        let fields: BTreeMap<String, String> = fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect();
        let template = fs::read_to_string(repository().join("deploy/settings.toml")).expect("the template");
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, render_template(&template, &fields, &zones)).expect("settings");
        Arc::new(Machine {
            name: name.to_owned(),
            front,
            readiness,
            settings,
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
            is_kept: AtomicBool::new(false),
            peak_bytes: AtomicU64::new(0),
            memory_ends: AtomicUsize::new(0),
            starts: AtomicUsize::new(0),
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let root = repository();
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|run| run.strip_suffix('"')).expect("the command");
        let mut words = run.split(' ');
        let program = root.join(words.next().expect("a program"));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let mut command = Command::new(program);
        // The process ends with this one, also if this one is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(words)
            .current_dir(&root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("PLANTAINMILL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        *self.child.lock().unwrap() = Some(child);
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.is_kept.store(true, Ordering::SeqCst);
    }

    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Kills the process; it is down until it is started again.
    pub fn stop_hard(&self) {
        self.is_kept.store(false, Ordering::SeqCst);
        let child = self.child.lock().unwrap().take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let host = self.readiness.to_string();
        let answer = call(
            self.readiness,
            "GET",
            "/api/readiness",
            &[("Host", &host)],
            b"",
            Duration::from_millis(800),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn resident_bytes(&self) -> Option<u64> {
        let child = self.child.lock().unwrap();
        let pid = child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some(kilobytes * 1_024)
    }
}

/// Does what the platform does with processes: ends one that exceeds `limit_mb`, and starts one again that has ended.
pub fn keep_machines(machines: &[Arc<Machine>], limit_mb: u64, record: &Arc<Record>) {
    for machine in machines {
        let (machine, record) = (Arc::clone(machine), Arc::clone(record));
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                if !machine.is_kept.load(Ordering::SeqCst) {
                    continue;
                }
                let bytes = machine.resident_bytes().unwrap_or(0);
                machine.peak_bytes.fetch_max(bytes, Ordering::SeqCst);
                if bytes > limit_mb << 20 {
                    machine.memory_ends.fetch_add(1, Ordering::SeqCst);
                    let resident = bytes >> 20;
                    record.line(&format!(
                        "{} uses {resident} MB of {limit_mb} MB and is killed by the platform",
                        machine.name
                    ));
                    machine.stop_hard();
                    thread::sleep(RESTART_DELAY);
                    machine.start();
                    record.line(&format!("{} is started again", machine.name));
                } else if machine.has_ended() {
                    record.line(&format!("{} has ended by itself", machine.name));
                    thread::sleep(RESTART_DELAY);
                    machine.start();
                }
            }
        });
    }
}

pub fn wait_ready(machines: &[Arc<Machine>], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if machines.iter().all(|machine| machine.is_ready()) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Kills all processes that are left when the case ends.
pub struct Cleanup(pub Vec<Arc<Machine>>, pub PathBuf);

impl Drop for Cleanup {
    fn drop(&mut self) {
        for machine in &self.0 {
            machine.is_kept.store(false, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(30));
        for machine in &self.0 {
            machine.stop_hard();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.1);
        }
    }
}

pub fn temporary_folder() -> PathBuf {
    let name = format!("review-2-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

// ---------------------------------------------------------------- replicas

/// What a replica does with a request.
#[derive(Clone)]
pub struct ReplicaPlan {
    pub slots: usize,
    /// Events of a stream, and bytes of data in each.
    pub events: usize,
    pub event_bytes: usize,
    pub event_pause: Duration,
    /// Body of an answer that is no stream.
    pub body_bytes: usize,
}

/// What is wrong with a stream.
#[derive(Clone, Copy, PartialEq)]
enum StreamFault {
    None,
    /// It has no length and ends with its channel.
    NoLength,
    /// After a quarter of it, the replica sends bytes that are no answer, and breaks off.
    ForeignBytes,
}

/// A replica of the service.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    plan: Mutex<ReplicaPlan>,
    running: AtomicUsize,
    /// Ids of the requests that began to run, with the number of runs.
    pub runs: Mutex<BTreeMap<String, usize>>,
    /// Ids of the requests that are at work.
    pub at_work: Mutex<HashSet<String>>,
    /// When each request was last at work here, and when a run last came to its end.
    pub had_at: Mutex<BTreeMap<String, Instant>>,
    pub finished_at: Mutex<Option<Instant>>,
    is_endless: AtomicBool,
    /// Answers that went on without end: the request, when the answer began, and when its caller closed the channel.
    pub endless_answers: Mutex<Vec<(String, Instant, Option<Instant>)>>,
    spoils_next: AtomicBool,
    /// The next stream has no length and ends with its channel.
    unframed_next: AtomicBool,
}

/// Bytes that are no answer.
pub const SPOILT_BYTES: &str = "q7#x0f q7#x0f q7#x0f\n\n";

impl Replica {
    /// Starts a replica that serves and is not registered.
    pub fn serve_at(id: &str, ip: Ipv4Addr, plan: ReplicaPlan) -> Arc<Replica> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a replica");
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            plan: Mutex::new(plan),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            at_work: Mutex::default(),
            had_at: Mutex::default(),
            finished_at: Mutex::default(),
            is_endless: AtomicBool::new(false),
            endless_answers: Mutex::default(),
            spoils_next: AtomicBool::new(false),
            unframed_next: AtomicBool::new(false),
        });
        let served = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = Arc::clone(&served);
                thread::spawn(move || {
                    let _ = replica.serve(stream);
                });
            }
        });
        replica
    }

    /// Starts a replica that registers itself.
    pub fn start(store: &Arc<Store>, id: &str, ip: Ipv4Addr, zone: &str, plan: ReplicaPlan) -> Arc<Replica> {
        let slots = plan.slots;
        let replica = Replica::serve_at(id, ip, plan);
        register(
            store,
            id,
            replica.address,
            zone,
            slots,
            &Arc::new(AtomicBool::new(true)),
        );
        replica
    }

    /// Data of event `number` of the output of `id`.
    pub fn event_data(id: &str, number: usize, bytes: usize) -> String {
        let mut data = format!("{id}.{number}.");
        while data.len() < bytes {
            data.push(char::from(b'a' + (data.len() % 26) as u8));
        }
        data.truncate(bytes.max(8));
        data
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let id = request
                .header("x-plantainmill-request-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request.header("x-plantainmill-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Plantainmill-Request-Id: {id}\r\nX-Plantainmill-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            let plan = self.plan.lock().unwrap().clone();
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            if running >= plan.slots {
                self.running.fetch_sub(1, Ordering::SeqCst);
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Plantainmill-Request-Id: {id}\r\nX-Plantainmill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            let is_item = request.path().starts_with("/sheets/");
            if is_item && self.is_endless.swap(false, Ordering::SeqCst) {
                self.endless_answers
                    .lock()
                    .unwrap()
                    .push((id.clone(), Instant::now(), None));
                note(&format!(
                    "{} does not run {id}, and answers it with {SPOILT_BYTES:?} every 500 ms",
                    self.id
                ));
                let written = self.write_without_end(&mut writer, &id);
                self.running.fetch_sub(1, Ordering::SeqCst);
                note(&format!("{}: the caller of {id} has closed its channel", self.id));
                if let Some(answer) = self.endless_answers.lock().unwrap().last_mut() {
                    answer.2 = Some(Instant::now());
                    if answer.1.elapsed() < Duration::from_secs(1) {
                        // The caller has left for another reason; the next answer takes its place.
                        self.is_endless.store(true, Ordering::SeqCst);
                    }
                }
                written?;
                continue;
            }
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            let is_spoilt = is_item && self.spoils_next.swap(false, Ordering::SeqCst);
            self.at_work.lock().unwrap().insert(id.clone());
            let written = if request.path().starts_with("/plain/") {
                self.write_plain(&mut writer, &id, &plan)
            } else {
                let last = request.header("last-event-id").and_then(|last| last.parse().ok());
                let is_unframed = is_item && self.unframed_next.swap(false, Ordering::SeqCst);
                let fault = match (is_spoilt, is_unframed) {
                    (true, _) => StreamFault::ForeignBytes,
                    (_, true) => StreamFault::NoLength,
                    _ => StreamFault::None,
                };
                let written = self.write_stream(&mut writer, &id, last.unwrap_or(0), &plan, fault);
                if written
                    .as_ref()
                    .is_err_and(|error| error.kind() != io::ErrorKind::Other)
                {
                    // The caller has left before the fault; the next answer takes the place of this one.
                    note(&format!("{}: the caller of {id} has closed its channel", self.id));
                    self.spoils_next.fetch_or(is_spoilt, Ordering::SeqCst);
                    self.unframed_next.fetch_or(is_unframed, Ordering::SeqCst);
                }
                written
            };
            self.at_work.lock().unwrap().remove(&id);
            self.had_at.lock().unwrap().insert(id, Instant::now());
            self.running.fetch_sub(1, Ordering::SeqCst);
            written?;
            *self.finished_at.lock().unwrap() = Some(Instant::now());
        }
        Ok(())
    }

    fn head(id: &str, framing: &str, kind: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nX-Plantainmill-Request-Id: {id}\r\nX-Plantainmill-Server-Stamp: stamp.{id}\r\n{framing}\r\n\r\n"
        )
    }

    pub fn plain_body(id: &str, bytes: usize) -> Vec<u8> {
        let mut body = format!("{id}:").into_bytes();
        body.resize(bytes, b'w');
        body
    }

    fn write_plain(&self, writer: &mut TcpStream, id: &str, plan: &ReplicaPlan) -> io::Result<()> {
        let framing = format!("Content-Length: {}", plan.body_bytes);
        writer.write_all(Replica::head(id, &framing, "application/octet-stream").as_bytes())?;
        writer.write_all(&Replica::plain_body(id, plan.body_bytes))
    }

    fn write_stream(
        &self,
        writer: &mut TcpStream,
        id: &str,
        last: usize,
        plan: &ReplicaPlan,
        fault: StreamFault,
    ) -> io::Result<()> {
        let is_unframed = fault == StreamFault::NoLength;
        let framing = if is_unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let kind = if is_unframed { ", without a length" } else { "" };
        note(&format!("{} runs {id} from event {}{kind}", self.id, last + 1));
        writer.write_all(Replica::head(id, framing, "text/event-stream").as_bytes())?;
        let mut write = |part: &str| {
            if is_unframed {
                writer.write_all(part.as_bytes())
            } else {
                writer.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())
            }
        };
        for number in last + 1..=plan.events {
            if fault == StreamFault::ForeignBytes && number == last + plan.events / 4 {
                // The replica sends bytes that are no answer, and breaks off.
                write(SPOILT_BYTES)?;
                note(&format!(
                    "{} sends {SPOILT_BYTES:?} after event {} of {id}, and breaks off",
                    self.id,
                    number - 1
                ));
                thread::sleep(plan.event_pause);
                return Err(io::Error::other("the answer is broken off"));
            }
            let data = Replica::event_data(id, number, plan.event_bytes);
            write(&format!("id: {number}\ndata: {data}\n\n"))?;
            if !plan.event_pause.is_zero() {
                thread::sleep(plan.event_pause);
            }
        }
        note(&format!("{} has run {id} to its end, event {}", self.id, plan.events));
        if is_unframed {
            return Err(io::Error::other("the answer ends with its channel"));
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Has the replica send its next stream without a length.
    pub fn omit_next_length(&self) {
        self.unframed_next.store(true, Ordering::SeqCst);
    }

    /// Has the replica spoil its next answer to an item.
    pub fn spoil_next(&self) {
        self.spoils_next.store(true, Ordering::SeqCst);
    }

    /// Writes the head of a stream, and then bytes that are no answer until the caller closes the channel. Does not run the
    /// request.
    fn write_without_end(&self, writer: &mut TcpStream, id: &str) -> io::Result<()> {
        writer.write_all(Replica::head(id, "Transfer-Encoding: chunked", "text/event-stream").as_bytes())?;
        loop {
            let bytes = SPOILT_BYTES;
            writer.write_all(format!("{:x}\r\n{bytes}\r\n", bytes.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Has the replica answer the next item without end, instead of running it.
    pub fn answer_without_end(&self) {
        self.is_endless.store(true, Ordering::SeqCst);
    }

    /// Whether a request whose id begins with `prefix` is at work here, or was within `time`.
    pub fn had_within(&self, prefix: &str, time: Duration) -> bool {
        let at_work = self.at_work.lock().unwrap();
        let had_at = self.had_at.lock().unwrap();
        at_work.iter().any(|id| id.starts_with(prefix))
            || had_at
                .iter()
                .any(|(id, at)| id.starts_with(prefix) && at.elapsed() < time)
    }

    /// Time since a run last came to its end.
    pub fn time_since_finish(&self) -> Duration {
        let finished_at = *self.finished_at.lock().unwrap();
        finished_at.map_or(Duration::MAX / 4, |at| at.elapsed())
    }
}

/// Writes the entry of a replica every heartbeat while `is_alive`, and removes it after three heartbeats without.
pub fn register(
    store: &Arc<Store>,
    id: &str,
    address: SocketAddr,
    zone: &str,
    slots: usize,
    is_alive: &Arc<AtomicBool>,
) {
    const HEARTBEAT: Duration = Duration::from_millis(1_200);
    let (store, id, zone, is_alive) = (Arc::clone(store), id.to_owned(), zone.to_owned(), Arc::clone(is_alive));
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    thread::spawn(move || {
        let mut sequence = 0;
        while is_alive.load(Ordering::SeqCst) {
            sequence += 1;
            let entry = object(&[
                ("Service", text("llm")),
                ("Address", text(&address.to_string())),
                ("Zone", text(&zone)),
                ("Version", text("v1")),
                ("Slots", number(slots as u64)),
                ("State", text("ready")),
                ("ColdLeftMs", number(0)),
                ("Sequence", number(sequence)),
                ("born", number(born)),
            ]);
            store.put("servers", "", &id, &entry);
            thread::sleep(HEARTBEAT);
        }
        thread::sleep(2 * HEARTBEAT);
        store.remove("servers", "", &id);
    });
}

// ---------------------------------------------------------------- the manifest

pub const HOST: &str = "nony24.example";

/// Key of the tenant whose requests the cases send.
pub const KEY: &str = "Bearer key-t0";

/// The operator's manifest, with one streaming, one plain and one batch route, and eight tenants.
pub fn manifest(token_limit: u64) -> Json {
    let route = |name: &str, prefix: &str, kind: &str, more: &[(&str, Json)]| {
        let mut fields = vec![
            ("Name", text(name)),
            ("Host", text(HOST)),
            ("PathPrefix", text(prefix)),
            ("Kind", text(kind)),
            ("Service", text("llm")),
            ("Priority", number(0)),
            ("Public", Json::Bool(false)),
        ];
        fields.extend(more.iter().cloned());
        object(&fields)
    };
    let tenants = (0..8).map(|index| {
        object(&[
            ("Name", text(&format!("t{index}"))),
            ("ApiKeys", Json::Arr(vec![text(&format!("key-t{index}"))])),
            ("RatePerS", number(0)),
            ("Burst", number(0)),
        ])
    });
    object(&[
        ("Version", number(7)),
        (
            "Routes",
            Json::Arr(vec![
                route(
                    "r-stream",
                    "/stream/",
                    "streaming",
                    &[
                        ("TimeoutMs", number(5_000)),
                        ("SloMs", number(300)),
                        ("MaxAttempts", number(2)),
                        ("Resumable", Json::Bool(true)),
                        ("GapTargetMs", number(300)),
                    ],
                ),
                route(
                    "r-plain",
                    "/plain/",
                    "idempotent",
                    &[
                        ("TimeoutMs", number(10_000)),
                        ("SloMs", number(1_000)),
                        ("MaxAttempts", number(2)),
                    ],
                ),
                route(
                    "r-batch",
                    "/sheets/",
                    "batch",
                    &[
                        ("TimeoutMs", number(15_000)),
                        ("SloMs", number(400)),
                        ("MaxAttempts", number(3)),
                        ("CompletionTargetMs", number(18_000)),
                        ("RetentionS", number(60)),
                        ("MaxCount", number(token_limit)),
                    ],
                ),
            ]),
        ),
        (
            "Services",
            Json::Arr(vec![object(&[
                ("Name", text("llm")),
                ("HealthPath", text("/health")),
                ("MaxConns", number(210)),
            ])]),
        ),
        (
            "Limits",
            object(&[
                ("MaxHeaderBytes", number(16_384)),
                ("MaxBodyBytes", number(4_194_304)),
                ("HeaderTimeoutMs", number(3_000)),
                ("IdleTimeoutMs", number(15_000)),
            ]),
        ),
        ("Tenants", Json::Arr(tenants.collect())),
    ])
}

pub fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    stream.read(buffer)
}
