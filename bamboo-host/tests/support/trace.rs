//! Traces of a failing seed: `HISTORY_TRACE=1 HISTORY_SEED=41 cargo test …`.

use bamboo_log::StreamId;

use super::world::Simulation;

/// Maximum number of characters printed of a record.
const RECORD_MAX_CHARS: usize = 120;

/// Whether tracing is enabled.
pub fn is_enabled() -> bool {
    std::env::var_os("HISTORY_TRACE").is_some()
}

/// Prints every entry of every stream.
pub fn print_log(sim: &Simulation) {
    for stream in sim.log.streams() {
        for (offset, entry) in sim.log.all(stream) {
            let short = |body| {
                format!("{body:?}")
                    .chars()
                    .take(RECORD_MAX_CHARS)
                    .collect::<String>()
            };
            let bodies: Vec<String> = entry.bodies.iter().map(short).collect();
            let writer = format!("{} run {}", entry.host, entry.incarnation);
            println!(
                "{stream} {offset} {writer} from {} at {}: {bodies:?}",
                entry.first_sequence, entry.at_ms
            );
        }
    }
    let kept = |stream| sim.log.read(stream, 0).oldest;
    println!(
        "now {:?}, shard 0 kept from {}",
        sim.now,
        kept(StreamId::Shard(0))
    );
}

/// Prints the state of every host.
pub fn print_hosts(sim: &Simulation) {
    for name in sim.host_names() {
        if let Some(core) = sim.core(&name) {
            println!("{:?} {:?}", sim.now, core.status(sim.now));
        }
    }
}
