//! Stored records and their keys, compared byte by byte with golden files; see
//! `tests/support/golden.rs`.

use pointhook::coordination::kv;
use pointhook::coordination::membership::{begin_record_format_v2, move_transaction, ShardMove};
use pointhook::protocol::cloud;
use pointhook::protocol::kv as kv_protocol;
use pointhook::protocol::workers::FencingToken;
use pointhook::state::cluster_state::ClusterState;
use pointhook::state::job::JobRecord;
use pointhook::state::names::{ShardIndex, TeamIndex};
use pointhook::state::records::{
    ControllerRecord, OverflowRecord, ProvisioningRecord, ShardRecord, TeamRecord, Versioned,
    RECORD_FORMAT_V2, RECORD_FORMAT_V3, STANDBY_VERSION,
};
use pointhook::state::units::QuotaUsage;
use serde_json::{json, Value};
use support::golden::{hex, reserialized, to_message_pack, Group};
use support::golden_samples::{cluster, full_job_spec, machine_type_catalog, read, with};

mod support {
    pub mod golden;
    pub mod golden_samples;
}

#[test]
fn stored_records() {
    let mut group = Group::new("records.txt");
    let without_optional = with(
        full_job_spec(),
        json!({"rigs": null, "yard": null, "due_s": null, "awaits": null}),
    );
    let job = json!({
        "j": full_job_spec(), "s": "o", "t": 1_764_650_000_123_u64, "d": [[0, 2], [3, 4]],
        "p": [[2, 7, "n-000231", 1, 0], [4, 70_000, "n-000007", 3, 3]], "n": 70_001,
        "f": 1_764_650_090_456_u64,
    });
    group.all_keys::<JobRecord>("job", &job);
    for state in ["o", "d", "c"] {
        let required_only = json!({"s": state, "t": 1, "n": 1});
        group.message::<JobRecord>(&format!("job least {state}"), &required_only);
        let full = with(
            job.clone(),
            json!({"s": state, "f": null, "j": without_optional}),
        );
        group.message::<JobRecord>(&format!("job {state}"), &full);
    }
    let staged = with(
        job.clone(),
        json!({"g": [7, 3, 1_764_650_010_123_u64], "f": null, "j": without_optional}),
    );
    group.message::<JobRecord>("job staged", &staged);
    group.message_read_by(
        "job x",
        &with(job, json!({"s": "x"})),
        reserialized::<JobRecord>,
    );
    let overflow = json!({"p": [[40, 41, "n-000007", 3, 3], [41, 42, "n-000231", 1, 0]]});
    group.all_keys::<OverflowRecord>("more", &overflow);
    group.message::<OverflowRecord>("more none", &json!({"p": []}));
    group.all_keys::<ControllerRecord>("node", &json!({"i": u64::MAX, "v": 2, "w": 1}));
    group.message::<ControllerRecord>("node zeros", &json!({"i": 7, "v": 0, "w": 0}));
    group.all_keys::<ShardRecord>("shard", &json!({"o": "stoker-1", "i": 1_234_567, "t": 41}));
    group.all_keys::<TeamRecord>("team", &json!({"s": [[1, 8000, 2000], [3, -5, 0]]}));
    let provisioning = json!({"r": "g8", "z": "a", "s": true, "n": 12, "h": ["n-000231"]});
    group.all_keys::<ProvisioningRecord>("book", &provisioning);
    group.message::<cloud::MachineTypeCatalog>("flavors", &machine_type_catalog());
    group.message::<bool>("form", &json!(true));
    group.line("second form", &RECORD_FORMAT_V2.to_string());
    group.line("third form", &RECORD_FORMAT_V3.to_string());
    group.line("standby version", &STANDBY_VERSION.to_string());
    group.compare();
}

fn controller_record() -> ControllerRecord {
    read(json!({"i": 7, "v": 2}))
}

/// Adds a transaction for each kind of record that writes one record of this kind.
fn add_record_writes(group: &mut Group, cluster: &ClusterState) {
    let record = JobRecord::submitted(read(full_job_spec()), 1);
    let shard = ShardRecord {
        fencing_token: FencingToken(5),
        ..ShardRecord::default()
    };
    let controller = controller_record();
    let writes = [
        kv::set(ClusterState::job_key("job-000412"), &record, None),
        kv::set(
            ClusterState::overflow_key("job-000412", 12),
            &OverflowRecord::default(),
            None,
        ),
        kv::set(cluster.shard_key(ShardIndex(3)), &shard, None),
        kv::set(cluster.team_key(TeamIndex(0)), &TeamRecord::default(), None),
        kv::set("ph/node/stoker-1".into(), &controller, Some(99)),
    ];
    for write in writes.into_iter().flatten() {
        let transaction = kv_protocol::Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        let bytes = rmp_serde::to_vec_named(&transaction).expect("a transaction");
        let kv_protocol::Write::Set { set: key, .. } = &transaction.writes[0] else {
            panic!("the write sets no value");
        };
        group.line(key, &hex(&bytes));
    }
}

/// Checks that a record of each kind is recognized by its key and read.
fn check_records_are_read_from_their_keys(cluster: &mut ClusterState) {
    let mut put = |key: &str, value: Value| {
        let value = rmp_serde::from_slice(&to_message_pack(&value)).expect("a value");
        cluster.put(key, 9, &value);
    };
    put("ph/node/stoker-1", json!({"i": 7, "v": 2}));
    put("ph/shard/3", json!({"o": "stoker-1", "i": 7, "t": 41}));
    put("ph/team/vision", json!({"s": [[1, 8000, 2000]]}));
    put(
        "ph/book/b-1",
        json!({"r": "g8", "z": "a", "s": true, "n": 12}),
    );
    put("ph/flavors/all", machine_type_catalog());
    put("ph/job/job-1", json!({"s": "c", "t": 1, "n": 1}));
    assert_eq!(cluster.controllers["stoker-1"].version, 9);
    assert_eq!(
        (
            cluster.shards[3].version,
            cluster.shards[3].record.fencing_token
        ),
        (9, FencingToken(41))
    );
    assert_eq!(
        cluster.team_quotas[0].record.share(ShardIndex(1)),
        QuotaUsage {
            cpu_milli: 8000,
            gpu_milli: 2000
        }
    );
    assert_eq!(cluster.provisioning_requests["b-1"].record.count, 12);
    assert_eq!(cluster.machine_types_version, 9);
    assert!(cluster.job("job-1").is_some() && !cluster.record_format_v2);
}

fn membership_transactions(group: &mut Group, cluster: &mut ClusterState) {
    cluster.loaded = true;
    let transaction =
        begin_record_format_v2(cluster, &["stoker-1"]).expect("all controllers support it");
    let bytes = rmp_serde::to_vec_named(&transaction).expect("a transaction");
    group.line("second form begins", &hex(&bytes));
    cluster.put("ph/form/2", 10, &rmpv::Value::Boolean(true));
    assert!(cluster.record_format_v2);
    let target = Versioned {
        version: 3,
        record: controller_record(),
    };
    cluster.controllers.insert("stoker-2".into(), target);
    let shard_move = ShardMove {
        shard: ShardIndex(3),
        to: "stoker-2".into(),
    };
    let (transaction, _) = move_transaction(cluster, &shard_move).expect("a move");
    let bytes = rmp_serde::to_vec_named(&transaction).expect("a transaction");
    group.line("a shard moves", &hex(&bytes));
}

#[test]
fn keys_of_records_and_the_transactions_that_write_them() {
    let mut group = Group::new("keys.txt");
    let mut cluster = cluster();
    add_record_writes(&mut group, &cluster);
    check_records_are_read_from_their_keys(&mut cluster);
    membership_transactions(&mut group, &mut cluster);
    group.compare();
}
