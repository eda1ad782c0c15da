//! Stored records and their keys to the letter, see `tests/support/golden.rs`.

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
    RECORD_FORMAT_V2, STANDBY_VERSION,
};
use pointhook::state::units::QuotaUsage;
use serde_json::{json, Value};
use support::golden::{hex, packed, rewritten, Group};
use support::golden_samples::{cluster, described, offered, read, with};

mod support {
    pub mod golden;
    pub mod golden_samples;
}

#[test]
fn stored_records() {
    let mut g = Group::new("records.txt");
    let small = with(
        described(),
        json!({"rigs": null, "yard": null, "due_s": null, "awaits": null}),
    );
    let job = json!({
        "j": described(), "s": "o", "t": 1_764_650_000_123_u64, "d": [[0, 2], [3, 4]],
        "p": [[2, 7, "n-000231", 1, 0], [4, 70_000, "n-000007", 3, 3]], "n": 70_001,
        "f": 1_764_650_090_456_u64,
    });
    g.all_keys::<JobRecord>("job", &job);
    for state in ["o", "d", "c"] {
        let least = json!({"s": state, "t": 1, "n": 1});
        g.form::<JobRecord>(&format!("job least {state}"), &least);
        let whole = with(job.clone(), json!({"s": state, "f": null, "j": small}));
        g.form::<JobRecord>(&format!("job {state}"), &whole);
    }
    g.read_by(
        "job x",
        &with(job, json!({"s": "x"})),
        rewritten::<JobRecord>,
    );
    let part = json!({"p": [[40, 41, "n-000007", 3, 3], [41, 42, "n-000231", 1, 0]]});
    g.all_keys::<OverflowRecord>("more", &part);
    g.form::<OverflowRecord>("more none", &json!({"p": []}));
    g.all_keys::<ControllerRecord>("node", &json!({"i": u64::MAX, "v": 2, "w": 1}));
    g.form::<ControllerRecord>("node zeros", &json!({"i": 7, "v": 0, "w": 0}));
    g.all_keys::<ShardRecord>("shard", &json!({"o": "stoker-1", "i": 1_234_567, "t": 41}));
    g.all_keys::<TeamRecord>("team", &json!({"s": [[1, 8000, 2000], [3, -5, 0]]}));
    let send_provisioning_request =
        json!({"r": "g8", "z": "a", "s": true, "n": 12, "h": ["n-000231"]});
    g.all_keys::<ProvisioningRecord>("book", &send_provisioning_request);
    g.form::<cloud::MachineTypeCatalog>("flavors", &offered());
    g.form::<bool>("form", &json!(true));
    g.line("second form", &RECORD_FORMAT_V2.to_string());
    g.line("standby version", &STANDBY_VERSION.to_string());
    g.compare();
}

fn node() -> ControllerRecord {
    read(json!({"i": 7, "v": 2}))
}

/// A transaction that writes a record, for each kind of record.
fn written_records(g: &mut Group, c: &ClusterState) {
    let record = JobRecord::submitted(read(described()), 1);
    let token = ShardRecord {
        fencing_token: FencingToken(5),
        ..ShardRecord::default()
    };
    let node = node();
    let writes = [
        kv::set(ClusterState::job_key("job-000412"), &record, None),
        kv::set(
            ClusterState::overflow_key("job-000412", 12),
            &OverflowRecord::default(),
            None,
        ),
        kv::set(c.shard_key(ShardIndex(3)), &token, None),
        kv::set(c.team_key(TeamIndex(0)), &TeamRecord::default(), None),
        kv::set("ph/node/stoker-1".into(), &node, Some(99)),
    ];
    for write in writes.into_iter().flatten() {
        let txn = kv_protocol::Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        let bytes = rmp_serde::to_vec_named(&txn).expect("a transaction");
        let kv_protocol::Write::Set { set: key, .. } = &txn.writes[0] else {
            panic!("not a put");
        };
        g.line(key, &hex(&bytes));
    }
}

/// Values of all kinds are found under their keys.
fn records_are_found_under_their_keys(c: &mut ClusterState) {
    let mut put = |key: &str, v: Value| {
        let v = rmp_serde::from_slice(&packed(&v)).expect("a value");
        c.put(key, 9, &v);
    };
    put("ph/node/stoker-1", json!({"i": 7, "v": 2}));
    put("ph/shard/3", json!({"o": "stoker-1", "i": 7, "t": 41}));
    put("ph/team/vision", json!({"s": [[1, 8000, 2000]]}));
    put(
        "ph/book/b-1",
        json!({"r": "g8", "z": "a", "s": true, "n": 12}),
    );
    put("ph/flavors/all", offered());
    put("ph/job/job-1", json!({"s": "c", "t": 1, "n": 1}));
    assert_eq!(c.controllers["stoker-1"].version, 9);
    assert_eq!(
        (c.shards[3].version, c.shards[3].record.fencing_token),
        (9, FencingToken(41))
    );
    assert_eq!(
        c.team_quotas[0].record.share(ShardIndex(1)),
        QuotaUsage {
            cpu_milli: 8000,
            gpu_milli: 2000
        }
    );
    assert_eq!(c.provisioning_requests["b-1"].record.count, 12);
    assert_eq!(c.machine_types_version, 9);
    assert!(c.job("job-1").is_some() && !c.record_format_v2);
}

fn transactions_of_membership(g: &mut Group, c: &mut ClusterState) {
    c.loaded = true;
    let begins = begin_record_format_v2(c, &["stoker-1"]).expect("all know it");
    let bytes = rmp_serde::to_vec_named(&begins).expect("a transaction");
    g.line("second form begins", &hex(&bytes));
    c.put("ph/form/2", 10, &rmpv::Value::Boolean(true));
    assert!(c.record_format_v2);
    let target = Versioned {
        version: 3,
        record: node(),
    };
    c.controllers.insert("stoker-2".into(), target);
    let moved = ShardMove {
        shard: ShardIndex(3),
        to: "stoker-2".into(),
    };
    let (txn, _) = move_transaction(c, &moved).expect("a move");
    let bytes = rmp_serde::to_vec_named(&txn).expect("a transaction");
    g.line("a shard moves", &hex(&bytes));
}

#[test]
fn keys_of_records_and_the_transactions_that_write_them() {
    let mut g = Group::new("keys.txt");
    let mut c = cluster();
    written_records(&mut g, &c);
    records_are_found_under_their_keys(&mut c);
    transactions_of_membership(&mut g, &mut c);
    g.compare();
}
