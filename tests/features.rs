//! Parsing and validation of the features file, and the error messages of invalid files.

use pointhook::features::{Features, StandbySettings};

const SHIPPED: &str = include_str!("../deploy/features.toml");

fn as_json(text: &str) -> serde_json::Value {
    let document: toml::Value = toml::from_str(text).expect("TOML");
    serde_json::to_value(document).expect("JSON")
}

/// Asserts that both the printed schema and the parser reject the text, and returns the parser's
/// one-line error message.
fn rejection_message(text: &str) -> String {
    let schema = jsonschema::validator_for(&Features::schema()).expect("a schema");
    assert!(!schema.is_valid(&as_json(text)), "the schema allows {text}");
    let message = Features::parse(text).expect_err(text).to_string();
    assert!(!message.contains('\n'), "{message}");
    message
}

#[test]
fn an_empty_file_enables_no_feature() {
    assert_eq!(Features::parse("").unwrap(), Features::default());
    assert!(Features::default().standby().is_none());
}

#[test]
fn a_table_can_disable_its_feature() {
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
    let message = rejection_message("[standby]\nenabeld = true\n");
    assert!(
        message.contains("standby") && message.contains("enabeld"),
        "{message}"
    );
    let message = rejection_message("[warm]\nenabled = true\n");
    assert!(message.contains("warm"), "{message}");
}

#[test]
fn wrong_types_name_the_key_and_what_is_allowed() {
    let message = rejection_message("[standby]\nenabled = 1\n");
    assert!(message.starts_with("standby.enabled: "), "{message}");
    assert!(message.ends_with("allowed: true or false"), "{message}");
    let message = rejection_message("[standby]\nsettle_ms = \"soon\"\n");
    assert!(message.starts_with("standby.settle_ms: "), "{message}");
    assert!(message.ends_with("allowed: 0 to 60000"), "{message}");
}

#[test]
fn values_out_of_range_name_the_key_and_the_range() {
    for value in ["60001", "-1"] {
        let message = rejection_message(&format!("[standby]\nsettle_ms = {value}\n"));
        assert!(message.starts_with("standby.settle_ms: "), "{message}");
        assert!(message.ends_with("allowed: 0 to 60000"), "{message}");
    }
    assert!(Features::parse("[standby]\nsettle_ms = 60000\n").is_ok());
}

#[test]
fn the_error_of_a_file_names_the_file() {
    let dir = std::env::temp_dir().join(format!("pointhook-features-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("features.toml");
    std::fs::write(&path, "[standby]\nsettle_ms = 70000\n").unwrap();
    let message = Features::load(&path).unwrap_err().to_string();
    assert!(
        message.starts_with(&path.display().to_string()),
        "{message}"
    );
    let missing = Features::load(&dir.join("none.toml")).unwrap_err();
    assert!(missing.to_string().contains("none.toml"));
}
