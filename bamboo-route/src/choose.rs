//! Load balancing policies. Selection is a pure function, so policies can be compared on the same load.

use bamboo_types::rendezvous_weight;

/// Servers that `LeastLoadedPacked` uses in addition to those that the pack share requires.
const SPARE_SERVERS: usize = 1;

/// A server that can take the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'server> {
    /// Server name.
    pub name: &'server str,
    /// Online requests in flight on the server, from all hosts as far as known.
    pub online_count: u32,
    /// Batch sequences running on the server, as far as known.
    pub batch_count: u32,
    /// Sequences that the server runs concurrently.
    pub capacity: u32,
}

impl Candidate<'_> {
    /// Online requests as a share of the capacity.
    ///
    /// ```
    /// let candidate = bamboo_route::Candidate { name: "s1", online_count: 4, batch_count: 0, capacity: 8 };
    /// assert_eq!(candidate.load(), 0.5);
    /// ```
    pub fn load(&self) -> f64 {
        f64::from(self.online_count) / f64::from(self.capacity.max(1))
    }
}

/// Load balancing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// A server selected uniformly at random.
    Random,
    /// The server with the lowest load; ties are broken at random.
    LeastInFlight,
    /// The server that ranks highest for the prompt's prefix in rendezvous hashing.
    PrefixHash,
    /// Rendezvous hashing with bounded loads: the highest-ranked server for the prefix whose load stays within
    /// the bound.
    BoundedPrefixHash,
    /// The first server, in the order that all hosts share, whose load is below the pack share, so that the other
    /// servers stay free of online requests.
    Packed,
    /// The least loaded server of a subset: the first servers, in the order that all hosts share, that fit all
    /// online requests at the pack share, and one spare server for bursts.
    LeastLoadedPacked,
}

/// Parameters of server selection.
#[derive(Debug, Clone)]
pub struct ChoiceOptions {
    /// Load balancing policy.
    pub policy: Policy,
    /// Upper bound on a server's load as a multiple of the average load, for `BoundedPrefixHash`.
    pub load_bound: f64,
    /// Load, as a share of the capacity, up to which a server is filled before the next one is used; for `Packed` and
    /// `LeastLoadedPacked`.
    pub pack_share: f64,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        ChoiceOptions {
            policy: Policy::LeastInFlight,
            load_bound: 1.25,
            pack_share: 0.25,
        }
    }
}

/// Returns the index of the selected candidate, or `None` if there are no candidates.
///
/// All hosts must pass the candidates in the same order. `scope` is the name of the model or service, `prefix` the
/// hash of the prompt's prefix, and `random` a random number that breaks ties.
///
/// ```
/// use bamboo_route::{Candidate, ChoiceOptions, Policy, choose};
/// let candidates = [
///     Candidate { name: "s1", online_count: 3, batch_count: 0, capacity: 8 },
///     Candidate { name: "s2", online_count: 1, batch_count: 0, capacity: 8 },
/// ];
/// let options = ChoiceOptions { policy: Policy::LeastInFlight, ..ChoiceOptions::default() };
/// assert_eq!(choose(&candidates, &options, "stress-llm", None, 0), Some(1));
/// ```
pub fn choose(
    candidates: &[Candidate<'_>],
    options: &ChoiceOptions,
    scope: &str,
    prefix: Option<u64>,
    random: u64,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    match options.policy {
        Policy::Random => Some((random % candidates.len() as u64) as usize),
        Policy::LeastInFlight => least_loaded(candidates, random),
        Policy::PrefixHash => prefix_order(candidates, scope, prefix, random)
            .first()
            .copied(),
        Policy::BoundedPrefixHash => {
            bounded_prefix_hash(candidates, options, scope, prefix, random)
        }
        Policy::Packed => packed(candidates, options, random),
        Policy::LeastLoadedPacked => least_loaded_packed(candidates, options, random),
    }
}

fn least_loaded(candidates: &[Candidate<'_>], random: u64) -> Option<usize> {
    let lowest = candidates
        .iter()
        .map(Candidate::load)
        .fold(f64::INFINITY, f64::min);
    let ties: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].load() <= lowest)
        .collect();
    ties.get((random % ties.len().max(1) as u64) as usize)
        .copied()
}

fn prefix_order(
    candidates: &[Candidate<'_>],
    scope: &str,
    prefix: Option<u64>,
    random: u64,
) -> Vec<usize> {
    let hash_key = format!("{scope}/{:x}", prefix.unwrap_or(random));
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| {
        std::cmp::Reverse(rendezvous_weight(candidates[*index].name, &hash_key))
    });
    order
}

fn bounded_prefix_hash(
    candidates: &[Candidate<'_>],
    options: &ChoiceOptions,
    scope: &str,
    prefix: Option<u64>,
    random: u64,
) -> Option<usize> {
    if prefix.is_none() {
        return least_loaded(candidates, random);
    }
    let total: u32 = candidates
        .iter()
        .map(|candidate| candidate.online_count + 1)
        .sum();
    let capacity: u32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let average = f64::from(total) / f64::from(capacity.max(1));
    let has_room = |index: &usize| {
        let candidate = &candidates[*index];
        let load_after =
            f64::from(candidate.online_count + 1) / f64::from(candidate.capacity.max(1));
        load_after <= options.load_bound * average
    };
    let order = prefix_order(candidates, scope, prefix, random);
    order
        .into_iter()
        .find(has_room)
        .or_else(|| least_loaded(candidates, random))
}

fn least_loaded_packed(
    candidates: &[Candidate<'_>],
    options: &ChoiceOptions,
    random: u64,
) -> Option<usize> {
    let online: u32 = candidates
        .iter()
        .map(|candidate| candidate.online_count)
        .sum();
    let mut packed_capacity = 0.0;
    let fits_all = |candidate: &Candidate<'_>| {
        packed_capacity += f64::from(candidate.capacity) * options.pack_share;
        packed_capacity > f64::from(online)
    };
    let servers_needed = candidates
        .iter()
        .position(fits_all)
        .map_or(candidates.len(), |index| index + 1);
    let pool_size = (servers_needed + SPARE_SERVERS).min(candidates.len());
    least_loaded(&candidates[..pool_size], random)
}

fn packed(candidates: &[Candidate<'_>], options: &ChoiceOptions, random: u64) -> Option<usize> {
    // All hosts order the servers alike, so they pack online requests onto the same servers.
    let first = candidates
        .iter()
        .position(|candidate| candidate.load() < options.pack_share);
    first.or_else(|| least_loaded(candidates, random))
}
