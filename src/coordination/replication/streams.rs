//! The state of all streams from owners to standbys on one controller. This module does no I/O and
//! doesn't depend on the controller that holds the state.

use crate::coordination::scheduler::config::SchedulerConfig;
use crate::state::cluster_state::ClusterState;
use crate::state::names::ShardIndex;
use crate::state::units::MonotonicMillis;
use standby::follower::Follower;
use standby::ids::FencingToken;
use standby::permit::Permits;
use standby::publisher::{Publisher, StreamLimits};
use std::collections::BTreeMap;

/// The stream of an owned shard to its standby.
pub(super) struct OutgoingStream {
    pub(super) publisher: Publisher,
    /// Name of the standby.
    pub(super) standby: String,
    /// Whether a task is sending messages of the stream now.
    pub(super) sending: bool,
    /// Earliest time for the next message, set when the standby did not respond.
    pub(super) retry_at: MonotonicMillis,
}

/// The streams of a controller, by shard.
#[derive(Default)]
pub struct Replication {
    /// Streams that this controller sends as the owner of a shard.
    pub(super) outgoing: BTreeMap<ShardIndex, OutgoingStream>,
    /// Streams that this controller receives as the standby of a shard.
    pub(in crate::coordination) followers: BTreeMap<ShardIndex, Follower>,
    sent_since_log: Traffic,
}

/// Messages sent to standbys since the last log line on the traffic.
#[derive(Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

impl Replication {
    /// Ends the streams of shards for which this controller holds no permit under the stream's
    /// fencing token.
    pub(super) fn retain_permitted(
        &mut self,
        cluster: &ClusterState,
        config: &SchedulerConfig,
        permits: &Permits,
    ) {
        self.outgoing.retain(|shard, stream| {
            let permit = config.permit(cluster, permits, *shard);
            permit.is_some_and(|p| p.fencing_token() == stream.publisher.fencing_token())
        });
    }

    /// The stream of a shard to its standby, created if there is none. If the standby has changed,
    /// the stream starts over with a snapshot.
    pub(super) fn stream_to(
        &mut self,
        shard: ShardIndex,
        fencing_token: FencingToken,
        standby: &str,
    ) -> &mut OutgoingStream {
        let stream = self
            .outgoing
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

    /// Adds a message of `bytes` bytes to the counts of sent messages.
    pub(super) fn record_sent(&mut self, bytes: usize) {
        self.sent_since_log.messages += 1;
        self.sent_since_log.bytes += bytes as u64;
    }

    /// Fields of the log line on the traffic to all standbys. Resets the counts.
    pub(super) fn take_traffic(&mut self) -> String {
        let traffic = std::mem::take(&mut self.sent_since_log);
        let lags: Vec<String> = self
            .outgoing
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
