//! Interrupts the owner of a busy shard and measures the time until another controller decides for
//! the shard.

use super::{poll_until, Interruption, MeasurementError, TIMEOUT_MS};
use crate::history::{Entry, Event};
use crate::network::LoopbackCluster;
use crate::process::ControllerProcess;
use pointhook::protocol::workers::FencingToken;
use pointhook::transport::sleep;

/// Age of the last recorded decision up to which a shard counts as busy.
const BUSY_WINDOW_MS: u64 = 1500;
/// Time for an interrupted controller to recover before the next interruption.
const RECOVERY_MS: u64 = 1500;
/// Upper bound of the random delay before each interruption.
const MAX_INITIAL_DELAY_MS: u64 = 1000;
/// Number of newest events that are searched for the first decision of a new owner.
const MAX_SEARCHED_EVENTS: usize = 4096;

/// Busy shard whose owner is interrupted.
struct Target {
    shard: u32,
    fencing_token: FencingToken,
    /// Index of the shard's owner among the controllers.
    owner: usize,
}

/// Interrupts the owner of a busy shard. Returns the milliseconds until the first decision of the
/// next owner, or `None` if the owner was paused and no other controller decided for the shard
/// during the pause.
pub(super) async fn interrupt(
    cluster: &LoopbackCluster,
    controllers: &mut [ControllerProcess],
    interruption: Interruption,
    rng: &mut fastrand::Rng,
) -> Result<Option<u64>, MeasurementError> {
    sleep(rng.u64(..MAX_INITIAL_DELAY_MS)).await;
    let busy = || choose_busy_shard(cluster, controllers, rng);
    let target = poll_until(cluster, TIMEOUT_MS, busy).await;
    let target = target.ok_or(MeasurementError::Timeout("a busy shard"))?;
    let owner = &mut controllers[target.owner];
    let failover_time = match interruption {
        Interruption::Kill => Some(kill_owner(cluster, owner, &target).await?),
        Interruption::QuickRestart { ms } => {
            owner.kill()?;
            sleep(ms).await;
            owner.restart()?;
            None
        }
        Interruption::Pause { ms } => pause_owner(cluster, owner, &target, ms).await?,
    };
    sleep(RECOVERY_MS).await;
    Ok(failover_time)
}

async fn kill_owner(
    cluster: &LoopbackCluster,
    owner: &mut ControllerProcess,
    target: &Target,
) -> Result<u64, MeasurementError> {
    let interrupted_at_ms = cluster.now_ms();
    owner.kill()?;
    let decided = || first_decision_of_next_owner(cluster, target);
    let decided_at_ms = poll_until(cluster, TIMEOUT_MS, decided).await;
    let decided_at_ms = decided_at_ms.ok_or(MeasurementError::Timeout("a failover"))?;
    owner.restart()?;
    Ok(decided_at_ms - interrupted_at_ms)
}

async fn pause_owner(
    cluster: &LoopbackCluster,
    owner: &mut ControllerProcess,
    target: &Target,
    pause_ms: u64,
) -> Result<Option<u64>, MeasurementError> {
    let interrupted_at_ms = cluster.now_ms();
    owner.pause()?;
    let decided = || first_decision_of_next_owner(cluster, target);
    let decided_at_ms = poll_until(cluster, pause_ms, decided).await;
    sleep(pause_ms.saturating_sub(cluster.now_ms() - interrupted_at_ms)).await;
    owner.resume()?;
    Ok(decided_at_ms.map(|at| at - interrupted_at_ms))
}

fn choose_busy_shard(
    cluster: &LoopbackCluster,
    controllers: &[ControllerProcess],
    rng: &mut fastrand::Rng,
) -> Option<Target> {
    let recorder = cluster.recorder.borrow();
    let since = cluster.now_ms().saturating_sub(BUSY_WINDOW_MS);
    let newest_first = recorder.entries().iter().rev();
    let recent = newest_first.take_while(|entry| entry.at_ms >= since);
    let mut busy: Vec<u32> = recent.filter_map(decided_shard).collect();
    busy.sort_unstable();
    busy.dedup();
    let shard = *busy.get(rng.usize(..busy.len().max(1)))?;
    let record = recorder.shard_record(shard)?;
    let owner = controllers.iter().position(|c| c.name() == record.owner)?;
    Some(Target {
        shard,
        fencing_token: record.fencing_token,
        owner,
    })
}

fn decided_shard(entry: &Entry) -> Option<u32> {
    match entry.event {
        Event::DecisionRecorded { shard, .. } => Some(shard),
        _ => None,
    }
}

/// Time of the first recorded decision for the shard under a higher fencing token.
fn first_decision_of_next_owner(cluster: &LoopbackCluster, target: &Target) -> Option<u64> {
    let recorder = cluster.recorder.borrow();
    let is_of_next_owner = |entry: &&Entry| match entry.event {
        Event::DecisionRecorded {
            shard,
            fencing_token,
        } => shard == target.shard && fencing_token > target.fencing_token,
        _ => false,
    };
    // The newest events are enough, as this function is polled every few milliseconds.
    let mut newest_first = recorder.entries().iter().rev().take(MAX_SEARCHED_EVENTS);
    let first = newest_first.rfind(is_of_next_owner)?;
    Some(first.at_ms)
}
