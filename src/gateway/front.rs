//! Accepts callers' connections.

use std::io;
use std::time;

use futures_util::FutureExt;
use tokio::net::TcpListener;
use tokio::task;

use super::{Gateway, reading};
use crate::decisions::read_lag;
use crate::protocol::{http1, routes};
use crate::transport::{callers, descriptors, memory};

impl callers::Handler for Gateway {
    const USE: descriptors::Use = descriptors::Use::Callers;

    fn limits(&self) -> routes::Limits {
        self.table()
            .map_or_else(routes::Limits::default, |table| table.limits)
    }

    fn read_lag(&self, at: time::Instant) -> time::Duration {
        self.loop_lag(at)
    }

    fn refuse(&self, head: Option<&http1::RequestHead>, why: callers::Refusal) -> callers::Answer {
        self.refuse_unread(head, why)
    }

    fn memory(&self) -> memory::Account {
        self.memory.clone()
    }

    fn answer(&self, req: callers::Request) -> impl Future<Output = callers::Answer> + 'static {
        self.clone().handle(req)
    }
}

/// Accepts connections and serves them until the process ends.
pub async fn accept<H: callers::Handler>(listener: TcpListener, handler: H, cx: Gateway) {
    let mut queue = read_lag::ListenQueue::default();
    if H::USE == descriptors::Use::Callers {
        task::spawn_local(cx.clone().shed_slow_callers());
    }
    loop {
        // Without a budget the listener seems to have no connection.
        if !task::coop::has_budget_remaining() {
            task::yield_now().await;
        }
        let accepted = match listener.accept().now_or_never() {
            Some(accepted) => accepted,
            None => {
                queue.record_empty();
                listener.accept().await
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let waited = queue.record_accepted(cx.now());
                cx.record_listen_wait(waited);
                let held = descriptors::Held::new(H::USE);
                if H::USE == descriptors::Use::Callers && !cx.admit_connection() {
                    drop(held);
                    let refused = callers::Accepted {
                        stream,
                        waited,
                        slot: cx.refused_connections().add(),
                        held: descriptors::Held::new(descriptors::Use::Refused),
                    };
                    let refusing = cx.clone().refuse(refused, handler.clone());
                    cx.memory.spawn(memory::Owner::Connections, refusing);
                    let waiting_since = cx.now();
                    cx.wait_for_refusal().await;
                    if cx.now() > waiting_since + read_lag::MIN_LAG {
                        queue.record_failure(waiting_since);
                    }
                    continue;
                }
                let connections = match H::USE {
                    descriptors::Use::Operators if !cx.admit_operator() => continue,
                    descriptors::Use::Operators => cx.reading.operators(),
                    _ => cx.reading.connections(),
                };
                let accepted = callers::Accepted {
                    stream,
                    waited,
                    slot: connections.add(),
                    held,
                };
                let serving = accepted.serve(handler.clone(), cx.subscribe_stop());
                cx.memory.spawn(memory::Owner::Connections, serving);
            }
            Err(err) => {
                if reading::is_shortage(&err) {
                    queue.record_failure(cx.now());
                }
                cx.record_accept_failure(&err);
                pause_after_error(&err).await;
            }
        }
    }
}

/// Pauses after an error: without free file descriptors an immediate retry would fail too.
async fn pause_after_error(err: &io::Error) {
    if err.kind() != io::ErrorKind::ConnectionAborted {
        tokio::time::sleep(reading::SHORTAGE_RETRY_DELAY).await;
    }
}
