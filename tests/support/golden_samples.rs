//! Sample messages for several golden tests, mostly as JSON with the field names of the protocol.
#![allow(dead_code)]

use super::golden::to_message_pack;
use pointhook::protocol::peers::ShardStatus;
use pointhook::settings::Team;
use pointhook::state::cluster_state::ClusterState;
use serde_json::{json, Value};

/// A job specification with every key present.
pub fn full_job_spec() -> Value {
    json!({
        "uid": "job-000412", "jobline": "train", "crew": "vision", "shape": "group",
        "rank": "urgent", "pieces": 4, "vcpus": 8.0, "gpus": 1.5, "mem_gb": 64.25,
        "kit": "img-07", "size_gb": 6.2, "rigs": ["g8", "g4"], "yard": "a", "same_place": true,
        "scatter": false, "loaners": true, "guess_s": 240.0, "snapshot_s": 30.0, "flush_s": 4.0,
        "due_s": 900.0, "awaits": ["job-000398", "job-000405"],
    })
}

/// Replaces or adds keys of a JSON object; a null in `changes` removes the key.
pub fn with(mut value: Value, changes: Value) -> Value {
    let map = value.as_object_mut().expect("a map");
    for (key, new) in changes.as_object().expect("a map") {
        match new {
            Value::Null => map.remove(key),
            new => map.insert(key.clone(), new.clone()),
        };
    }
    value
}

/// Deserializes a message from the MessagePack form of a JSON value.
pub fn read<T: serde::de::DeserializeOwned>(body: Value) -> T {
    rmp_serde::from_slice(&to_message_pack(&body)).expect("a body of the protocol")
}

/// A catalog of two machine types, the second without its optional keys.
pub fn machine_type_catalog() -> Value {
    json!({"rigs": [
        {"sku": "g8", "vcpus": 96.0, "gpus": 8.0, "mem_gb": 768.0, "local_gb": 400.5,
         "pull_gb_per_s": 0.5, "hourly": 21.5, "low_price": 7.25, "startup_s": 95.0,
         "yards": ["a", "b"]},
        {"sku": "c4", "vcpus": 4.0, "gpus": 0.0, "mem_gb": 16.0, "hourly": 0.2,
         "low_price": 0.05, "startup_s": 40.0, "yards": []},
    ]})
}

/// A cluster without records: two zones with two shards each, and one team.
pub fn cluster() -> ClusterState {
    let team = Team {
        name: "vision".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    ClusterState::new(&["a".to_string(), "b".to_string()], &[team], 2)
}

/// Statuses of two shards: the first names a standby and its replication lag, the second the token
/// of the owner whose state the reporting controller replicates.
pub fn shard_statuses() -> Vec<ShardStatus> {
    let standing = |shard, standby: Option<&str>, replication_lag, follows| ShardStatus {
        shard,
        owner: "stoker-north-1".into(),
        fencing_token: 41,
        state: "owner".into(),
        standby: standby.map(String::from),
        replication_lag,
        replica_of_token: follows,
    };
    vec![
        standing(0, Some("stoker-2"), Some(17), None),
        standing(1, None, None, Some(40)),
    ]
}
