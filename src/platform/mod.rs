//! Where the product meets the platform: its settings file, store, names and calls, translated
//! into our own types and back. Nothing here decides; nothing outside knows the platform's names.

pub mod calls;
pub mod decode;
pub mod feed;
pub mod names;
pub mod settings;
pub mod store;

use std::io;
use std::net;
use std::rc;
use std::time;

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix;
use tokio::task;

use crate::gateway::{front, mirror};
use crate::transport::{callers, socket};
use crate::{error, gateway, metrics};

/// How long before the end of the grace time a planned stop ends whatever is in hand.
const MARGIN: time::Duration = time::Duration::from_millis(400);

/// Runs an entry VM's process on the platform until it is told to stop.
pub fn run(settings: settings::Settings, log: &slog::Logger) -> Result<(), error::Error> {
    let settings = rc::Rc::new(settings);
    let log = log.new(slog::o!("on" => settings.gateway.vm.to_string()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| error::Error::Config(format!("cannot start: {err}")))?;
    let local = task::LocalSet::new();
    local.block_on(&runtime, serve(settings, log))
}

async fn serve(
    settings: rc::Rc<settings::Settings>,
    log: slog::Logger,
) -> Result<(), error::Error> {
    let cx = gateway::Gateway::new(settings.gateway.clone(), log.clone());
    slog::info!(log, "start"; "vm" => %cx.cfg.vm, "az" => %cx.cfg.az, "front" => %cx.cfg.front, "metrics" => %settings.metrics);
    let mirror = mirror::Mirror::new(cx.clone());
    let calls = calls::Calls {
        cx: cx.clone(),
        ttl_s: settings.lookup_ttl.as_secs_f64(),
    };
    listen(settings.gateway.front, "front", cx.clone(), &cx)?;
    listen(settings.ready, "ready", calls.clone(), &cx)?;
    if let Some(addr) = settings.directory {
        listen(addr, "directory", calls.clone(), &cx)?;
    }
    // Callers are served without metrics rather than not at all.
    if let Err(err) = listen(settings.metrics, "metrics", calls, &cx) {
        slog::warn!(log, "no metrics"; "error" => %err);
    }
    if let Some(addr) = settings.peers {
        task::spawn_local(mirror.clone().serve(bind(addr, "control")?));
    }
    if let Some(addr) = settings.gateway.usage_addr {
        match bind_datagrams(addr) {
            Ok(socket) => drop(task::spawn_local(cx.clone().share_quotas(socket))),
            // The others then count on it as on one that they never heard.
            Err(err) => slog::warn!(log, "quotas are not told"; "error" => %err),
        }
    }
    let feed = feed::Feed::new(cx.clone(), settings.store);
    task::spawn_local(mirror.clone().run(feed, settings.seeds.clone()));
    let registration = feed::Registration {
        cx: cx.clone(),
        mirror,
        settings: settings.clone(),
    };
    let registered = task::spawn_local(registration.keep());
    task::spawn_local(cx.clone().upkeep());
    task::spawn_local(count(cx.clone()));
    until_told(&cx).await?;
    leave(&cx, registered).await;
    slog::info!(log, "stop"; "in_hand" => cx.requests_in_progress());
    Ok(())
}

fn listen<H: callers::Handler>(
    addr: net::SocketAddr,
    setting: &'static str,
    handler: H,
    cx: &gateway::Gateway,
) -> Result<(), error::Error> {
    task::spawn_local(front::accept(bind(addr, setting)?, handler, cx.clone()));
    Ok(())
}

fn bind(addr: net::SocketAddr, setting: &'static str) -> Result<TcpListener, error::Error> {
    socket::listen(addr).map_err(|err| error::Error::Bind {
        addr: addr.to_string(),
        setting,
        reason: err.to_string(),
    })
}

fn bind_datagrams(addr: net::SocketAddr) -> Result<UdpSocket, error::Error> {
    let failed = |err: io::Error| error::Error::Bind {
        addr: addr.to_string(),
        setting: "port_range",
        reason: err.to_string(),
    };
    let socket = net::UdpSocket::bind(addr).map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    UdpSocket::from_std(socket).map_err(failed)
}

/// Keeps the gauges, and folds what histograms gathered: without that it piles up until somebody
/// asks for the metrics.
async fn count(cx: gateway::Gateway) {
    const EVERY: time::Duration = time::Duration::from_secs(2);
    loop {
        tokio::time::sleep(EVERY).await;
        cx.set_gauges();
        metrics::exporter().upkeep();
    }
}

/// Waits for SIGTERM. The settings of a running process do not change where it listens, so a
/// SIGHUP only leaves a line.
async fn until_told(cx: &gateway::Gateway) -> Result<(), error::Error> {
    let signal = |kind| {
        unix::signal(kind)
            .map_err(|err| error::Error::Config(format!("cannot take signals: {err}")))
    };
    let mut term = signal(unix::SignalKind::terminate())?;
    let mut hup = signal(unix::SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = hup.recv() => slog::info!(cx.log, "settings file changed"; "why" => "SIGHUP"),
        }
    }
}

/// Takes this VM out of use and ends once what is in hand has ended.
async fn leave(cx: &gateway::Gateway, registered: task::JoinHandle<()>) {
    let begun = cx.now();
    slog::info!(cx.log, "planned stop"; "in_hand" => cx.requests_in_progress());
    cx.stop();
    // A panic in it was logged by its own task; the lease then lapses.
    let _ = registered.await;
    let end = begun + cx.cfg.grace.saturating_sub(MARGIN);
    loop {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        if cx.is_drained() || cx.now() >= end {
            return;
        }
    }
}
