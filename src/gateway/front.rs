//! Accepts callers' connections.

use std::io;

use tokio::net::TcpListener;
use tokio::task;

use super::Gateway;
use crate::protocol::routes;
use crate::transport::callers;

impl callers::Handler for Gateway {
    fn limits(&self) -> routes::Limits {
        self.table()
            .map_or_else(routes::Limits::default, |table| table.limits)
    }

    fn answer(&self, req: callers::Request) -> impl Future<Output = callers::Answer> + 'static {
        self.clone().handle(req)
    }
}

/// Accepts connections and serves them until the process ends.
pub async fn accept<H: callers::Handler>(listener: TcpListener, handler: H, cx: Gateway) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(callers::serve(stream, handler.clone(), cx.subscribe_stop()));
            }
            Err(err) => {
                slog::warn!(cx.log, "cannot accept a connection"; "error" => %err);
                pause_after_error(&err).await;
            }
        }
    }
}

/// Pauses after an error: without free file descriptors an immediate retry would fail too.
async fn pause_after_error(err: &io::Error) {
    const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);
    if err.kind() != io::ErrorKind::ConnectionAborted {
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}
