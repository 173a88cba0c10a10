//! The kinds of crowds.

use bytes::{BufMut, Bytes, BytesMut};

use super::scene::{self, Scene};
use super::support::crowd::{
    chunked, crowd, head, in_chunks, paced, unfinished_head, unread, with_length,
};

/// Callers of most crowds: a few less than a process admits.
const CALLERS: usize = 400;

/// The longest body that a process buffers.
const BUFFERED: usize = 256 << 10;

/// Guards against memory that grows with the number of bodies that are buffered.
#[test]
fn bodies_with_a_length() {
    scene::run(async |scene: Scene| {
        let to = scene.ports().front;
        scene
            .play(&crowd(to, CALLERS, |n| with_length(n, BUFFERED)))
            .await;
    });
}

/// Guards against buffers of bodies without a length.
#[test]
fn bodies_in_large_chunks() {
    scene::run(async |scene: Scene| {
        let body = in_chunks(240 << 10, 16 << 10, "");
        let to = scene.ports().front;
        scene
            .play(&crowd(to, CALLERS, move |n| chunked(n, &body)))
            .await;
    });
}

/// Guards against work and memory for each chunk, buffered and streamed.
#[test]
fn bodies_in_chunks_of_one_byte() {
    scene::run(async |scene: Scene| {
        let (buffered, streamed) = (in_chunks(100_000, 1, ""), in_chunks(300_000, 1, ""));
        let to = scene.ports().front;
        let parts = move |n: usize| match n % 2 {
            0 => chunked(n, &buffered),
            _ => chunked(n, &streamed),
        };
        scene.play(&crowd(to, 100, parts)).await;
    });
}

/// Guards against lines between chunks, and trailers, that are held whole for each caller.
#[test]
fn bodies_with_extensions_and_trailers() {
    scene::run(async |scene: Scene| {
        let extension = format!(";name={}", "e".repeat(4000));
        let body = in_chunks(64 << 10, 1 << 10, &extension);
        let trailer = Bytes::from(format!("0\r\nX-Trailer: {}", "t".repeat(60_000)));
        let to = scene.ports().front;
        let parts = move |n: usize| {
            let mut parts = chunked(n, &body);
            parts.push(trailer.clone());
            parts
        };
        scene.play(&crowd(to, CALLERS, parts)).await;
    });
}

/// Guards against limits that hold only on one side of the length from which bodies are streamed.
#[test]
fn bodies_around_the_length_that_is_buffered() {
    scene::run(async |scene: Scene| {
        let bodies: Vec<Bytes> = (0..4)
            .map(|n| in_chunks(BUFFERED - 2 + n, 1 << 10, ""))
            .collect();
        let to = scene.ports().front;
        let parts = move |n: usize| match n % 8 {
            at @ 0..4 => with_length(n, BUFFERED - 1 + at),
            at => chunked(n, &bodies[at - 4]),
        };
        scene.play(&crowd(to, CALLERS, parts)).await;
    });
}

/// Guards against long bodies that take all slots, and memory, while they stop.
#[test]
fn bodies_that_are_streamed() {
    scene::run(async |scene: Scene| {
        let to = scene.ports().front;
        let parts = |n: usize| {
            let mut parts = with_length(n, 1 << 20);
            parts[1].truncate((1 << 20) - 1);
            parts
        };
        scene.play(&crowd(to, CALLERS, parts)).await;
    });
}

/// Guards against heads that are never finished.
#[test]
fn heads() {
    scene::run(async |scene: Scene| {
        let to = scene.ports().front;
        scene
            .play(&crowd(to, CALLERS, |n| unfinished_head(n, 16_000)))
            .await;
    });
}

/// Guards against answers that wait behind the first one, and requests that are read ahead.
#[test]
fn pipelined_requests() {
    scene::run(async |scene: Scene| {
        let to = scene.ports().front;
        let parts = |n: usize| {
            let mut parts = unread(n, 16, 200_000);
            // Beyond the requests that may run: read ahead.
            let behind = head("GET", "/read/a", n, "").repeat(500);
            parts.push(behind.into());
            parts
        };
        scene.play(&paced(to, 200, parts)).await;
    });
}

/// Guards against answers that callers do not read.
#[test]
fn callers_that_do_not_read() {
    scene::run(async |scene: Scene| {
        let to = scene.ports().front;
        scene
            .play(&paced(to, CALLERS, |n| unread(n, 4, 250_000)))
            .await;
    });
}

/// Guards against unfinished requests that take all descriptors.
#[test]
fn more_callers_than_descriptors() {
    scene::run(async |scene: Scene| {
        let to = scene.ports().front;
        scene.play(&crowd(to, 900, |n| with_length(n, 1000))).await;
    });
}

/// Guards against listeners without limits beside the one for callers.
#[test]
fn look_ups_readiness_and_metrics() {
    scene::run(async |scene: Scene| {
        let ports = scene.ports();
        for to in [ports.directory, ports.ready, ports.metrics] {
            scene
                .play(&crowd(to, 900, |n| with_length(n, 100_000)))
                .await;
        }
    });
}

/// Guards against links that a stranger opens and fills.
#[test]
fn links_of_strangers() {
    scene::run(async |scene: Scene| {
        let handshake = "GET /tunnel HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
            Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
        // A masked binary frame of 48 MB.
        let mut frame = BytesMut::from(&[0x82, 0xff][..]);
        frame.put_u64(48 << 20);
        frame.put_u32(0);
        let (frame, body) = (frame.freeze(), Bytes::from(vec![0; 200_000]));
        let to = scene.ports().control;
        let parts = move |_: usize| vec![Bytes::from(handshake), frame.clone(), body.clone()];
        scene.play(&crowd(to, 900, parts)).await;
    });
}

/// Guards against limits that hold only on the VM that has the callers.
#[test]
fn through_another_vm() {
    scene::run_with(2, async |scene: Scene| {
        let to = scene.ports().front;
        let parts = |n: usize| match n % 2 {
            0 => with_length(n, 1 << 20),
            _ => unread(n, 8, 250_000),
        };
        scene.play(&paced(to, 200, parts)).await;
    });
}

/// Guards against kinds that share a limit and are each held only alone.
#[test]
fn all_kinds_at_once() {
    scene::run(async |scene: Scene| {
        let (large, small) = (in_chunks(240 << 10, 16 << 10, ""), in_chunks(50_000, 1, ""));
        let to = scene.ports().front;
        let parts = move |n: usize| match n % 7 {
            0 => with_length(n, BUFFERED),
            1 => chunked(n, &large),
            2 => chunked(n, &small),
            3 => unfinished_head(n, 15_000),
            4 => unread(n, 16, 200_000),
            5 => unread(n, 1, 250_000),
            _ => with_length(n, 1 << 20),
        };
        scene.play(&paced(to, CALLERS, parts)).await;
    });
}
