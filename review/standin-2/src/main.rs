//! Stand-ins and checks of the second review's scripts: `standin-2 CASE DIR`. `TROUBLE=0` plays the same
//! without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod behind;
mod gateways;
mod http;
mod json;
mod reading;
mod server;
mod store;
mod uploads;

use std::path::PathBuf;
use std::process;
use std::thread;
use std::time::Duration;

fn main() {
    // No case takes so long. The processes that a case started are ended by run.sh.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(105));
        eprintln!("the case took too long");
        process::exit(2);
    });
    let mut args = std::env::args().skip(1);
    let (case, dir) = (
        args.next().unwrap_or_default(),
        PathBuf::from(args.next().unwrap_or_default()),
    );
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = thread::spawn(move || match case.as_str() {
        "behind" => behind::play(&dir, trouble),
        "reading" => reading::play(&dir, trouble),
        "uploads" => uploads::play(&dir, trouble),
        _ => 2,
    });
    process::exit(played.join().unwrap_or(2));
}
