//! Starts programs as child processes for tests and examples.
//!
//! Each program prints `listening <address>` once it accepts connections. Dropping the handle
//! kills the process, so that a failed test leaves no processes running.

use std::io;
use std::io::BufRead;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use super::operator;
use crate::coordination::store_http;
use crate::settings;

/// A child process that listens on an address.
#[derive(Debug)]
pub struct Process {
    child: process::Child,
    addr: net::SocketAddr,
}

impl Process {
    /// Starts `program` and waits until it prints its address.
    pub fn start<I, A>(program: &path::Path, args: I) -> io::Result<Self>
    where
        I: IntoIterator<Item = A>,
        A: AsRef<std::ffi::OsStr>,
    {
        let mut child = process::Command::new(program)
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut lines = io::BufReader::new(stdout).lines();
        let line = lines.next().unwrap_or_else(|| Ok(String::new()))?;
        let addr = line.strip_prefix("listening ").and_then(|a| a.parse().ok());
        // Drains standard output: the process would block on a full pipe.
        thread::spawn(move || lines.for_each(drop));
        match addr {
            Some(addr) => Ok(Self { child, addr }),
            None => {
                let _ = child.kill();
                let status = child.wait()?;
                let text = format!(
                    "{} ended before it printed its address: {status}",
                    program.display()
                );
                Err(io::Error::other(text))
            }
        }
    }

    /// The address on which the process listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// The process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status = process::Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!("kill -{name}: {status}")))
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits at most `limit` for the process to exit, then returns a timeout error.
    pub fn wait(&mut self, limit: time::Duration) -> io::Result<process::ExitStatus> {
        let deadline = time::Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if time::Instant::now() >= deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(time::Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes each team's settings to the store at `addr`, signed by the stand-in operator. Entry VMs
/// accept them if [`operator::root`] is among their root keys.
pub fn put_settings(addr: net::SocketAddr, settings: &settings::Settings) -> io::Result<()> {
    let store = store_http::Client::new(addr);
    for (name, team) in &settings.teams {
        operator::publish(&store, name.as_str(), &team.to_toml(), 0).map_err(io::Error::other)?;
    }
    Ok(())
}
