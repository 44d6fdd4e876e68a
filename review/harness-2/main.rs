//! Runs a case of the review: `harness CASE RECORD`, or a stand-in server: `harness server ADDRESS ID KIND`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod base64;
mod deployment;
mod false_refusal;
mod http;
mod item_path;
mod json;
mod odd_key;
mod quota;
mod removed_route;
mod server;
mod store;
mod unframed;
mod unframed_item;

use std::process::ExitCode;
use std::time::Duration;

use deployment::Failure;
use deployment::Record;

/// Whether a rule held.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Time after which a case is given up.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn run_case(name: &str, record: &Record) -> Result<Verdict, Failure> {
    match name {
        "unframed" => unframed::run(record),
        "unframed-item" => unframed_item::run(record),
        "quota" => quota::run(record),
        "item-path" => item_path::run(record),
        "false-refusal" => false_refusal::run(record),
        "removed-route" => removed_route::run(record),
        "odd-key" => odd_key::run(record),
        other => Err(format!("there is no case {other}").into()),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().map(String::as_str) == Some("server") {
        return match server::run(&arguments[1..]) {
            Some(()) => ExitCode::SUCCESS,
            None => ExitCode::from(2),
        };
    }
    let [name, path] = &arguments[..] else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(path) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let (done, ended) = std::sync::mpsc::channel();
    let (case, log) = (name.clone(), record.clone());
    let player = std::thread::spawn(move || {
        let verdict = run_case(&case, &log);
        let code = match &verdict {
            Ok(Verdict::Held) => 0,
            Ok(Verdict::Broken) => 1,
            Err(error) => {
                log.write(&format!("the case could not run: {error}"));
                2
            }
        };
        let _ = done.send(code);
    });
    let code = ended.recv_timeout(CASE_TIMEOUT).unwrap_or_else(|_| {
        record.write("the case takes too long, or has failed");
        2
    });
    if code != 2 {
        // Its processes end with it.
        let _ = player.join();
    }
    record.write(&format!("exit {code}"));
    ExitCode::from(code)
}
