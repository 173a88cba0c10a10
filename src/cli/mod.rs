//! The operators' command line: dispatches commands and implements `check`, `plan` and `apply`.

pub mod apply;
pub mod args;
pub mod difference;
pub mod directory;
pub mod drain;
pub mod entries;
pub mod explain;
pub mod keys;
pub mod lookup;
pub mod output;
pub mod plan;
pub mod remote;
pub mod shift;
pub mod status;

use std::fs;
use std::path;
use std::time;

use clap::CommandFactory;

use crate::coordination::store_http;
use crate::settings::keys as signing;
use crate::{error, exit_codes, settings};

/// Context shared by all commands.
#[derive(Debug)]
pub struct Context {
    /// Location from the command line.
    pub place: args::Place,
    /// Location of the deployment, from `deployment.toml` and the command line.
    pub deployment: directory::Deployment,
    /// Output for results.
    pub out: output::Output,
}

impl Context {
    /// Reads the directory's `deployment.toml`; command-line options override it.
    pub fn new(place: &args::Place, out: output::Output) -> Result<Self, error::Error> {
        let mut deployment = directory::Deployment::read(&place.dir)?;
        deployment.store = place.store.or(deployment.store);
        if !place.root_keys.is_empty() {
            deployment.root_keys.clone_from(&place.root_keys);
        }
        if !place.entries.is_empty() {
            deployment.entries.clone_from(&place.entries);
        }
        Ok(Self {
            place: place.clone(),
            deployment,
            out,
        })
    }

    /// Creates a store client. Fails if no address is configured.
    pub fn store(&self) -> Result<store_http::Client, error::Error> {
        let addr = self.deployment.store.ok_or_else(|| {
            error::Error::Config(
                "no store is given; set `store` in deployment.toml, BULRUSHWIND_STORE or --store"
                    .to_owned(),
            )
        })?;
        Ok(store_http::Client::new(addr))
    }

    /// The public root keys. Fails if none is configured.
    pub fn roots(&self) -> Result<&[signing::PublicKey], error::Error> {
        if self.deployment.root_keys.is_empty() {
            return Err(error::Error::Config(
                "no root key is given; set `root_keys` in deployment.toml, BULRUSHWIND_ROOT_KEYS or --root-key"
                    .to_owned(),
            ));
        }
        Ok(&self.deployment.root_keys)
    }

    /// Reads settings and key rings from the store.
    pub fn remote(&self) -> Result<remote::Remote, error::Error> {
        remote::Remote::read(&self.store()?, self.roots()?)
    }

    fn plan(
        &self,
        planning: &args::Planning,
    ) -> Result<(plan::Plan, remote::Remote), error::Error> {
        let dir = directory::Directory::read(&self.place.dir)?;
        let remote = self.remote()?;
        let plan = plan::Plan::build(&dir, &remote, &self.planning(planning))?;
        Ok((plan, remote))
    }

    /// Options of a plan. Loads that are not given are queried from the entry VMs. Unreachable VMs
    /// are ignored, since a plan does not require loads.
    fn planning(&self, planning: &args::Planning) -> plan::Options {
        let addrs = entries::addresses(self).unwrap_or_default();
        let answers = entries::statuses(&addrs).into_iter();
        let statuses: Vec<_> = answers.filter_map(|answer| answer.result.ok()).collect();
        let mut loads = status::loads(&statuses);
        loads.extend(planning.loads.iter().cloned());
        plan::Options {
            team: planning.team.clone(),
            now_s: now().as_secs(),
            loads,
        }
    }
}

/// Runs a command and returns the exit code.
pub fn run(cli: &args::Cli) -> exit_codes::ExitCode {
    match dispatch(cli) {
        Ok(code) => code,
        Err(err) => output::error(&err),
    }
}

fn dispatch(cli: &args::Cli) -> Result<exit_codes::ExitCode, error::Error> {
    let out = output::Output::new(cli.shared.format, cli.shared.color);
    let cx = Context::new(&cli.shared.place, out)?;
    match &cli.command {
        args::Command::Check(args) => check(&cx, args),
        args::Command::Plan(args) => plan(&cx, args),
        args::Command::Apply(args) => apply(&cx, args),
        args::Command::Keygen(args) => keys::generate(&cx, args),
        args::Command::Keys(args) => keys::run(&cx, args),
        args::Command::Completions { shell } => {
            let mut command = args::Cli::command();
            let name = command.get_name().to_owned();
            clap_complete::generate(*shell, &mut command, name, &mut std::io::stdout());
            Ok(exit_codes::ExitCode::Success)
        }
        args::Command::Status(args) => status::run(&cx, args),
        args::Command::Drain(args) => drain::drain(&cx, args),
        args::Command::Undrain(args) => drain::undrain(&cx, args),
        args::Command::Lookup(args) => lookup::run(&cx, args),
        args::Command::Explain(args) => explain::run(&cx, args),
    }
}

fn check(cx: &Context, args: &args::Check) -> Result<exit_codes::ExitCode, error::Error> {
    let dir = directory::Directory::read(&cx.place.dir)?;
    let mut all = settings::Settings::default();
    if args.with_store {
        all = cx.remote()?.settings();
    }
    all.teams.extend(dir.teams.clone());
    dir.check(&all)?;
    cx.out.json(&all);
    cx.out.line(&format!(
        "{} teams, {} regions, {} services, {} drains: sound",
        all.teams.len(),
        all.regions().count(),
        all.services().count(),
        all.drains().count()
    ));
    Ok(exit_codes::ExitCode::Success)
}

fn plan(cx: &Context, args: &args::Plan) -> Result<exit_codes::ExitCode, error::Error> {
    let (plan, _) = cx.plan(&args.planning)?;
    cx.out.plan(&plan);
    if let Some(path) = &args.out {
        let text =
            serde_json::to_vec_pretty(&plan).expect("a plan has only values that JSON can hold");
        fs::write(path, text).map_err(|source| error::Error::Write {
            path: path.display().to_string(),
            source,
        })?;
        cx.out.line(&format!(
            "Saved to {}; run `bulrushwind apply --plan {0}` to write it.",
            path.display()
        ));
    }
    if plan.excesses.is_empty() {
        return Ok(exit_codes::ExitCode::Success);
    }
    Err(refusal_error("an apply would be refused", &plan.excesses))
}

fn apply(cx: &Context, args: &args::Apply) -> Result<exit_codes::ExitCode, error::Error> {
    let (plan, remote) = match &args.plan {
        Some(path) => (read_plan(path)?, cx.remote()?),
        None => cx.plan(&args.planning)?,
    };
    confirm_and_write(cx, &plan, &remote, &args.signing)
}

/// Largest saved plan to read, in bytes: enough for several teams of the largest size.
const MAX_PLAN_BYTES: u64 = 64 << 20;

fn read_plan(path: &path::Path) -> Result<plan::Plan, error::Error> {
    let read = |source| error::Error::Read {
        path: path.to_owned(),
        source,
    };
    if fs::metadata(path).map_err(read)?.len() > MAX_PLAN_BYTES {
        return Err(error::Error::Config(format!(
            "{}: over {MAX_PLAN_BYTES} bytes; this is not a plan saved by `bulrushwind plan --out`",
            path.display()
        )));
    }
    let text = fs::read(path).map_err(read)?;
    serde_json::from_slice(&text).map_err(|err| {
        error::Error::Config(format!(
            "{}: {err}; make the plan again with `bulrushwind plan --out`",
            path.display()
        ))
    })
}

/// Shows a plan, asks for confirmation and writes it.
fn confirm_and_write(
    cx: &Context,
    plan: &plan::Plan,
    remote: &remote::Remote,
    signing: &args::Signing,
) -> Result<exit_codes::ExitCode, error::Error> {
    if !cx.out.is_json() {
        cx.out.plan(plan);
    }
    if plan.changes.is_empty() {
        cx.out.applied(&apply::Outcome::default());
        return Ok(exit_codes::ExitCode::Success);
    }
    check_allowed(plan, signing)?;
    let key = signing_key(signing)?;
    if !signing.yes && !output::confirm("Write this to the store?")? {
        cx.out.line("Nothing was written.");
        return Ok(exit_codes::ExitCode::Refused);
    }
    let signer = apply::Signer {
        key,
        now_ms: u64::try_from(now().as_millis()).unwrap_or(u64::MAX),
    };
    let outcome = apply::write_all(&cx.store()?, plan, remote, cx.roots()?, &signer);
    cx.out.applied(&outcome);
    match outcome.error {
        Some(error) => Err(error),
        None => Ok(exit_codes::ExitCode::Success),
    }
}

fn check_allowed(plan: &plan::Plan, signing: &args::Signing) -> Result<(), error::Error> {
    if !plan.excesses.is_empty() {
        return Err(refusal_error("nothing was written", &plan.excesses));
    }
    if plan.removals.is_empty() || signing.remove {
        return Ok(());
    }
    Err(error::Error::Refused(format!(
        "nothing was written: the directory no longer has {}; complete the checkout, or give --remove to remove them",
        plan.removals.join(", ")
    )))
}

/// Combines all excesses of a change into one error.
fn refusal_error(outcome: &str, excesses: &[shift::Excess]) -> error::Error {
    let lines = excesses
        .iter()
        .map(|excess| format!("\n  service {}: {}", excess.service, excess.what));
    error::Error::Refused(format!("{outcome}:{}", lines.collect::<String>()))
}

fn signing_key(signing: &args::Signing) -> Result<signing::SecretKey, error::Error> {
    let path = signing.key.as_ref().ok_or_else(|| {
        error::Error::Config(
            "no signing key is given; set BULRUSHWIND_KEY or --key to the file that `bulrushwind keygen` wrote"
                .to_owned(),
        )
    })?;
    keys::read_secret(path)
}

/// Current time since the Unix epoch.
pub fn now() -> time::Duration {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default()
}
