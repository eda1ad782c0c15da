//! Golden files: recorded output of the program, compared exactly with its present output.
//!
//! A line of a file is a name, a tab and a value. Values are serialized bytes in hexadecimal, JSON
//! or exit codes, never names of the program's own types, so renaming types and fields changes no
//! line. A line that changes means that a format has changed, which other controllers, workers,
//! users or stored records would notice.
#![allow(dead_code)]

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::path::{Path, PathBuf};

/// Environment variable that, if set to 1, overwrites the golden files; the tests then fail.
const OVERWRITE: &str = "POINTHOOK_WRITE_GOLDEN";
/// Recorded value of an input that the program rejects.
const REFUSED: &str = "refused";

/// Bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The MessagePack form of a JSON value with named fields, as another program would write it.
pub fn to_message_pack(value: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("JSON has a MessagePack form")
}

/// Deserializes a value from MessagePack and serializes it again; `None` if it is rejected.
pub fn reserialized<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Option<Vec<u8>> {
    let read: T = rmp_serde::from_slice(bytes).ok()?;
    Some(rmp_serde::to_vec_named(&read).expect("what was read can be written"))
}

/// Lines that are compared with one golden file.
pub struct Group {
    file: &'static str,
    names: HashSet<String>,
    lines: Vec<String>,
}

impl Group {
    /// An empty group for the golden file of this name.
    pub fn new(file: &'static str) -> Group {
        Group {
            file,
            names: HashSet::new(),
            lines: Vec::new(),
        }
    }

    /// Adds a line. Names are unique within a file.
    pub fn line(&mut self, name: &str, value: &str) {
        assert!(!name.contains(['\t', '\n']) && !value.contains('\n'));
        assert!(self.names.insert(name.to_string()), "{name} comes twice");
        self.lines.push(format!("{name}\t{value}"));
    }

    /// Adds a line with a body as `read` serializes it again, or with the fact that `read` rejects
    /// it. Reading the serialized bytes again must give the same bytes.
    pub fn message_read_by(
        &mut self,
        name: &str,
        body: &Value,
        read: fn(&[u8]) -> Option<Vec<u8>>,
    ) {
        match read(&to_message_pack(body)) {
            None => self.line(name, REFUSED),
            Some(bytes) => {
                assert_eq!(read(&bytes).as_ref(), Some(&bytes), "{name} reads back");
                self.line(name, &hex(&bytes));
            }
        }
    }

    /// Adds a line with a body, which must be a valid value of the type.
    pub fn message<T: Serialize + DeserializeOwned>(&mut self, name: &str, body: &Value) {
        assert!(
            reserialized::<T>(&to_message_pack(body)).is_some(),
            "{name} is refused"
        );
        self.message_read_by(name, body, reserialized::<T>);
    }

    /// Adds lines with a valid body of the type and with its variations: without each key, with
    /// null for each key, and with an unknown key.
    pub fn all_keys<T: Serialize + DeserializeOwned>(&mut self, name: &str, body: &Value) {
        self.message::<T>(name, body);
        self.variations_read_by(name, body, reserialized::<T>);
    }

    /// Adds the lines for the variations of a body, as [`Group::all_keys`] does, with a given
    /// function that reads and serializes them.
    pub fn variations_read_by(
        &mut self,
        name: &str,
        body: &Value,
        read: fn(&[u8]) -> Option<Vec<u8>>,
    ) {
        let keys = body.as_object().expect("a map").keys();
        for key in keys {
            let mut without_key = body.clone();
            without_key.as_object_mut().expect("a map").remove(key);
            self.message_read_by(&format!("{name} without {key}"), &without_key, read);
            let mut with_null = body.clone();
            with_null[key] = Value::Null;
            self.message_read_by(&format!("{name} null {key}"), &with_null, read);
        }
        let mut with_unknown_key = body.clone();
        with_unknown_key["no_such_key"] = json!(1);
        self.message_read_by(&format!("{name} with another key"), &with_unknown_key, read);
    }

    /// Adds a line with the encoded form of a value. Decoding it must give the same value, and a
    /// form without its last byte must be rejected.
    pub fn archive<T>(
        &mut self,
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> Option<Vec<u8>>,
        decode: impl Fn(&[u8]) -> Option<T>,
    ) where
        T: PartialEq,
    {
        let bytes = encode(value).expect(name);
        let read = decode(&bytes).expect(name);
        assert!(&read == value, "{name} reads back as another value");
        assert_eq!(encode(&read).as_ref(), Some(&bytes), "{name}");
        assert!(decode(&bytes[..bytes.len() - 1]).is_none(), "{name} cut");
        self.line(name, &hex(&bytes));
    }

    /// Compares the lines with the golden file, and panics if they differ. Also panics after
    /// overwriting the file, if that was asked for.
    pub fn compare(self) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/data/golden")
            .join(self.file);
        let actual = self.lines.join("\n") + "\n";
        if std::env::var(OVERWRITE).is_ok_and(|v| v == "1") {
            std::fs::write(&path, actual).expect("the golden file can be written");
            panic!("{} was overwritten; run without {OVERWRITE}", self.file);
        }
        let recorded = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path:?}: {e}"));
        let recorded_lines: Vec<&str> = recorded.lines().collect();
        let actual_lines: Vec<&str> = actual.lines().collect();
        for (recorded_line, actual_line) in recorded_lines.iter().zip(&actual_lines) {
            assert_eq!(recorded_line, actual_line, "{}", self.file);
        }
        assert_eq!(
            recorded_lines.len(),
            actual_lines.len(),
            "lines of {}",
            self.file
        );
        assert!(recorded == actual, "{} differs in its line ends", self.file);
    }
}

/// Writes a text to a file in a temporary directory of the golden tests; returns its path.
pub fn file(name: &str, text: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden");
    std::fs::create_dir_all(&dir).expect("a directory");
    let path = dir.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// Path of a table in a TOML document: names of tables and positions in lists.
type TablePath = Vec<String>;

/// Collects all tables of a document with their paths and the names of their keys.
fn tables(value: &toml::Value, path: &TablePath, out: &mut Vec<(TablePath, Vec<String>)>) {
    let below = |name: String| path.iter().cloned().chain([name]).collect::<TablePath>();
    match value {
        toml::Value::Table(table) => {
            out.push((path.clone(), table.keys().cloned().collect()));
            for (key, inner) in table {
                tables(inner, &below(key.clone()), out);
            }
        }
        toml::Value::Array(list) => {
            for (i, inner) in list.iter().enumerate() {
                tables(inner, &below(i.to_string()), out);
            }
        }
        _ => {}
    }
}

/// The table at a path.
fn table_at<'a>(mut value: &'a mut toml::Value, path: &TablePath) -> &'a mut toml::Table {
    for step in path {
        value = match value {
            toml::Value::Array(list) => &mut list[step.parse::<usize>().expect("a position")],
            other => other.get_mut(step).expect("a key"),
        };
    }
    value.as_table_mut().expect("a table")
}

/// Adds a line for each key of a settings file with the effect of misspelling it, and for each
/// table with the effect of an unknown key in it. The effect is `refused`, with an error that names
/// the key, `changed` or `ignored`.
pub fn settings_keys<T: std::fmt::Debug, E: std::fmt::Display>(
    group: &mut Group,
    name: &str,
    full: &str,
    load: fn(&Path) -> Result<T, E>,
) {
    let document: toml::Value = toml::from_str(full).expect("TOML");
    let read = |document: &toml::Value| {
        let text = toml::to_string(document).expect("TOML");
        load(&file(&format!("{name}.toml"), &text))
    };
    // Debug texts are only compared with each other within a run, so field names don't matter.
    let debug_text = |value: &T| format!("{value:?}");
    let unchanged = read(&document).map_err(|e| e.to_string()).expect("good");
    let mut all = Vec::new();
    tables(&document, &TablePath::new(), &mut all);
    for (path, keys) in all {
        let mut with_unknown_key = document.clone();
        table_at(&mut with_unknown_key, &path).insert("no_such_key".into(), 1.into());
        let effect = effect_of(
            read(&with_unknown_key),
            &unchanged,
            "no_such_key",
            &debug_text,
        );
        let prefix: String = path.iter().map(|step| format!("{step}.")).collect();
        group.line(&format!("{name} another key {prefix}"), effect);
        for key in keys {
            let mut misspelt = document.clone();
            let table = table_at(&mut misspelt, &path);
            let value = table.remove(&key).expect("the key");
            table.insert(format!("{key}x"), value);
            let effect = effect_of(read(&misspelt), &unchanged, &key, &debug_text);
            assert_ne!(effect, "ignored", "{prefix}{key} has no effect");
            group.line(&format!("{name} misspelt {prefix}{key}"), effect);
        }
    }
}

/// The effect of a change at a key: an error that names the key, a changed value or none.
fn effect_of<T, E: std::fmt::Display>(
    read: Result<T, E>,
    unchanged: &T,
    key: &str,
    debug_text: &dyn Fn(&T) -> String,
) -> &'static str {
    match read {
        Err(e) => {
            let line = e.to_string();
            // The error begins with the file's path, which may contain the key by chance.
            let (_, cause) = line.split_once(".toml: ").expect("the name of the file");
            assert!(cause.contains(key), "{line} names {key}");
            REFUSED
        }
        Ok(changed) if debug_text(&changed) == debug_text(unchanged) => "ignored",
        Ok(_) => "changed",
    }
}
