//! The standby's side of replication: applies the messages of owners whose shards this controller
//! follows.

use crate::coordination::controller::Controller;
use crate::protocol::peers::PeerResponse;
use crate::state::names::{Index, ShardIndex};
use standby::message::{FollowerResponse, Message};

/// Handles a message of an owner whose shard this controller follows, and returns the response. The
/// response is empty if the message can't be decoded or its shard doesn't exist.
pub fn handle_message(controller: &Controller, sender: &str, message: &[u8]) -> PeerResponse {
    let response = Message::decode(message)
        .and_then(|message| receive(controller, &message))
        .and_then(|response| response.encode());
    if response.is_none() {
        controller.warn_rate_limited(&format!("unreadable replication message: peer={sender}"));
    }
    PeerResponse::ReplicationAnswer {
        answer: response.unwrap_or_default(),
    }
}

/// Applies a message and returns the response to it; `None` if its shard doesn't exist.
fn receive(controller: &Controller, message: &Message) -> Option<FollowerResponse> {
    let shard = ShardIndex::from(message.origin().shard);
    let recorded_token = {
        let cluster = controller.cluster.borrow();
        cluster.shards.get(shard.at())?.record.fencing_token
    };
    let mut replication = controller.replication.borrow_mut();
    let follower = replication.followers.entry(shard).or_default();
    let anomalies_before = follower.anomalies();
    let response = follower.receive(message, recorded_token);
    let anomalies = follower.anomalies();
    if anomalies != anomalies_before {
        log::debug!(
            "replication stream anomaly: shard={} duplicates={} gaps={} stale={}",
            shard.0,
            anomalies.duplicates,
            anomalies.gaps,
            anomalies.stale
        );
    }
    Some(response)
}
