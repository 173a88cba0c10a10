//! Work for bodies in very short chunks.

#[path = "support/body.rs"]
mod body;
#[path = "support/runtime.rs"]
mod runtime;

use std::cell;
use std::io::Write;
use std::rc;

use bulrushwind::decisions::planned_stop;
use bulrushwind::protocol::{http1, routes};
use bulrushwind::transport::callers;
use bytes::BytesMut;
use proptest::prelude::*;
use tokio::sync::watch;
use tokio::{net, task};

use runtime::run_test;

/// Chunks of one byte with this many bytes in all.
fn one_byte_chunks(len: usize) -> String {
    "1\r\nx\r\n".repeat(len)
}

/// Decodes input that arrives in parts of this length. Returns the body, the pieces that it came in, and
/// the rest of the input.
fn decode(input: &[u8], part: usize) -> Result<(Vec<u8>, usize, Vec<u8>), http1::Malformed> {
    let mut reader = http1::BodyReader::new(http1::Framing::Chunked);
    let (mut buf, mut body, mut pieces) = (BytesMut::new(), Vec::new(), 0);
    let mut parts = input.chunks(part);
    for next in parts.by_ref() {
        buf.extend_from_slice(next);
        while let Some(piece) = reader.next(&mut buf)? {
            body.extend_from_slice(&piece);
            pieces += 1;
        }
        if reader.is_done() {
            break;
        }
    }
    assert_eq!(reader.bytes_read(), body.len() as u64);
    buf.extend_from_slice(&parts.flatten().copied().collect::<Vec<u8>>());
    Ok((body, pieces, buf.to_vec()))
}

/// Guards against a piece, an allocation and a send for each chunk.
#[test]
fn chunks_that_arrive_together_are_joined() {
    let input = one_byte_chunks(50_000) + "0\r\n\r\n";
    let (body, pieces, rest) = decode(input.as_bytes(), 64 << 10).unwrap();
    assert_eq!((body.len(), rest.len()), (50_000, 0));
    assert!(pieces <= input.len() / (64 << 10) + 1, "{pieces} pieces");
}

/// Guards against a trailer that is held whole until its line ends.
#[test]
fn a_trailer_is_not_held() {
    let mut reader = http1::BodyReader::new(http1::Framing::Chunked);
    let mut buf = BytesMut::from("0\r\nX-Long: ");
    for _ in 0..50 {
        buf.extend_from_slice(&[b't'; 1000]);
        assert_eq!(reader.next(&mut buf), Ok(None));
        assert!(buf.is_empty() && !reader.is_done());
    }
    buf.extend_from_slice(b"\r\nX-Short: 1\r\n\r\nnext");
    assert_eq!(reader.next(&mut buf), Ok(None));
    assert!(reader.is_done());
    assert_eq!(&buf[..], b"next");
}

proptest! {
    /// Guards against bytes that are lost or doubled where chunks are joined.
    #[test]
    fn a_body_is_the_same_however_it_is_cut(
        chunks in prop::collection::vec((1usize..300, 0usize..3), 0..60),
        trailers in 0usize..3,
        part in 1usize..400,
    ) {
        let (mut input, mut expected) = (Vec::new(), Vec::new());
        for (n, (len, form)) in chunks.into_iter().enumerate() {
            let data: Vec<u8> = (0..len).map(|i| (n * 7 + i) as u8).collect();
            let line = match form {
                0 => format!("{len:x}\r\n"),
                1 => format!("{len:X};name=value\r\n"),
                _ => format!("000{len:x} \r\n"),
            };
            input.extend_from_slice(line.as_bytes());
            input.extend_from_slice(&data);
            input.extend_from_slice(b"\r\n");
            expected.extend_from_slice(&data);
        }
        input.extend_from_slice(b"0\r\n");
        input.extend_from_slice("X-Trailer: 1\r\n".repeat(trailers).as_bytes());
        input.extend_from_slice(b"\r\nGET / HTTP/1.1\r\n");
        let (body, _, rest) = decode(&input, part).unwrap();
        prop_assert_eq!(body, expected);
        prop_assert_eq!(rest, b"GET / HTTP/1.1\r\n");
    }
}

/// Reads bodies.
#[derive(Clone, Default)]
struct Handler(rc::Rc<cell::Cell<usize>>);

impl callers::Handler for Handler {
    fn limits(&self) -> routes::Limits {
        routes::Limits::default()
    }

    fn answer(&self, mut req: callers::Request) -> impl Future<Output = callers::Answer> + 'static {
        let received = self.0.clone();
        async move {
            let (len, _) = body::read(&mut req.payload).await;
            received.set(len);
            callers::Answer::empty(200)
        }
    }
}

/// Guards against a connection that keeps all others waiting while it has bytes to read.
#[test]
fn a_connection_gives_others_their_turn_while_it_has_bytes_to_read() {
    /// Less than what the system holds for a connection that is not read.
    const BODY: usize = 60_000;
    /// Several times what a connection may read in a turn.
    const MAX_BYTES_A_TURN: usize = 64 << 10;
    run_test(async || {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let request = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            .to_owned()
            + &one_byte_chunks(BODY)
            + "0\r\n\r\n";
        caller.write_all(request.as_bytes()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let handler = Handler::default();
        let (_stop, stopping) = watch::channel(planned_stop::Phase::Serving);
        task::spawn_local(callers::serve(stream, handler.clone(), stopping));
        let mut turns = 0;
        while handler.0.get() == 0 {
            task::yield_now().await;
            turns += 1;
        }
        assert_eq!(handler.0.get(), BODY);
        assert!(turns >= request.len() / MAX_BYTES_A_TURN, "{turns} turns");
    });
}
