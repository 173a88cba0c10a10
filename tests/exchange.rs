//! Requests to a backend server that answers early, sends unrelated bytes, or closes the connection while
//! the body is sent.

#[path = "support/runtime.rs"]
mod runtime;

use std::time;

use bulrushwind::protocol::http1;
use bulrushwind::transport::{descriptors, socket, upstream};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::{net, task};

use runtime::run_test;

/// The length of a body that exceeds the socket buffers of both ends.
const BYTES: usize = 1 << 20;

const MINE: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\nContent-Length: 4\r\n\r\nmine";
const LATE: &str = "HTTP/1.1 200 OK\r\nx-id: other\r\nContent-Length: 5\r\n\r\nother";
const LATE_CHUNKS: &str =
    "HTTP/1.1 503 Busy\r\nx-id: other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n";

const TAG: upstream::Tag<'_> = upstream::Tag {
    field: "x-id",
    id: b"mine",
    to_head: false,
};

/// A connection with small buffers, and its other end.
async fn connect() -> (socket::Wire, net::TcpStream) {
    let listening = net::TcpSocket::new_v4().unwrap();
    listening.set_recv_buffer_size(32 << 10).unwrap();
    listening.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = listening.listen(1).unwrap();
    let socket = net::TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(32 << 10).unwrap();
    let addr = listener.local_addr().unwrap();
    let (stream, accepted) = tokio::join!(socket.connect(addr), listener.accept());
    let held = descriptors::Held::new(descriptors::Use::Backends);
    (
        socket::Wire::new(stream.unwrap(), held),
        accepted.unwrap().0,
    )
}

/// The kind of payload.
#[derive(Clone, Copy, Debug)]
enum Given {
    Whole,
    Pieces { chunked: bool },
}

const GIVEN: [Given; 3] = [
    Given::Whole,
    Given::Pieces { chunked: false },
    Given::Pieces { chunked: true },
];

/// The head of a request and its body, which ends after `bytes`.
fn request(given: Given, bytes: usize) -> (String, upstream::Payload) {
    let head = |field: &str| format!("POST / HTTP/1.1\r\nx-id: mine\r\n{field}\r\n\r\n");
    let length = format!("Content-Length: {BYTES}");
    let Given::Pieces { chunked } = given else {
        let body = Bytes::from(vec![b'y'; bytes]);
        return (head(&length), upstream::Payload::Whole(body));
    };
    let (tx, rx) = mpsc::channel(1);
    task::spawn_local(async move {
        for _ in 0..bytes / (16 << 10) {
            let piece = upstream::Piece::Data(Bytes::from(vec![b'y'; 16 << 10]));
            if tx.send(piece).await.is_err() {
                return;
            }
        }
        if bytes == BYTES {
            let _ = tx.send(upstream::Piece::End).await;
        }
    });
    let (field, length) = match chunked {
        true => ("Transfer-Encoding: chunked".to_owned(), None),
        false => (length, Some(BYTES as u64)),
    };
    let payload = upstream::Payload::Pieces {
        length,
        rx: Some(rx),
    };
    (head(&field), payload)
}

/// The answer that an exchange receives, and whether its connection may be used again.
async fn exchange(
    wire: &mut socket::Wire,
    given: Given,
    bytes: usize,
) -> Result<(u16, String, bool), upstream::Failure> {
    let (head, mut payload) = request(given, bytes);
    let received = upstream::exchange(wire, head.as_bytes(), &mut payload, TAG).await?;
    let mut reader = http1::BodyReader::new(received.head.framing);
    let mut body = BytesMut::new();
    while let Some(piece) = upstream::next_piece(wire, &mut reader).await? {
        body.extend_from_slice(&piece);
    }
    let text = String::from_utf8(body.to_vec()).unwrap();
    Ok((received.head.status, text, received.reusable))
}

/// Reads a whole request. Returns the length of its body, `None` if it is truncated.
async fn read_request(peer: &mut net::TcpStream) -> Option<usize> {
    let mut buf = BytesMut::new();
    let head = read_head(peer, &mut buf).await?;
    let mut reader = http1::BodyReader::new(head.framing);
    let mut len = 0;
    loop {
        while let Some(piece) = reader.next(&mut buf).unwrap() {
            assert!(piece.iter().all(|b| *b == b'y'));
            len += piece.len();
        }
        if reader.is_done() {
            return Some(len);
        }
        if !matches!(peer.read_buf(&mut buf).await, Ok(1..)) {
            return None;
        }
    }
}

async fn read_head(peer: &mut net::TcpStream, buf: &mut BytesMut) -> Option<http1::RequestHead> {
    loop {
        if let Some(head) = http1::RequestHead::take(buf, 64 << 10).unwrap() {
            return Some(head);
        }
        if !matches!(peer.read_buf(buf).await, Ok(1..)) {
            return None;
        }
    }
}

/// Guards against a transfer that stops when bytes arrive which are not the request's answer: late answers
/// to earlier requests, also in parts, and interim answers.
#[test]
fn a_body_is_sent_on_when_bytes_arrive_that_are_not_its_answer() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for given in GIVEN {
        for other in [LATE, LATE_CHUNKS, interim] {
            for parts in [1, 3] {
                run_test(async || {
                    let (mut wire, mut peer) = connect().await;
                    let serve = async {
                        let size = other.len().div_ceil(parts);
                        for part in other.as_bytes().chunks(size) {
                            peer.write_all(part).await.unwrap();
                            tokio::time::sleep(time::Duration::from_millis(10)).await;
                        }
                        assert_eq!(read_request(&mut peer).await, Some(BYTES));
                        peer.write_all(MINE.as_bytes()).await.unwrap();
                    };
                    let (answer, ()) = tokio::join!(exchange(&mut wire, given, BYTES), serve);
                    assert_eq!(answer, Ok((200, "mine".to_owned(), true)));
                });
            }
        }
    }
}

/// Guards against a transfer that stops in the middle of a late answer to an earlier request.
#[test]
fn a_body_is_sent_on_in_the_middle_of_a_late_answer() {
    for given in GIVEN {
        run_test(async || {
            let (mut wire, mut peer) = connect().await;
            let serve = async {
                let (first, rest) = LATE.split_at(LATE.len() - 3);
                peer.write_all(first.as_bytes()).await.unwrap();
                assert_eq!(read_request(&mut peer).await, Some(BYTES));
                peer.write_all(rest.as_bytes()).await.unwrap();
                peer.write_all(MINE.as_bytes()).await.unwrap();
            };
            let (answer, ()) = tokio::join!(exchange(&mut wire, given, BYTES), serve);
            assert_eq!(answer, Ok((200, "mine".to_owned(), true)));
        });
    }
}

/// Guards against an early answer that waits for the rest of the body, and against the use of its
/// connection for another request.
#[test]
fn an_early_answer_ends_the_exchange_while_nothing_of_the_body_is_read() {
    for given in GIVEN {
        run_test(async || {
            let (mut wire, mut peer) = connect().await;
            let serve = async {
                read_head(&mut peer, &mut BytesMut::new()).await.unwrap();
                peer.write_all(MINE.as_bytes()).await.unwrap();
            };
            let (answer, ()) = tokio::join!(exchange(&mut wire, given, BYTES), serve);
            assert_eq!(answer, Ok((200, "mine".to_owned(), false)));
            assert!(!wire.is_idle());
        });
    }
}

/// Guards against a transfer that stops at the head of the answer, while the backend server needs the rest.
#[test]
fn a_body_is_sent_on_until_the_answer_is_complete() {
    for given in GIVEN {
        run_test(async || {
            let (mut wire, mut peer) = connect().await;
            let serve = async {
                let (first, rest) = MINE.split_at(MINE.len() - 3);
                peer.write_all(first.as_bytes()).await.unwrap();
                assert_eq!(read_request(&mut peer).await, Some(BYTES));
                peer.write_all(rest.as_bytes()).await.unwrap();
            };
            let (answer, ()) = tokio::join!(exchange(&mut wire, given, BYTES), serve);
            assert_eq!(answer, Ok((200, "mine".to_owned(), false)));
        });
    }
}

/// Guards against an exchange that waits after the connection closed, and against an answer that was reset
/// and is taken as complete.
#[test]
fn the_end_of_the_connection_ends_the_exchange() {
    let unframed = "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nsome";
    for given in GIVEN {
        for (sent, resets) in [("", false), ("", true), (unframed, true), (LATE, false)] {
            run_test(async || {
                let (mut wire, mut peer) = connect().await;
                let serve = async {
                    read_head(&mut peer, &mut BytesMut::new()).await.unwrap();
                    peer.write_all(sent.as_bytes()).await.unwrap();
                    tokio::time::sleep(time::Duration::from_millis(10)).await;
                    if resets {
                        let socket = socket2::SockRef::from(&peer);
                        socket.set_linger(Some(time::Duration::ZERO)).unwrap();
                    }
                    drop(peer);
                };
                let (answer, ()) = tokio::join!(exchange(&mut wire, given, BYTES), serve);
                assert_eq!(answer, Err(upstream::Failure::Lost), "{given:?} {sent}");
            });
        }
    }
}

/// Guards against a caller's truncated body that leaves the exchange waiting for an answer, before and
/// after a late answer.
#[test]
fn a_truncated_body_ends_the_exchange() {
    for chunked in [false, true] {
        for other in ["", LATE] {
            run_test(async || {
                let (mut wire, mut peer) = connect().await;
                peer.write_all(other.as_bytes()).await.unwrap();
                let exchange = async {
                    let answer = exchange(&mut wire, Given::Pieces { chunked }, BYTES / 2).await;
                    assert_eq!(answer, Err(upstream::Failure::CallerDisconnected));
                    drop(wire);
                };
                let ((), body) = tokio::join!(exchange, read_request(&mut peer));
                assert_eq!(body, None);
            });
        }
    }
}

/// Guards against a backend server that sends late answers without end while a body is sent.
#[test]
fn too_many_late_answers_end_the_exchange() {
    for given in GIVEN {
        run_test(async || {
            let (mut wire, mut peer) = connect().await;
            peer.write_all(LATE.repeat(8).as_bytes()).await.unwrap();
            let answer = exchange(&mut wire, given, BYTES).await;
            assert_eq!(answer, Err(upstream::Failure::InvalidAnswer));
        });
    }
}
