//! A proxy that stands for a link on which what callers send waits.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A link to an address on which what is sent waits for a time; returns where it begins.
pub fn slow_link(to: String, wait_ms: u64) -> Result<String, String> {
    let ip = to.split(':').next().unwrap_or_default().to_string();
    let listener = TcpListener::bind(format!("{ip}:0")).map_err(|e| e.to_string())?;
    let from = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    spawn(move || {
        for client in listener.incoming().flatten() {
            let to = to.clone();
            spawn(move || pass(client, &to, wait_ms));
        }
    });
    Ok(from)
}

/// Passes bytes on after a wait, and the answer at once. An end of the client is passed on like its bytes.
fn pass(client: TcpStream, to: &str, wait_ms: u64) {
    let Ok(server) = TcpStream::connect(to) else { return };
    let (Ok(mut from_client), Ok(mut to_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    spawn(move || {
        let mut waiting = Vec::new();
        let mut buffer = [0; 16384];
        let _ = from_client.set_read_timeout(Some(Duration::from_millis(10)));
        let mut is_open = true;
        while is_open || !waiting.is_empty() {
            match from_client.read(&mut buffer) {
                Ok(0) => is_open = false,
                Ok(count) => waiting.push((Instant::now(), buffer[..count].to_vec())),
                Err(error) => {
                    is_open &= matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    )
                }
            }
            while waiting
                .first()
                .is_some_and(|(at, _)| at.elapsed() >= Duration::from_millis(wait_ms))
            {
                let (_, bytes) = waiting.remove(0);
                if to_server.write_all(&bytes).is_err() {
                    return;
                }
            }
            if !is_open {
                sleep(Duration::from_millis(5));
            }
        }
        sleep(Duration::from_millis(wait_ms));
        let _ = to_server.shutdown(std::net::Shutdown::Write);
    });
    let (mut server, mut client) = (server, client);
    let _ = std::io::copy(&mut server, &mut client);
    let _ = client.shutdown(std::net::Shutdown::Both);
}
