//! The features file: what is accepted, what is refused, and the line that says why.

use pointhook::features::{Features, StandbySettings};

const SHIPPED: &str = include_str!("../deploy/features.toml");

fn as_json(text: &str) -> serde_json::Value {
    let document: toml::Value = toml::from_str(text).expect("TOML");
    serde_json::to_value(document).expect("JSON")
}

/// Refused by the parser and by the printed schema; the parser's line.
fn refused(text: &str) -> String {
    let schema = jsonschema::validator_for(&Features::schema()).expect("a schema");
    assert!(!schema.is_valid(&as_json(text)), "the schema allows {text}");
    let line = Features::parse(text).expect_err(text).to_string();
    assert!(!line.contains('\n'), "{line}");
    line
}

#[test]
fn an_empty_file_switches_nothing_on() {
    assert_eq!(Features::parse("").unwrap(), Features::default());
    assert!(Features::default().standby().is_none());
}

#[test]
fn a_table_may_switch_its_feature_off() {
    let off = Features::parse("[standby]\nenabled = false\n").unwrap();
    assert!(off.standby().is_none());
    let on = Features::parse("[standby]\n").unwrap();
    assert_eq!(on.standby(), Some(&StandbySettings::default()));
}

#[test]
fn the_shipped_file_conforms_to_the_schema_and_loads() {
    let schema = jsonschema::validator_for(&Features::schema()).expect("a schema");
    let shipped = as_json(SHIPPED);
    assert!(schema.is_valid(&shipped), "{:?}", schema.validate(&shipped));
    assert!(Features::parse(SHIPPED).unwrap().standby().is_some());
}

#[test]
fn unknown_keys_are_refused_by_name() {
    let line = refused("[standby]\nenabeld = true\n");
    assert!(
        line.contains("standby") && line.contains("enabeld"),
        "{line}"
    );
    let line = refused("[warm]\nenabled = true\n");
    assert!(line.contains("warm"), "{line}");
}

#[test]
fn wrong_types_name_the_key_and_what_is_allowed() {
    let line = refused("[standby]\nenabled = 1\n");
    assert!(line.starts_with("standby.enabled: "), "{line}");
    assert!(line.ends_with("allowed: true or false"), "{line}");
    let line = refused("[standby]\nsettle_ms = \"soon\"\n");
    assert!(line.starts_with("standby.settle_ms: "), "{line}");
    assert!(line.ends_with("allowed: 0 to 60000"), "{line}");
}

#[test]
fn values_out_of_range_name_the_key_and_the_range() {
    for value in ["60001", "-1"] {
        let line = refused(&format!("[standby]\nsettle_ms = {value}\n"));
        assert!(line.starts_with("standby.settle_ms: "), "{line}");
        assert!(line.ends_with("allowed: 0 to 60000"), "{line}");
    }
    assert!(Features::parse("[standby]\nsettle_ms = 60000\n").is_ok());
}

#[test]
fn the_error_of_a_file_names_the_file() {
    let dir = std::env::temp_dir().join(format!("pointhook-features-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("features.toml");
    std::fs::write(&path, "[standby]\nsettle_ms = 70000\n").unwrap();
    let line = Features::load(&path).unwrap_err().to_string();
    assert!(line.starts_with(&path.display().to_string()), "{line}");
    let missing = Features::load(&dir.join("none.toml")).unwrap_err();
    assert!(missing.to_string().contains("none.toml"));
}
