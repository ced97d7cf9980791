//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
    }
}

fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        bytes.push(u8::from_str_radix(part.get(..2).unwrap_or("3f"), 16).unwrap_or(b'?'));
        bytes.extend_from_slice(part.get(2..).unwrap_or_default().as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head<R: Read>(
    reader: &mut BufReader<R>,
) -> io::Result<Option<(String, Vec<(String, String)>)>> {
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

/// Reads one chunk of a chunked body; an empty one is the last.
pub fn read_chunk<R: Read>(reader: &mut BufReader<R>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default().to_owned();
    let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok(bytes)
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = header(&headers, "content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { target, headers, body }))
}

pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())
}
