//! Optional features, enabled by the features file.
//!
//! Each feature has a table in the file. Without its table a feature is off, and the program behaves
//! as it did before the feature existed. The types below are the only definition of the allowed keys,
//! types and ranges: parsing, validation and the printed JSON schema are derived from them.

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;

/// Error in the text of a features file; its message is one line that names the key and the allowed
/// values.
#[derive(Debug, thiserror::Error)]
pub enum FeaturesError {
    /// The text is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{}", describe(key, &source.message().replace('\n', " ")))]
    Syntax {
        /// Path of the key: the names of the enclosing tables and the key, separated by dots.
        key: String,
        /// Error of the parser.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// A value is outside its allowed range.
    #[error("{}", first_violation(source))]
    Value {
        /// All violations; the message shows the first one.
        #[source]
        source: garde::Report,
    },
}

/// All optional features.
#[derive(Deserialize, JsonSchema, Validate, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Features {
    /// Warm standby: a designated controller takes over the shards of one that failed.
    #[serde(default)]
    #[garde(dive)]
    pub standby: Option<StandbySettings>,
}

/// Settings of the warm standby.
#[derive(Deserialize, JsonSchema, Validate, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
#[schemars(inline)]
pub struct StandbySettings {
    /// Whether standbys are chosen and take over.
    #[garde(skip)]
    pub enabled: bool,
    /// Whether a standby in another zone than the owner's is preferred to one in the same zone.
    #[garde(skip)]
    pub prefer_other_zone: bool,
    /// Time for which a controller must have been seen alive before it is chosen as standby, ms.
    #[garde(range(min = 0, max = 60_000))]
    pub settle_ms: u64,
}

impl Default for StandbySettings {
    fn default() -> Self {
        StandbySettings {
            enabled: true,
            prefer_other_zone: false,
            settle_ms: 2500,
        }
    }
}

impl Features {
    /// Parses and validates the text of a features file.
    pub fn parse(text: &str) -> Result<Features, FeaturesError> {
        let document = toml::Deserializer::new(text);
        let features: Features =
            serde_path_to_error::deserialize(document).map_err(|error| FeaturesError::Syntax {
                key: error.path().to_string(),
                source: Box::new(error.into_inner()),
            })?;
        match features.validate() {
            Ok(()) => Ok(features),
            Err(source) => Err(FeaturesError::Value { source }),
        }
    }

    /// Settings of the warm standby; `None` if the feature is off.
    pub fn standby(&self) -> Option<&StandbySettings> {
        self.standby.as_ref().filter(|settings| settings.enabled)
    }

    /// The JSON schema of the features file.
    pub fn schema() -> Value {
        schemars::schema_for!(Features).to_value()
    }
}

fn first_violation(report: &garde::Report) -> String {
    match report.iter().next() {
        Some((path, error)) => describe(&path.to_string(), &error.to_string()),
        None => "invalid".to_string(),
    }
}

/// Error message for a key: the cause and, if the schema defines them, the allowed values.
fn describe(key: &str, cause: &str) -> String {
    match allowed_values(key) {
        Some(allowed) => format!("{key}: {cause}; allowed: {allowed}"),
        None => format!("{key}: {cause}"),
    }
}

/// Human-readable description of the values that the schema allows for a key; `None` if the schema
/// gives neither range nor type.
fn allowed_values(key: &str) -> Option<String> {
    let schema = Features::schema();
    let mut node = &schema;
    for name in key.split('.') {
        node = property(node, name)?;
    }
    let bound = |name: &str| node.get(name).and_then(Value::as_u64);
    if let (Some(min), Some(max)) = (bound("minimum"), bound("maximum")) {
        return Some(format!("{min} to {max}"));
    }
    match node.get("type").and_then(Value::as_str)? {
        "boolean" => Some("true or false".to_string()),
        kind => Some(kind.to_string()),
    }
}

/// Schema of a property. The schema of an optional table may be a choice (`anyOf`) between the table
/// and null; the property is then searched for in all choices.
fn property<'a>(schema: &'a Value, name: &str) -> Option<&'a Value> {
    let direct = schema.get("properties").and_then(|p| p.get(name));
    direct.or_else(|| {
        let choices = schema.get("anyOf")?.as_array()?;
        choices.iter().find_map(|choice| property(choice, name))
    })
}
