//! Which controller owns a shard, and which is its standby.
//!
//! The choice is a pure function of the membership, so that all controllers with the same view
//! agree without storing anything, and a role changes only when a controller comes or goes. Two
//! controllers whose views differ for a moment may both try to take a shard: the transaction that
//! raises the fencing token lets one of them win.

/// A controller that may own a shard or become its standby.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a str,
    /// Its zone, if that is one of the shard zones.
    pub zone: Option<u32>,
    /// It has been alive for long enough to be given a role.
    pub eligible: bool,
    /// Workers reach it.
    pub reachable_from_workers: bool,
}

/// How zones count in the choice of a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ZonePreference {
    /// Controllers of this zone first.
    Inside(u32),
    /// Controllers of other zones first.
    Outside(u32),
    /// Zones don't count.
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

/// Chooses one of the candidates; `spread` distributes shards over equally good ones.
///
/// Controllers that workers reach go before others, then eligible ones, then the preferred zones.
/// Candidates have to come in the same order on every controller.
pub fn choose<'a>(
    candidates: &[Candidate<'a>],
    preference: ZonePreference,
    spread: usize,
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
    best.get(spread % best.len())
        .map(|candidate| candidate.name)
}

/// The standby of a shard: any candidate but its owner.
pub fn standby_of<'a>(
    owner: &str,
    candidates: &[Candidate<'a>],
    preference: ZonePreference,
    spread: usize,
) -> Option<&'a str> {
    let others: Vec<Candidate> = candidates
        .iter()
        .copied()
        .filter(|candidate| candidate.name != owner)
        .collect();
    choose(&others, preference, spread)
}
