//! Clients: a request, and what came back of it.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::clock::since_start;
use crate::http::header;
use crate::http::read_chunk;
use crate::http::read_head;
use crate::wire::wire;

/// A model request.
#[derive(Clone)]
pub struct ModelRequest {
    pub id: String,
    pub host: String,
    pub path: String,
    pub key: String,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    pub deadline_ms: u64,
}

/// What a client got for a request.
#[derive(Clone, Default)]
pub struct Answer {
    pub id: String,
    pub router: usize,
    /// Whether the connection had carried an answer before.
    pub kept: bool,
    pub sent: f64,
    pub ended: f64,
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub sealed: bool,
    /// Whole events that arrived.
    pub events: u64,
    /// Whether the answer came to its end.
    pub complete: bool,
    pub note: String,
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, router: usize, request: &ModelRequest) -> Answer {
    let mut connection = None;
    send_on(&mut connection, address, router, request, b"a prompt")
}

/// Sends a request on the connection, or on a new one if there is none. The connection is kept only
/// if the answer came to its end and does not close it.
pub fn send_on(
    connection: &mut Option<TcpStream>,
    address: SocketAddr,
    router: usize,
    request: &ModelRequest,
    body: &[u8],
) -> Answer {
    let kept = connection.is_some();
    let mut answer =
        Answer { id: request.id.clone(), router, kept, sent: since_start(), ..Answer::default() };
    let opened = match connection.take() {
        Some(stream) => Ok(stream),
        None => TcpStream::connect_timeout(&address, Duration::from_secs(1)),
    };
    match opened.and_then(|stream| exchange(stream, request, body, &mut answer)) {
        Ok(stream) => *connection = stream,
        Err(error) => answer.note = error.to_string(),
    }
    answer.ended = since_start();
    answer
}

/// Returns the connection if it may carry another request.
fn exchange(
    stream: TcpStream,
    request: &ModelRequest,
    body: &[u8],
    answer: &mut Answer,
) -> io::Result<Option<TcpStream>> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms)))?;
    let ModelRequest { id, host, path, key, prompt_tokens, output_tokens, deadline_ms } = request;
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\n{}: {id}\r\nModel: m\r\n{}: {prompt_tokens},{output_tokens}\r\n{}: {id}:{prompt_tokens}\r\n{}: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n",
        wire("request_id"),
        wire("tokens"),
        wire("prompt"),
        wire("time_left"),
        body.len()
    );
    (&stream).write_all(text.as_bytes())?;
    (&stream).write_all(body)?;
    let mut reader = BufReader::new(&stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    answer.status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    answer.sealed = header(&headers, wire("seal")).is_some();
    let mut received = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            received.extend(chunk);
            answer.events = received.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
        }
    } else {
        let length = header(&headers, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        received = vec![0; length];
        reader.read_exact(&mut received)?;
    }
    answer.complete = true;
    if answer.status != 200 {
        answer.note = String::from_utf8_lossy(&received).chars().take(160).collect();
    }
    let closes = header(&headers, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    Ok((!closes).then_some(stream))
}
