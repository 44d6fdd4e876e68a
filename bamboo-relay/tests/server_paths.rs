//! Ways to the backend servers, as connections succeed and fail.

use std::time::Duration;

use bamboo_relay::ConnectFailure;
use bamboo_relay::ReachedServers;
use bamboo_relay::ServerPath;
use bamboo_relay::ServerPaths;
use bamboo_types::HostId;

const TIMEOUT: Duration = Duration::from_millis(250);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn relays(names: &[&str]) -> Vec<HostId> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Ways that are tried for a server, in order.
fn paths_to(paths: &ServerPaths, server: &str, hosts: &[&str], now: Duration) -> Vec<ServerPath> {
    let steps = paths.steps(server, &relays(hosts), 0, TIMEOUT, now);
    steps.into_iter().map(|step| step.path).collect()
}

/// Guards against a host that waits for its own lost way with each request before it uses another host.
#[test]
fn a_host_that_is_cut_off_goes_through_others_first() {
    let mut paths = ServerPaths::default();
    assert_eq!(paths_to(&paths, "s1", &["h"], ms(0))[0], ServerPath::Direct);
    paths.record_relayed("s1", ms(1));
    assert_eq!(paths_to(&paths, "s2", &["h"], ms(2))[0], ServerPath::Direct);
    assert!(paths.record_relayed("s2", ms(3)));
    for server in ["s1", "s2", "s3"] {
        let expected = vec![ServerPath::Through("h".into()), ServerPath::Direct];
        assert_eq!(paths_to(&paths, server, &["h"], ms(4)), expected);
    }
}

/// Guards against a lost way to one server that is taken for a cut from all.
#[test]
fn a_host_that_reaches_other_servers_is_not_cut_off() {
    let mut paths = ServerPaths::default();
    for now in 0..20 {
        paths.record_relayed("lost1", ms(10 * now));
        paths.record_direct("sound", ms(10 * now + 1));
        paths.record_relayed("lost2", ms(10 * now + 2));
        paths.record_direct("sound", ms(10 * now + 3));
        assert!(!paths.is_cut_off());
    }
    assert!(paths.is_direct_up("sound"));
    assert!(!paths.is_direct_up("lost1"));
}

/// Guards against hosts that go through others for long after a cut has ended.
#[test]
fn a_probe_finds_the_end_of_a_cut() {
    let mut paths = ServerPaths::default();
    paths.record_relayed("s1", ms(0));
    paths.record_relayed("s2", ms(0));
    assert_eq!(paths.due_probe(ms(100)), None);
    let probed = paths.due_probe(ms(200)).expect("a probe is due");
    // One probe at a time shows whether the cut has ended.
    assert_eq!(paths.due_probe(ms(300)), None);
    assert!(paths.record_direct(&probed, ms(310)));
    assert!(
        ["s1", "s2", "s3"]
            .iter()
            .all(|server| paths.is_direct_up(server))
    );
}

/// Guards against a host that is asked again and again although it is cut off itself.
#[test]
fn a_relay_that_is_cut_off_is_left_out_for_a_while() {
    let mut paths = ServerPaths::default();
    paths.record_cut_off_relay(&"h1".into(), ms(0));
    let through = |host: &str| ServerPath::Through(host.into());
    let soon = paths_to(&paths, "s", &["h1", "h2"], ms(10));
    assert_eq!(soon, vec![ServerPath::Direct, through("h2")]);
    let later = paths_to(&paths, "s", &["h1", "h2"], ms(2000));
    assert!(later.contains(&through("h1")));
}

/// Guards against connections of a host that is cut off which all go through one host.
#[test]
fn connections_are_spread_over_several_hosts() {
    let paths = ServerPaths::default();
    let hosts = ["h1", "h2", "h3", "h4", "h5", "h6"];
    let mut first: Vec<ServerPath> = (0..8)
        .map(|spread| {
            let steps = paths.steps("s", &relays(&hosts), spread, TIMEOUT, ms(0));
            steps[1].path.clone()
        })
        .collect();
    first.sort_by_key(|path| format!("{path:?}"));
    first.dedup();
    assert_eq!(first.len(), 4);
}

/// A host's ways to all servers, lost for a while, and a server that may be down.
struct Cut {
    begins_at: u64,
    ends_at: u64,
    is_server_down: bool,
}

impl Cut {
    /// Whether a connection is established that begins at an instant.
    fn connects(&self, is_other: bool, at: u64) -> bool {
        let is_cut = (self.begins_at..self.ends_at).contains(&at);
        !is_cut && (is_other || !self.is_server_down)
    }

    /// What a host finds that connects to a server at an instant, and to others beside it for as long as it did before.
    fn failure(&self, attempt_at: u64, attempt_ms: u64) -> Option<ConnectFailure> {
        let mut paths = ServerPaths::default();
        for at in (attempt_at.saturating_sub(400)..=attempt_at).step_by(7) {
            if self.connects(true, at) {
                paths.record_direct("other", ms(at));
                paths.record_heard(ms(at));
            }
        }
        if self.connects(false, attempt_at) {
            return None;
        }
        let compared_at = attempt_at + attempt_ms;
        let (is_reached, is_other_reached) = (
            self.connects(false, compared_at),
            self.connects(true, compared_at),
        );
        let reached = ReachedServers::of(is_reached, is_other_reached);
        Some(paths.failure(true, reached))
    }
}

/// Guards against servers that are charged for the cut of a host, whenever it begins and ends, because the host connected to
/// others shortly before, and against dead servers that are not.
#[test]
fn a_server_is_down_only_for_a_host_that_reaches_others_at_that_moment() {
    for begins_at in (400..1200).step_by(3) {
        for cut_ms in [0, 1, 20, 100, 300, 2000] {
            for attempt_ms in [1, 60, 100, 250] {
                let ends_at = begins_at + cut_ms;
                let (sound, down) = (false, true);
                let cut = |is_server_down| Cut {
                    begins_at,
                    ends_at,
                    is_server_down,
                };
                let found = cut(sound).failure(800, attempt_ms);
                assert_ne!(
                    found,
                    Some(ConnectFailure::ServerDown),
                    "cut at {begins_at} for {cut_ms}"
                );
                let is_cut = (begins_at..ends_at).contains(&(800 + attempt_ms));
                let expected = match is_cut {
                    true => ConnectFailure::NoPath,
                    false => ConnectFailure::ServerDown,
                };
                assert_eq!(cut(down).failure(800, attempt_ms), Some(expected));
            }
        }
    }
}

/// Guards against a host without others that takes a dead server for a lost way, and against one that is cut off and judges.
#[test]
fn a_host_that_is_cut_off_does_not_judge_unless_it_is_alone() {
    let mut paths = ServerPaths::default();
    let none = paths.failure(false, ReachedServers::None);
    assert_eq!(none, ConnectFailure::ServerDown);
    // Open connections live on in some cuts.
    paths.record_heard(ms(50));
    let heard = paths.failure(true, ReachedServers::None);
    assert_eq!(heard, ConnectFailure::NoPath);
    paths.record_reached_none("s1", ms(60));
    let cut_off = paths.failure(true, ReachedServers::Others);
    assert_eq!(cut_off, ConnectFailure::NoPath);
}

/// Guards against hosts in a large fleet that ask one cut-off host after another with each connection.
#[test]
fn hosts_that_lead_to_servers_are_asked_first() {
    let mut paths = ServerPaths::default();
    paths.record_working_relay(&"h9".into(), ms(0));
    let hosts = ["h1", "h2", "h3", "h4", "h9"];
    for spread in 0..8 {
        let steps = paths.steps("s", &relays(&hosts), spread, TIMEOUT, ms(1));
        assert_eq!(steps[1].path, ServerPath::Through("h9".into()));
    }
    paths.record_cut_off_relay(&"h9".into(), ms(2));
    let later = paths_to(&paths, "s", &hosts, ms(3));
    assert!(!later.contains(&ServerPath::Through("h9".into())));
}
