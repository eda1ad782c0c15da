//! Which controller is the standby of a shard.
//!
//! The choice is a pure function of the membership, so that all controllers with the same view
//! agree without storing anything, and a role changes only when a controller comes or goes. Two
//! controllers whose views differ for a moment may both try to take over: the transaction that
//! raises the token lets one of them win.

/// A controller that may become a standby.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a str,
    /// Its zone, if that is one of the shard zones.
    pub zone: Option<u32>,
    /// It has been alive for long enough to be given a role.
    pub settled: bool,
    /// Workers reach it.
    pub reaches_workers: bool,
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

/// Picks one of the candidates; `turn` spreads shards over equally good ones.
///
/// Settled controllers that workers reach go before others, then the preferred zones. Candidates
/// have to come in the same order on every controller.
pub fn pick<'a>(
    candidates: &[Candidate<'a>],
    preference: ZonePreference,
    turn: usize,
) -> Option<&'a str> {
    let quality = |c: &Candidate| (c.reaches_workers, c.settled, preference.prefers(c.zone));
    let best = candidates.iter().map(quality).max()?;
    let equals: Vec<&Candidate> = candidates.iter().filter(|c| quality(c) == best).collect();
    equals.get(turn % equals.len()).map(|c| c.name)
}

/// The standby of a shard: any candidate but its owner.
pub fn standby_of<'a>(
    owner: &str,
    candidates: &[Candidate<'a>],
    preference: ZonePreference,
    turn: usize,
) -> Option<&'a str> {
    let others: Vec<Candidate> = candidates
        .iter()
        .copied()
        .filter(|c| c.name != owner)
        .collect();
    pick(&others, preference, turn)
}
