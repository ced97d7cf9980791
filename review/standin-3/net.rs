//! Small HTTP/1.1 helpers on blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A message with its start line, headers (names in lower case) and body.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line: the target of a request, the status of a response.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.second().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
    }

    pub fn path(&self) -> &str {
        self.second().split('?').next().unwrap_or_default()
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads bytes from a connection and keeps what was not used yet.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns `None` at the end, after an error or at the time limit of the socket.
    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Some(())
            }
        }
    }

    /// Reads a start line and headers.
    pub fn head(&mut self) -> Option<Message> {
        let end = loop {
            match self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                Some(at) => break at,
                None => self.fill()?,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next()?.to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        Some(Message { start, headers: lines.filter_map(header).collect(), body: Vec::new() })
    }

    pub fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = self.buffer.drain(..at + 2).take(at).collect();
                return String::from_utf8(line).ok();
            }
            self.fill()?;
        }
    }

    /// Reads a body and passes on each part of it. Returns whether it was complete.
    pub fn body(&mut self, head: &Message, mut part: impl FnMut(&[u8])) -> bool {
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().ends_with("chunked"));
        if chunked {
            return self.chunks(&mut part).is_some();
        }
        let length = head.header("content-length").and_then(|value| value.parse().ok());
        let mut left: usize = length.unwrap_or(0);
        while left > 0 {
            if self.buffer.is_empty() && self.fill().is_none() {
                return false;
            }
            let count = left.min(self.buffer.len());
            let bytes: Vec<u8> = self.buffer.drain(..count).collect();
            part(&bytes);
            left -= count;
        }
        true
    }

    fn chunks(&mut self, part: &mut impl FnMut(&[u8])) -> Option<()> {
        loop {
            let size = usize::from_str_radix(self.line()?.split(';').next()?.trim(), 16).ok()?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Some(());
            }
            let bytes = self.exactly(size + 2)?;
            part(&bytes[..size]);
        }
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        let mut body = Vec::new();
        let complete = self.body(&message, |part| body.extend_from_slice(part));
        message.body = body;
        complete.then_some(message)
    }
}

/// Writes a response with a body of known length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} S\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Accepts connections in a thread each, for as long as the process runs.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Returns ports that are free now, below those that the system gives to connections.
pub fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 400) as u16 * 40;
    let ports = std::iter::repeat_with(|| first + NEXT.fetch_add(1, Ordering::Relaxed));
    let is_free = |port: &u16| {
        TcpListener::bind(("127.0.0.1", *port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", *port)).is_ok()
    };
    ports.filter(is_free).take(count).collect()
}

pub fn connect(address: SocketAddr, limit: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    Some(stream)
}
