//! A small HTTP/1.1 client, and reading of requests.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// What came back on a connection that is used for one request.
#[derive(Debug, Default)]
pub struct Answer {
    /// All bytes, until the connection ended or the time was over.
    pub bytes: Vec<u8>,
    /// Why it ended: `closed`, `reset` or `timeout`.
    pub end: &'static str,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    pub fn status(&self) -> u16 {
        let text = self.text();
        let status = text.split_whitespace().nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn body(&self) -> String {
        let text = self.text();
        text.split_once("\r\n\r\n")
            .map(|(_, body)| body.to_owned())
            .unwrap_or_default()
    }
}

/// Sends bytes and reads until the connection ends or the time is over.
pub fn exchange(addr: SocketAddr, bytes: &[u8], limit: Duration) -> Answer {
    let until = Instant::now() + limit;
    let mut answer = Answer { bytes: Vec::new(), end: "timeout" };
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1).min(limit)) else {
        answer.end = "refused";
        return answer;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(bytes).is_err() {
        answer.end = "reset";
        return answer;
    }
    let mut buf = [0; 16384];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return answer;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buf) {
            Ok(0) => {
                answer.end = "closed";
                return answer;
            }
            Ok(n) => answer.bytes.extend_from_slice(&buf[..n]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return answer;
            }
            Err(_) => {
                answer.end = "reset";
                return answer;
            }
        }
    }
}

/// Calls a daemon that serves control, and follows its redirects.
pub fn call(control: SocketAddr, method: &str, path: &str, body: &str) -> Answer {
    let mut addr = control;
    let mut path = path.to_owned();
    let mut answer = Answer::default();
    for _ in 0..3 {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        answer = exchange(addr, request.as_bytes(), Duration::from_secs(2));
        if answer.status() != 307 {
            return answer;
        }
        let text = answer.text();
        let place = header(&text, "location").and_then(|l| l.strip_prefix("http://"));
        let Some((next, rest)) = place.and_then(|l| l.split_once('/')) else {
            return answer;
        };
        let Ok(next) = next.parse() else {
            return answer;
        };
        addr = next;
        path = format!("/{rest}");
    }
    answer
}

/// Reads a request with a length. `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Option<(String, Vec<u8>)>> {
    let mut buf = Vec::new();
    let mut chunk = [0; 16384];
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => buf.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let length: usize = header(&head, "content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    while buf.len() < end + length {
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => buf.extend_from_slice(&chunk[..n]),
        }
    }
    Ok(Some((head, buf[end..end + length].to_vec())))
}

/// Returns the value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_once(':'))
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}
