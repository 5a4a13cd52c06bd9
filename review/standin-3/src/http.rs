//! A small HTTP/1.1 client: one connection for each call, with one deadline for the whole call.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Makes a call. `Err` says why there was no whole answer before the deadline.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Result<Answer, String> {
    let deadline = Instant::now() + limit;
    let target: SocketAddr = address.parse().map_err(|e| format!("address: {e}"))?;
    let mut stream = TcpStream::connect_timeout(&target, limit).map_err(|e| format!("connect: {}", e.kind()))?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let _ = stream.set_write_timeout(Some(limit));
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .map_err(|e| format!("send: {}", e.kind()))?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("silence".into());
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err("silence".into()),
            Err(e) => return Err(format!("cut: {}", e.kind())),
        }
        if let Some(answer) = parse(&bytes) {
            return Ok(answer);
        }
    }
    parse(&bytes).ok_or_else(|| "cut".into())
}

/// The answer, once all of it is there. All answers of the system have a Content-Length.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_string();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0);
    let body = bytes.get(end + 4..end + 4 + length)?;
    Some(Answer {
        status,
        body: String::from_utf8_lossy(body).to_string(),
    })
}
