//! Cases of the third review: the project's gateways as processes, between stand-ins of the platform. One scenario a run; the exit
//! code is 1 if a rule was broken, 0 if it held, and 2 if the case could not run.

mod covered_calls;
mod gateways;
mod http;
mod jobs;
mod json;
mod scene;
mod servers;
mod small_owner;
mod store;
mod store_full;
mod unread_results;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, record] = arguments.as_slice() else {
        eprintln!("usage: harness-3 SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play: fn(&mut scene::Scene, bool) -> scene::Verdict = match scenario.as_str() {
        "store_full" => store_full::play,
        "covered_calls" => covered_calls::play,
        "small_owner" => small_owner::play,
        "unread_results" => unread_results::play,
        _ => {
            eprintln!("unknown scenario {scenario}");
            return ExitCode::from(2);
        }
    };
    scene::run(scenario, record, has_trouble, play)
}
