//! Which controller owns a shard, and which is its standby.
//!
//! The choice is a pure function of the membership: all controllers with the same view of it agree
//! without storing anything, and a role changes only when a controller joins or leaves. Two
//! controllers whose views differ for a moment may both try to take a shard; only one of them
//! succeeds with the transaction that raises the fencing token.

/// A controller that may own a shard or become its standby.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Candidate<'a> {
    /// Name of the controller.
    pub name: &'a str,
    /// Number of the controller's zone; `None` if that zone has no shards.
    pub zone: Option<u32>,
    /// Whether the controller has been alive for long enough to be given a role.
    pub eligible: bool,
    /// Whether workers reach the controller.
    pub reachable_from_workers: bool,
}

/// Which zones are preferred in the choice of a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ZonePreference {
    /// Controllers in this zone are preferred.
    Inside(u32),
    /// Controllers in any other zone than this one are preferred.
    Outside(u32),
    /// No zone is preferred.
    Any,
}

impl ZonePreference {
    fn prefers(self, zone: Option<u32>) -> bool {
        match self {
            ZonePreference::Inside(wanted) => zone == Some(wanted),
            ZonePreference::Outside(avoided) => zone != Some(avoided),
            ZonePreference::Any => true,
        }
    }
}

/// Chooses one of the candidates; `None` if there are none.
///
/// Candidates that workers reach rank first, then eligible ones, then those in a preferred zone.
/// `tie_breaker` selects one of the candidates of the highest rank, so that shards are distributed
/// over them. Every controller has to pass the candidates in the same order.
pub fn choose<'a>(
    candidates: &[Candidate<'a>],
    preference: ZonePreference,
    tie_breaker: usize,
) -> Option<&'a str> {
    let rank = |candidate: &Candidate| {
        (
            candidate.reachable_from_workers,
            candidate.eligible,
            preference.prefers(candidate.zone),
        )
    };
    let best_rank = candidates.iter().map(rank).max()?;
    let best: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| rank(candidate) == best_rank)
        .collect();
    best.get(tie_breaker % best.len())
        .map(|candidate| candidate.name)
}

/// Chooses the standby of a shard from the candidates other than the shard's owner, by the rules of
/// [`choose`]; `None` if there are no other candidates.
pub fn standby_of<'a>(
    owner: &str,
    candidates: &[Candidate<'a>],
    preference: ZonePreference,
    tie_breaker: usize,
) -> Option<&'a str> {
    let others: Vec<Candidate> = candidates
        .iter()
        .copied()
        .filter(|candidate| candidate.name != owner)
        .collect();
    choose(&others, preference, tie_breaker)
}
