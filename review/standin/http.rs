//! HTTP/1.1 over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The head and body of a request.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query, with percent-encoded bytes decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        let (mut out, mut rest) = (Vec::new(), value.as_bytes());
        while let Some((first, tail)) = rest.split_first() {
            if *first == b'%' && tail.len() >= 2 {
                let digits = std::str::from_utf8(&tail[..2]).ok()?;
                out.push(u8::from_str_radix(digits, 16).ok()?);
                rest = &tail[2..];
            } else {
                out.push(*first);
                rest = tail;
            }
        }
        String::from_utf8(out).ok()
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with chunks to its last one; `on_data` gets the bytes as they arrive.
fn read_chunks(reader: &mut impl BufRead, mut on_data: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut data = vec![0; size];
        reader.read_exact(&mut data)?;
        on_data(&data);
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads the next request of a connection; `None` if the peer has closed it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ').map(str::to_owned);
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if let Some(length) = find(&headers, "content-length").and_then(|text| text.parse().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, |data| body.extend_from_slice(data))?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n");
    stream.write_all(format!("{head}{body}").as_bytes())
}

/// What a client has received.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer came to its end, as its framing states it.
    pub complete: bool,
}

/// Sends `request`, a head and body, on a new connection and reads the answer. An error means that
/// no head of an answer was received.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let reader = &mut BufReader::new(stream);
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    let length = find(&headers, "content-length").and_then(|text| text.parse::<u64>().ok());
    let read = if let Some(length) = length {
        reader.take(length).read_to_end(&mut body).map(|_| ())
    } else if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, |data| body.extend_from_slice(data))
    } else {
        reader.read_to_end(&mut body).map(|_| ())
    };
    let complete = read.is_ok() && length.is_none_or(|length| body.len() as u64 == length);
    Ok(Answer { status, body, complete })
}
