//! Plays one case of the review: starts gateways between stand-ins of the platform, and judges what its callers and servers
//! see. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod gateway;
mod http;
mod json;
mod scene;
mod server;
mod store;

use std::process::ExitCode;
use std::time::Duration;

use cases::Verdict;

/// Time after which a case that has not ended counts as one that could not run. The gateways end with this process.
const TIME_MAX: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_MAX);
        eprintln!("the case has not ended in time");
        std::process::exit(2);
    });
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(case, record.as_ref(), has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotPlayed) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
