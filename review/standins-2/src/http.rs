//! A small HTTP/1.1 server and client with MessagePack bodies, one thread a connection.

use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as a server received it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Value,
}

impl Request {
    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }
}

/// What a server does with a request.
pub enum Outcome {
    Answer(u16, Value),
    /// The connection stays open and is never answered.
    Silence,
}

pub fn encode(value: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("a JSON value can be encoded")
}

pub fn decode(bytes: &[u8]) -> Value {
    rmp_serde::from_slice(bytes).unwrap_or(Value::Null)
}

/// Serves requests at a listener until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Outcome + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Outcome) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut words = first.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            body: decode(&body),
        };
        let closes = headers
            .iter()
            .any(|line| line.contains("connection: close"));
        match handler(request) {
            Outcome::Silence => loop {
                // The peer gives up at some time.
                let mut rest = [0; 64];
                if reader.read(&mut rest).ok()? == 0 {
                    return None;
                }
            },
            Outcome::Answer(status, value) => {
                let body = encode(&value);
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all(&[head.as_bytes(), &body].concat()).ok()?;
                if closes {
                    return None;
                }
            }
        }
    }
}

/// Reads the first line, the headers in lower case and the body of a message.
fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<String>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        headers.push(line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim().to_owned(), headers, body))
}

/// Sends one request on a connection of its own. `None` without an answer in time.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let body = if body.is_null() {
        Vec::new()
    } else {
        encode(body)
    };
    send_bytes(address, method, path, &body, timeout).ok()
}

/// As [`send`], with any bytes as the body.
pub fn send_bytes(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Value)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let left = deadline.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) =
        read_message(&mut reader).ok_or_else(|| io::Error::other("no answer"))?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    Ok((status, decode(&body)))
}
