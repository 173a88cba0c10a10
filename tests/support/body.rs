//! Bodies of requests.

use bulrushwind::transport::upstream;

/// Reads a body. Returns its length in bytes, and whether it has arrived whole.
pub(crate) async fn read(payload: &mut upstream::Payload) -> (usize, bool) {
    let rx = match payload {
        upstream::Payload::Whole(body) => return (body.len(), true),
        upstream::Payload::Pieces { rx, .. } => rx.as_mut().unwrap(),
    };
    let mut len = 0;
    loop {
        match rx.recv().await {
            Some(upstream::Piece::Data(data)) => len += data.len(),
            Some(upstream::Piece::End) => return (len, true),
            None => return (len, false),
        }
    }
}
