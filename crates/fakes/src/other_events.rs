//! Events of a faulty target that are not those of the stream that it was asked for.

use std::io;
use std::ops::RangeInclusive;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Bytes of data of such an event, unless more is asked for.
pub(crate) const OTHER_EVENT_BYTES: usize = 10;

/// Sends an event whose data is no UTF-8 text, as a chunk.
pub(crate) async fn send_broken_text(stream: &mut TcpStream, number: u64) -> io::Result<()> {
    let event = [format!("id: {number}\ndata: ").as_bytes(), b"\xff\xfe\n\n"].concat();
    let chunk = [format!("{:x}\r\n", event.len()).as_bytes(), &event, b"\r\n"].concat();
    stream.write_all(&chunk).await
}

/// Sends events that are not those of the stream, with `bytes` of data each.
pub(crate) async fn send_other_events(
    stream: &mut TcpStream,
    numbers: RangeInclusive<u64>,
    bytes: usize,
) -> io::Result<()> {
    let data = "?".repeat(bytes);
    for number in numbers {
        let event = format!("id: {number}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    Ok(())
}
