//! Requests as a target reads them.

use std::collections::HashMap;
use std::io;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// A request as the target saw it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SeenRequest {
    /// Method and path.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// The target ran it: its answer does not say otherwise.
    pub ran: bool,
}

/// Reads one request; none at the end of the connection.
pub(crate) async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<SeenRequest>> {
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut request = SeenRequest {
        line: lines.next().unwrap_or_default().to_owned(),
        ..SeenRequest::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        request
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = request.headers.get("content-length");
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let body_start = head_end + 4;
    while buffer.len() < body_start + length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer[body_start..body_start + length].to_vec();
    buffer.drain(..body_start + length);
    Ok(Some(request))
}
