//! Command-line arguments of `bulrushwind` and their help texts.

use std::net;
use std::path;
use std::time;

use crate::settings::keys;
use crate::{exit_codes, id};

/// Manages traffic steering from a directory of settings under version control.
///
/// Each team owns the files under `teams/<team>` and signs them with its own key. `check` validates
/// the directory, `plan` shows what would change and how much traffic moves, `apply` writes the
/// settings to the platform's store, from which every entry VM reads them within seconds.
#[derive(Debug, clap::Parser)]
#[command(name = "bulrushwind", version, after_help = exit_codes::HELP, max_term_width = 100)]
pub struct Cli {
    /// Options shared by all commands.
    #[command(flatten)]
    pub shared: Shared,
    /// The command.
    #[command(subcommand)]
    pub command: Command,
}

/// Help heading of the shared options.
const SHARED_OPTIONS_HEADING: &str = "Options of every command";

/// Location of a deployment.
#[derive(Clone, Debug, clap::Args)]
pub struct Place {
    /// Directory that contains `teams/` and `deployment.toml`
    #[arg(
        long,
        short = 'C',
        global = true,
        help_heading = SHARED_OPTIONS_HEADING,
        default_value = ".",
        env = "BULRUSHWIND_DIR",
        value_name = "DIR"
    )]
    pub dir: path::PathBuf,
    /// Address of the platform's store [default: `store` in deployment.toml]
    #[arg(long, global = true,
        help_heading = SHARED_OPTIONS_HEADING, env = "BULRUSHWIND_STORE", value_name = "IP:PORT")]
    pub store: Option<net::SocketAddr>,
    /// Public root key that signs the teams' key rings [default: `root_keys` in deployment.toml]
    #[arg(
        long = "root-key",
        global = true,
        help_heading = SHARED_OPTIONS_HEADING,
        env = "BULRUSHWIND_ROOT_KEYS",
        value_name = "HEX",
        value_delimiter = ','
    )]
    pub root_keys: Vec<keys::PublicKey>,
    /// Operator listener addresses of the entry VMs [default: `entries` in deployment.toml, else
    /// the platform's list of VMs with `operators_port`]
    #[arg(
        long = "entry",
        global = true,
        help_heading = SHARED_OPTIONS_HEADING,
        env = "BULRUSHWIND_ENTRIES",
        value_name = "IP:PORT",
        value_delimiter = ','
    )]
    pub entries: Vec<net::SocketAddr>,
}

/// Options shared by all commands.
#[derive(Clone, Debug, clap::Args)]
pub struct Shared {
    /// Location of the deployment.
    #[command(flatten)]
    pub place: Place,
    /// Output format
    #[arg(
        long,
        global = true,
        help_heading = SHARED_OPTIONS_HEADING,
        value_enum,
        default_value_t,
        value_name = "FORMAT"
    )]
    pub format: Format,
    /// When to use colours; NO_COLOR turns them off too
    #[arg(long, global = true,
        help_heading = SHARED_OPTIONS_HEADING, value_enum, default_value_t, value_name = "WHEN")]
    pub color: Color,
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Text and tables.
    #[default]
    Table,
    /// One JSON value.
    Json,
}

/// When colours are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Color {
    /// Only on a terminal.
    #[default]
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// The command.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Validate the settings in the directory
    ///
    /// Reads only the directory, unless `--with-store` is given. Use `--with-store` if the
    /// directory contains only some of the teams, to read the settings of the others from the
    /// store.
    Check(Check),
    /// Show what an apply would change, and how much traffic it moves
    ///
    /// Writes nothing to the store. Refuses (exit code 4) a change that would exceed a service's
    /// shift cap or a region's limit, and shows by how much. `--out` saves the plan, so that `apply
    /// --plan` writes exactly the plan that was reviewed.
    Plan(Plan),
    /// Write the directory's settings to the store
    ///
    /// Each team is written completely or not at all, and only if nobody changed it since the plan.
    /// If the reply to a write is lost, its change id shows whether it took effect. Applying the
    /// same directory again changes nothing.
    Apply(Apply),
    /// Show the settings in force in the store and on every entry VM
    Status(Status),
    /// Schedule a drain of a region, an availability zone or a VM
    ///
    /// Adds the drain to `teams/places/drains.toml` in the directory and shows how long it takes
    /// and what share of each service it moves, compared with the cap. The drain takes effect with
    /// the next apply, or at once with `--apply`. Commit the changed file.
    Drain(Drain),
    /// Cancel a drain
    ///
    /// Removes the target's drains from `teams/places/drains.toml`. After the next apply, traffic
    /// returns in steps within the shift cap.
    Undrain(Undrain),
    /// Show which entry VMs a caller should use for a service
    Lookup(Lookup),
    /// Explain one request from the logs of entry VMs
    ///
    /// Reads gateway logs from files or standard input and prints, in order of time, the log lines
    /// of the request and the last logged state of its backend servers, the routes and the store.
    Explain(Explain),
    /// Generate a signing key
    ///
    /// Writes the secret key to a file that only this user may read and prints the public key. Keep
    /// the file out of version control.
    Keygen(Keygen),
    /// Show or change the keys that may sign a team's settings
    #[command(subcommand)]
    Keys(Keys),
    /// Print shell completions
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// Arguments of `explain`.
#[derive(Debug, clap::Args)]
pub struct Explain {
    /// The request's id
    pub request: String,
    /// Log files of entry VMs [default: standard input]
    #[arg(value_name = "LOG")]
    pub logs: Vec<path::PathBuf>,
}

/// Arguments of `check`.
#[derive(Debug, clap::Args)]
pub struct Check {
    /// Read the other teams' settings from the store
    #[arg(long)]
    pub with_store: bool,
}

/// Arguments shared by `plan` and `apply`.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Planning {
    /// Limit to this team
    #[arg(long, value_name = "TEAM", value_parser = parse_name::<id::TeamId>)]
    pub team: Option<id::TeamId>,
    /// Current load of a service, as a share of its slots, such as ledger=0.6 [default: as measured
    /// by the entry VMs that can be reached]
    #[arg(long = "load", value_name = "SERVICE=SHARE", value_parser = parse_load)]
    pub loads: Vec<(id::ServiceId, f64)>,
}

/// Arguments of `plan`.
#[derive(Debug, clap::Args)]
pub struct Plan {
    /// Planning arguments.
    #[command(flatten)]
    pub planning: Planning,
    /// Save the plan to this file
    #[arg(long, value_name = "FILE")]
    pub out: Option<path::PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, clap::Args)]
pub struct Apply {
    /// Planning arguments.
    #[command(flatten)]
    pub planning: Planning,
    /// Write this saved plan instead of making a new one
    #[arg(long, value_name = "FILE", conflicts_with_all = ["team", "loads"])]
    pub plan: Option<path::PathBuf>,
    /// Signing and confirmation.
    #[command(flatten)]
    pub signing: Signing,
}

/// Signing and confirmation of a change.
#[derive(Clone, Debug, clap::Args)]
pub struct Signing {
    /// File with the team's secret signing key
    #[arg(long, env = "BULRUSHWIND_KEY", value_name = "FILE")]
    pub key: Option<path::PathBuf>,
    /// Write without asking for confirmation
    #[arg(long, short = 'y')]
    pub yes: bool,
    /// Allow removal of services, regions and links that the directory no longer declares
    #[arg(long)]
    pub remove: bool,
}

/// Arguments of `status`.
#[derive(Debug, clap::Args)]
pub struct Status {
    /// Wait up to this long for all entry VMs to answer with the settings in the store
    #[arg(long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub wait: Option<time::Duration>,
}

/// Arguments of `drain`.
#[derive(Debug, clap::Args)]
pub struct Drain {
    /// Target to drain, as KIND/NAME
    #[arg(value_name = "region/NAME|az/NAME|vm/NAME")]
    pub target: String,
    /// Start time: now, +30m, 2026-12-24T22:00:00Z or seconds since 1970
    #[arg(long, default_value = "now", value_name = "TIME")]
    pub start: String,
    /// Time over which traffic moves away [default: as long as the shift caps need]
    #[arg(long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub ramp: Option<time::Duration>,
    /// Duration of the drain, from its start [default: until `undrain`]
    #[arg(long = "for", value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub lasts: Option<time::Duration>,
    /// Apply the change immediately
    #[arg(long)]
    pub apply: bool,
    /// Current load of a service, as a share of its slots, such as ledger=0.6
    #[arg(long = "load", value_name = "SERVICE=SHARE", value_parser = parse_load)]
    pub loads: Vec<(id::ServiceId, f64)>,
    /// Signing and confirmation.
    #[command(flatten)]
    pub signing: Signing,
}

/// Arguments of `undrain`.
#[derive(Debug, clap::Args)]
pub struct Undrain {
    /// Target that receives traffic again, as KIND/NAME
    #[arg(value_name = "region/NAME|az/NAME|vm/NAME")]
    pub target: String,
    /// Apply the change immediately
    #[arg(long)]
    pub apply: bool,
    /// Signing and confirmation.
    #[command(flatten)]
    pub signing: Signing,
}

/// Arguments of `lookup`.
#[derive(Debug, clap::Args)]
pub struct Lookup {
    /// The service
    #[arg(value_parser = parse_name::<id::ServiceId>)]
    pub service: id::ServiceId,
    /// Caller listener address of the entry VM to query [default: the first on the platform's list
    /// that answers]
    #[arg(long, value_name = "IP:PORT")]
    pub at: Option<net::SocketAddr>,
}

/// Arguments of `keygen`.
#[derive(Debug, clap::Args)]
pub struct Keygen {
    /// File to create for the secret key; it must not exist yet
    #[arg(value_name = "FILE")]
    pub file: path::PathBuf,
}

/// Commands for a team's keys.
#[derive(Debug, clap::Subcommand)]
pub enum Keys {
    /// List keys by team
    List {
        /// Limit to this team
        #[arg(value_parser = parse_name::<id::TeamId>)]
        team: Option<id::TeamId>,
    },
    /// Allow a key to sign a team's settings
    Add {
        /// The team
        #[arg(value_parser = parse_name::<id::TeamId>)]
        team: id::TeamId,
        /// Name of the secret key's holder
        #[arg(long, value_name = "NAME")]
        holder: String,
        /// The public key, as printed by `keygen`
        #[arg(long, value_name = "HEX")]
        public: keys::PublicKey,
        /// File with the secret root key
        #[arg(long, env = "BULRUSHWIND_ROOT_SECRET", value_name = "FILE")]
        root_secret: path::PathBuf,
    },
    /// Retire a key
    ///
    /// Signatures made before remain valid. With `--stolen` all the key's signatures become
    /// invalid: first have the holder of another key run `apply`, so that the settings in force are
    /// signed again.
    Retire {
        /// The team
        #[arg(value_parser = parse_name::<id::TeamId>)]
        team: id::TeamId,
        /// The key's id, as shown by `keys list`
        #[arg(value_parser = parse_name::<keys::KeyId>)]
        key: keys::KeyId,
        /// Invalidate all signatures ever made with the key
        #[arg(long)]
        stolen: bool,
        /// File with the secret root key
        #[arg(long, env = "BULRUSHWIND_ROOT_SECRET", value_name = "FILE")]
        root_secret: path::PathBuf,
    },
}

fn parse_name<N: for<'a> From<&'a str>>(text: &str) -> Result<N, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if text.is_empty() || !text.chars().all(is_allowed) {
        return Err("use only letters, digits, - and _".to_owned());
    }
    Ok(text.into())
}

fn parse_load(text: &str) -> Result<(id::ServiceId, f64), String> {
    let (service, share) = text
        .split_once('=')
        .ok_or("give it as SERVICE=SHARE, such as ledger=0.6")?;
    let share: f64 = share.parse().map_err(|_| "the share is not a number")?;
    if !(0.0..=10.0).contains(&share) {
        return Err("give a share of the slots from 0 to 10, such as 0.6".to_owned());
    }
    Ok((parse_name(service)?, share))
}

#[cfg(test)]
mod tests {
    use clap::CommandFactory;

    use super::*;

    #[test]
    fn the_command_line_definition_is_valid() {
        Cli::command().debug_assert();
    }
}
