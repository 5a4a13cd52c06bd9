//! A small HTTP/1.1 client: one call for each connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response: status, `Location` header and body.
pub struct Reply {
    pub status: u16,
    pub location: String,
    pub body: Vec<u8>,
}

/// Why a call got no response.
#[derive(Debug)]
pub enum NoReply {
    /// The connection was refused or reset.
    Broken,
    /// No complete response came within the timeout.
    Silence,
}

/// A request, without the address that it is sent to.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub headers: &'a [(&'a str, String)],
    pub body: &'a str,
}

/// Sends a request and waits for the whole response; after `patience` the connection is closed.
pub fn call(address: SocketAddr, request: &Call, patience: Duration) -> Result<Reply, NoReply> {
    let until = Instant::now() + patience;
    let mut stream =
        TcpStream::connect_timeout(&address, patience).map_err(|error| kind_of(&error))?;
    let _ = stream.set_nodelay(true);
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\n",
        request.method,
        request.path,
        request.host,
        request.body.len()
    );
    if !request.body.is_empty() {
        text.push_str("Content-Type: application/json\r\n");
    }
    for (name, value) in request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(request.body);
    stream
        .write_all(text.as_bytes())
        .map_err(|error| kind_of(&error))?;
    let mut received = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        if let Some(reply) = parse(&received) {
            return Ok(reply);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(NoReply::Silence);
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => return Err(NoReply::Broken),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) => return Err(kind_of(&error)),
        }
    }
}

fn kind_of(error: &std::io::Error) -> NoReply {
    match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => NoReply::Silence,
        _ => NoReply::Broken,
    }
}

/// Parses a response with a `Content-Length`; `None` while it is incomplete.
fn parse(received: &[u8]) -> Option<Reply> {
    let head_end = received.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..head_end]).to_string();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut location) = (0, String::new());
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "location" => location = value.trim().to_string(),
            _ => {}
        }
    }
    let body = received.get(head_end + 4..head_end + 4 + length)?.to_vec();
    Some(Reply {
        status,
        location,
        body,
    })
}
