//! What operators type: commands, options and their help texts.

use std::net;
use std::path;
use std::time;

use crate::settings::keys;
use crate::{exit_codes, id};

/// Steers traffic by settings that stand in a directory under version control.
///
/// Each team owns the files under `teams/<team>` and signs them with its own key. `check` reads
/// the directory, `plan` shows what would change and how much traffic moves, `apply` writes it to
/// the platform's store, from where every entry VM takes it within seconds.
#[derive(Debug, clap::Parser)]
#[command(name = "bulrushwind", version, after_help = exit_codes::HELP, max_term_width = 100)]
pub struct Cli {
    /// Options of every command.
    #[command(flatten)]
    pub shared: Shared,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Sets the shared options apart from a command's own.
const OF_EVERY: &str = "Options of every command";

/// Where a deployment is.
#[derive(Clone, Debug, clap::Args)]
pub struct Place {
    /// Directory that holds `teams/` and, beside it, `deployment.toml`
    #[arg(
        long,
        short = 'C',
        global = true,
        help_heading = OF_EVERY,
        default_value = ".",
        env = "BULRUSHWIND_DIR",
        value_name = "DIR"
    )]
    pub dir: path::PathBuf,
    /// Address of the platform's store [default: `store` in deployment.toml]
    #[arg(long, global = true,
        help_heading = OF_EVERY, env = "BULRUSHWIND_STORE", value_name = "IP:PORT")]
    pub store: Option<net::SocketAddr>,
    /// Public root key that signs the teams' key rings [default: `root_keys` in deployment.toml]
    #[arg(
        long = "root-key",
        global = true,
        help_heading = OF_EVERY,
        env = "BULRUSHWIND_ROOT_KEYS",
        value_name = "HEX",
        value_delimiter = ','
    )]
    pub root_keys: Vec<keys::PublicKey>,
    /// Entry VMs' operators' addresses [default: `entries` in deployment.toml, else the
    /// platform's list of VMs with `operators_port`]
    #[arg(
        long = "entry",
        global = true,
        help_heading = OF_EVERY,
        env = "BULRUSHWIND_ENTRIES",
        value_name = "IP:PORT",
        value_delimiter = ','
    )]
    pub entries: Vec<net::SocketAddr>,
}

/// Options of every command.
#[derive(Clone, Debug, clap::Args)]
pub struct Shared {
    /// Where the deployment is.
    #[command(flatten)]
    pub place: Place,
    /// How to print results
    #[arg(
        long,
        global = true,
        help_heading = OF_EVERY,
        value_enum,
        default_value_t,
        value_name = "FORMAT"
    )]
    pub format: Format,
    /// When to use colours; NO_COLOR turns them off too
    #[arg(long, global = true,
        help_heading = OF_EVERY, value_enum, default_value_t, value_name = "WHEN")]
    pub color: Color,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// For people.
    #[default]
    Table,
    /// For programs: one JSON value.
    Json,
}

/// When colours are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Color {
    /// On a terminal.
    #[default]
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// What to do.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Read the directory and say whether its settings are sound
    ///
    /// Reads nothing but the directory, unless `--with-store` is given. Use that where the
    /// directory holds only some of the teams: the others' settings are then read from the store.
    Check(Check),
    /// Show what an apply would change, and how much traffic it moves
    ///
    /// Writes nothing. Refuses (exit code 4) what would exceed a service's shift cap or a
    /// region's limit, and says by how much. With `--out` the plan is kept, so that `apply
    /// --plan` writes exactly what was looked at.
    Plan(Plan),
    /// Write the directory's settings to the store
    ///
    /// Each team is written whole or not at all, and only if nobody changed it since the plan.
    /// A write whose reply was lost is looked up by its change id. Applying the same directory
    /// again changes nothing.
    Apply(Apply),
    /// Show what is in force in the store and on every entry VM
    Status(Status),
    /// Date a drain of a region, an availability zone or a VM
    ///
    /// Adds the drain to `teams/places/drains.toml` in the directory and shows how long it takes
    /// and what share of each service it moves, against the cap. The drain takes effect with the
    /// next apply, or at once with `--apply`. Commit the changed file.
    Drain(Drain),
    /// Take a drain back
    ///
    /// Takes the target's drains out of `teams/places/drains.toml`. Traffic returns in steps of
    /// the shift cap, from the next apply on.
    Undrain(Undrain),
    /// Ask which entry VMs a caller should use for a service
    Lookup(Lookup),
    /// Tell the story of one request from the logs of entry VMs
    ///
    /// Reads the logs as the gateway writes them, from files or from standard input, and prints in
    /// the order of time what the request's own lines say and what was believed then of the
    /// backend servers, the routes and the store.
    Explain(Explain),
    /// Make a signing key
    ///
    /// Writes the secret half to a file that only this user may read and prints the public half.
    /// Keep the file out of version control.
    Keygen(Keygen),
    /// Show or change who may sign a team's settings
    #[command(subcommand)]
    Keys(Keys),
    /// Print completions for a shell
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
    /// Logs of entry VMs [default: standard input]
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

/// What `plan` and `apply` have in common.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Planning {
    /// Only this team
    #[arg(long, value_name = "TEAM", value_parser = name::<id::TeamId>)]
    pub team: Option<id::TeamId>,
    /// Load of a service now, as a share of its slots, such as ledger=0.6 [default: as the entry
    /// VMs measure it, where they can be asked]
    #[arg(long = "load", value_name = "SERVICE=SHARE", value_parser = load)]
    pub loads: Vec<(id::ServiceId, f64)>,
}

/// Arguments of `plan`.
#[derive(Debug, clap::Args)]
pub struct Plan {
    /// What to plan.
    #[command(flatten)]
    pub planning: Planning,
    /// Keep the plan in this file
    #[arg(long, value_name = "FILE")]
    pub out: Option<path::PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, clap::Args)]
pub struct Apply {
    /// What to plan.
    #[command(flatten)]
    pub planning: Planning,
    /// Write this kept plan instead of planning anew
    #[arg(long, value_name = "FILE", conflicts_with_all = ["team", "loads"])]
    pub plan: Option<path::PathBuf>,
    /// How to sign and confirm.
    #[command(flatten)]
    pub signing: Signing,
}

/// How a change is signed and confirmed.
#[derive(Clone, Debug, clap::Args)]
pub struct Signing {
    /// File of the team's secret signing key
    #[arg(long, env = "BULRUSHWIND_KEY", value_name = "FILE")]
    pub key: Option<path::PathBuf>,
    /// Do not ask before writing
    #[arg(long, short = 'y')]
    pub yes: bool,
    /// Let services, regions and links go away that the directory no longer has
    #[arg(long)]
    pub remove: bool,
}

/// Arguments of `status`.
#[derive(Debug, clap::Args)]
pub struct Status {
    /// Wait until every entry VM that answers holds what the store holds, at most this long
    #[arg(long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub wait: Option<time::Duration>,
}

/// Arguments of `drain`.
#[derive(Debug, clap::Args)]
pub struct Drain {
    /// What to empty, as KIND/NAME
    #[arg(value_name = "region/NAME|az/NAME|vm/NAME")]
    pub target: String,
    /// When it begins: now, +30m, 2026-12-24T22:00:00Z or seconds since 1970
    #[arg(long, default_value = "now", value_name = "TIME")]
    pub start: String,
    /// How long the traffic takes to leave [default: as long as the shift caps need]
    #[arg(long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub ramp: Option<time::Duration>,
    /// How long the place stays empty, from the start on [default: until `undrain`]
    #[arg(long = "for", value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub lasts: Option<time::Duration>,
    /// Apply the change at once
    #[arg(long)]
    pub apply: bool,
    /// Load of a service now, as a share of its slots, such as ledger=0.6
    #[arg(long = "load", value_name = "SERVICE=SHARE", value_parser = load)]
    pub loads: Vec<(id::ServiceId, f64)>,
    /// How to sign and confirm.
    #[command(flatten)]
    pub signing: Signing,
}

/// Arguments of `undrain`.
#[derive(Debug, clap::Args)]
pub struct Undrain {
    /// What takes traffic again, as KIND/NAME
    #[arg(value_name = "region/NAME|az/NAME|vm/NAME")]
    pub target: String,
    /// Apply the change at once
    #[arg(long)]
    pub apply: bool,
    /// How to sign and confirm.
    #[command(flatten)]
    pub signing: Signing,
}

/// Arguments of `lookup`.
#[derive(Debug, clap::Args)]
pub struct Lookup {
    /// The service
    #[arg(value_parser = name::<id::ServiceId>)]
    pub service: id::ServiceId,
    /// Callers' address of the entry VM to ask [default: each on the platform's list, until one
    /// answers]
    #[arg(long, value_name = "IP:PORT")]
    pub at: Option<net::SocketAddr>,
}

/// Arguments of `keygen`.
#[derive(Debug, clap::Args)]
pub struct Keygen {
    /// File for the secret half; it must not exist yet
    #[arg(value_name = "FILE")]
    pub file: path::PathBuf,
}

/// What to do with a team's keys.
#[derive(Debug, clap::Subcommand)]
pub enum Keys {
    /// List the teams' keys
    List {
        /// Only this team
        #[arg(value_parser = name::<id::TeamId>)]
        team: Option<id::TeamId>,
    },
    /// Let a key sign a team's settings
    Add {
        /// The team
        #[arg(value_parser = name::<id::TeamId>)]
        team: id::TeamId,
        /// Who holds the secret half
        #[arg(long, value_name = "NAME")]
        holder: String,
        /// The public half, as `keygen` printed it
        #[arg(long, value_name = "HEX")]
        public: keys::PublicKey,
        /// File of the secret root key
        #[arg(long, env = "BULRUSHWIND_ROOT_SECRET", value_name = "FILE")]
        root_secret: path::PathBuf,
    },
    /// Take a key out of use
    ///
    /// What the key signed before stays good. With `--stolen` nothing that it signed counts any
    /// more: have another key's holder run `apply` first, so that the settings in force are
    /// signed anew.
    Retire {
        /// The team
        #[arg(value_parser = name::<id::TeamId>)]
        team: id::TeamId,
        /// The key's short name, as `keys list` shows it
        #[arg(value_parser = name::<keys::KeyId>)]
        key: keys::KeyId,
        /// Let nothing count that the key ever signed
        #[arg(long)]
        stolen: bool,
        /// File of the secret root key
        #[arg(long, env = "BULRUSHWIND_ROOT_SECRET", value_name = "FILE")]
        root_secret: path::PathBuf,
    },
}

fn name<N: for<'a> From<&'a str>>(text: &str) -> Result<N, String> {
    let sound = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if text.is_empty() || !text.chars().all(sound) {
        return Err("a name has letters, digits, - and _ only".to_owned());
    }
    Ok(text.into())
}

fn load(text: &str) -> Result<(id::ServiceId, f64), String> {
    let (service, share) = text
        .split_once('=')
        .ok_or("give it as SERVICE=SHARE, such as ledger=0.6")?;
    let share: f64 = share.parse().map_err(|_| "the share is not a number")?;
    if !(0.0..=10.0).contains(&share) {
        return Err("give a share of the slots from 0 to 10, such as 0.6".to_owned());
    }
    Ok((name(service)?, share))
}

#[cfg(test)]
mod tests {
    use clap::CommandFactory;

    use super::*;

    #[test]
    fn the_command_line_is_sound() {
        Cli::command().debug_assert();
    }
}
