//! Adapter for the platform that runs the entry VMs. Translates its settings file, store records, wire
//! names and endpoints to the crate's own types and back. It makes no routing decisions, and the
//! platform's names are not used outside this module.

pub mod decode;
pub mod endpoints;
pub mod feed;
pub mod names;
pub mod registry;
pub mod settings;
pub mod store;

use std::io;
use std::net;
use std::rc;
use std::time;

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix;
use tokio::task;

use crate::gateway::{front, mirror, registering};
use crate::transport::{callers, socket};
use crate::{error, gateway, metrics};

/// Runs an entry VM's process until SIGTERM. Fails if the runtime or a required listener cannot start.
pub fn run(settings: settings::Settings, log: &slog::Logger) -> Result<(), error::Error> {
    let settings = rc::Rc::new(settings);
    let log = log.new(slog::o!("on" => settings.gateway.vm.to_string()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| error::Error::Config(format!("cannot start the async runtime: {err}")))?;
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
    let endpoints = endpoints::Endpoints {
        cx: cx.clone(),
        ttl_s: settings.lookup_ttl.as_secs_f64(),
    };
    listen(settings.gateway.front, "front", cx.clone(), &cx)?;
    listen(settings.ready, "ready", endpoints.clone(), &cx)?;
    if let Some(addr) = settings.directory {
        listen(addr, "directory", endpoints.clone(), &cx)?;
    }
    // A metrics listener that cannot bind must not keep the VM from serving callers.
    if let Err(err) = listen(settings.metrics, "metrics", endpoints, &cx) {
        slog::warn!(log, "cannot serve metrics; continuing without them"; "error" => %err);
    }
    if let Some(addr) = settings.peers {
        task::spawn_local(mirror.clone().serve(bind(addr, "control")?));
    }
    if let Some(addr) = settings.gateway.usage_addr {
        match bind_datagrams(addr) {
            Ok(socket) => drop(task::spawn_local(cx.clone().share_quotas(socket))),
            // Other VMs then treat this one as a VM that has never reported quota usage.
            Err(err) => slog::warn!(log, "no usage socket; quotas are not shared"; "error" => %err),
        }
    }
    let feed = feed::Feed::new(cx.clone(), settings.store, settings.dead_vm_ttl);
    task::spawn_local(mirror.clone().run(feed, settings.seeds.clone()));
    let registration = registering::Registration {
        registry: registry::Registry::new(settings.store, &cx.cfg.az, &cx.cfg.vm),
        cx: cx.clone(),
        mirror,
        peers: settings.peers,
        dead_vm_ttl: settings.dead_vm_ttl,
        published: registering::PublishedCrashes::default(),
    };
    let registration_task = task::spawn_local(registration.maintain());
    task::spawn_local(cx.clone().upkeep());
    task::spawn_local(cx.clone().measure_lag());
    task::spawn_local(update_metrics(cx.clone()));
    wait_for_sigterm(&cx).await?;
    cx.stop();
    // The task logs its own panic; the registration's lease then expires.
    let deregistered = async { drop(registration_task.await) };
    cx.finish_stop(deregistered).await;
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
    let bind_error = |err: io::Error| error::Error::Bind {
        addr: addr.to_string(),
        setting: "port_range",
        reason: err.to_string(),
    };
    let socket = net::UdpSocket::bind(addr).map_err(bind_error)?;
    socket.set_nonblocking(true).map_err(bind_error)?;
    UdpSocket::from_std(socket).map_err(bind_error)
}

/// Updates the gauges and aggregates the histograms' samples periodically. Without this, samples
/// accumulate in memory until the next scrape.
async fn update_metrics(cx: gateway::Gateway) {
    const GAUGE_UPDATE_INTERVAL: time::Duration = time::Duration::from_secs(2);
    loop {
        tokio::time::sleep(GAUGE_UPDATE_INTERVAL).await;
        cx.set_gauges();
        metrics::exporter().upkeep();
    }
}

/// Waits for SIGTERM. SIGHUP is only logged: the listen addresses of a running process cannot change.
async fn wait_for_sigterm(cx: &gateway::Gateway) -> Result<(), error::Error> {
    let signal = |kind| {
        unix::signal(kind)
            .map_err(|err| error::Error::Config(format!("cannot install a signal handler: {err}")))
    };
    let mut term = signal(unix::SignalKind::terminate())?;
    let mut hup = signal(unix::SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = hup.recv() => slog::info!(cx.log, "settings not reloaded; restart the process to apply changes"; "why" => "SIGHUP"),
        }
    }
}
