//! The state of all streams to and from standbys. No I/O, and no knowledge of the controller that
//! holds it.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::names::ShardIndex;
use crate::state::units::MonotonicMillis;
use standby::follower::Follower;
use standby::ids::FencingToken;
use standby::permit::Permits;
use standby::publisher::{Publisher, StreamLimits};
use std::collections::BTreeMap;

/// The stream of an owned shard.
pub(super) struct OutgoingStream {
    pub(super) publisher: Publisher,
    /// The standby that it goes to.
    pub(super) standby: String,
    /// Messages are being sent right now.
    pub(super) sending: bool,
    /// Nothing is sent before this: the standby did not answer.
    pub(super) retry_at: MonotonicMillis,
}

/// Streams to and from standbys, by shard.
#[derive(Default)]
pub struct Replication {
    pub(super) published: BTreeMap<ShardIndex, OutgoingStream>,
    pub(in crate::coordination) followed: BTreeMap<ShardIndex, Follower>,
    sent_since_log: Traffic,
}

/// What was sent since the last line of the log about it.
#[derive(Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

impl Replication {
    /// Keeps the streams of the shards that this controller may decide for; others end.
    pub(super) fn retain_permitted(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        permits: &Permits,
    ) {
        self.published.retain(|shard, stream| {
            let permit = config.permit(cluster, permits, *shard);
            permit.is_some_and(|p| p.fencing_token() == stream.publisher.fencing_token())
        });
    }

    /// The stream of a shard to a standby; one that has changed begins with a snapshot.
    pub(super) fn stream_to(
        &mut self,
        shard: ShardIndex,
        fencing_token: FencingToken,
        standby: &str,
    ) -> &mut OutgoingStream {
        let stream = self
            .published
            .entry(shard)
            .or_insert_with(|| OutgoingStream {
                publisher: Publisher::new(shard.into(), fencing_token, StreamLimits::default()),
                standby: standby.to_string(),
                sending: false,
                retry_at: MonotonicMillis(0),
            });
        if stream.standby != standby {
            stream.standby = standby.to_string();
            stream.publisher.restart_with_snapshot();
            stream.retry_at = MonotonicMillis(0);
        }
        stream
    }

    /// Counts a message that is sent.
    pub(super) fn record_sent(&mut self, bytes: usize) {
        self.sent_since_log.messages += 1;
        self.sent_since_log.bytes += bytes as u64;
    }

    /// The fields of a line of the log on all streams to standbys; counting begins anew.
    pub(super) fn take_traffic(&mut self) -> String {
        let traffic = std::mem::take(&mut self.sent_since_log);
        let lags: Vec<String> = self
            .published
            .iter()
            .map(|(shard, stream)| describe_lag(*shard, stream))
            .collect();
        format!(
            "messages={} bytes={} streams=[{}]",
            traffic.messages,
            traffic.bytes,
            lags.join(", ")
        )
    }
}

fn describe_lag(shard: ShardIndex, stream: &OutgoingStream) -> String {
    let lag = stream.publisher.lag();
    let lag = lag.map_or("no_snapshot".to_string(), |lag| lag.to_string());
    format!("shard={} standby={} lag={lag}", shard.0, stream.standby)
}
