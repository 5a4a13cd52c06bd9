//! HTTP/1.1 calls over loopback, one connection a call.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer: its status, its body as JSON (null if it is none), and how many bytes the body had.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    pub bytes: usize,
}

/// A call that is answered completely within `within`; anything else is an error text.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Result<Answer, String> {
    let deadline = Instant::now() + within;
    let left = |deadline: Instant| {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err("silence".to_string())
        } else {
            Ok(left)
        }
    };
    let mut connection =
        TcpStream::connect_timeout(&to, left(deadline)?).map_err(|why| why.to_string())?;
    connection
        .set_nodelay(true)
        .map_err(|why| why.to_string())?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if method == "POST" {
        head += &format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    head += "\r\n";
    let mut request = head.into_bytes();
    request.extend(body);
    connection
        .set_write_timeout(Some(left(deadline)?))
        .map_err(|why| why.to_string())?;
    connection
        .write_all(&request)
        .map_err(|why| why.to_string())?;
    let mut received = Vec::new();
    let mut part = vec![0; 64 << 10];
    loop {
        connection
            .set_read_timeout(Some(left(deadline)?))
            .map_err(|why| why.to_string())?;
        match connection.read(&mut part) {
            Ok(0) => break,
            Ok(number) => received.extend(&part[..number]),
            Err(why) if why.kind() == std::io::ErrorKind::WouldBlock => {
                return Err("silence".into());
            }
            Err(why) => return Err(why.to_string()),
        }
        if let Some(answer) = parse(&received) {
            return Ok(answer);
        }
    }
    parse(&received).ok_or_else(|| "cut".to_string())
}

/// The answer, once it is complete.
fn parse(received: &[u8]) -> Option<Answer> {
    let end = received.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).to_string();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    })?;
    let body = received.get(end + 4..end + 4 + length)?;
    Some(Answer {
        status,
        body: serde_json::from_slice(body).unwrap_or(Value::Null),
        bytes: length,
    })
}
