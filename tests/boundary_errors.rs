//! Errors at the edges of the program: each names what failed and on what, and keeps its cause.

use pointhook::settings::{InvalidSetting, OperatorSettings, PlatformSettings, SettingsError};
use pointhook::transport::http::{listen, Client};
use pointhook::transport::TransportError;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

const PLATFORM: &str = include_str!("../examples/local_cluster.toml");

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// The fault that the platform's file has after a replacement, and the line that an operator sees.
fn platform_fault(name: &str, from: &str, to: &str) -> (InvalidSetting, String) {
    assert!(PLATFORM.contains(from), "{from}");
    let path = file(name, &PLATFORM.replace(from, to));
    fault(PlatformSettings::load(&path).unwrap_err())
}

fn operator_fault(name: &str, text: &str) -> (InvalidSetting, String) {
    fault(OperatorSettings::load(&file(name, text)).unwrap_err())
}

fn fault(error: SettingsError) -> (InvalidSetting, String) {
    let line = error.to_string();
    let SettingsError::Value { path, source } = error else {
        panic!("another error: {line}");
    };
    assert!(line.starts_with(&path.display().to_string()), "{line}");
    (source, line)
}

#[test]
fn a_time_of_workers_that_is_not_positive_is_refused_by_its_name() {
    let field = "settings.workers.lease_s";
    for value in ["0.0", "-1.0", "nan", "inf"] {
        let (found, line) = platform_fault(
            "lease.toml",
            "lease_s = 10.0",
            &format!("lease_s = {value}"),
        );
        assert_eq!(found, InvalidSetting::NotPositive { field }, "{value}");
        assert!(line.ends_with("settings.workers.lease_s must be above 0"));
    }
}

#[test]
fn a_controller_of_a_zone_that_the_cluster_lacks_is_refused() {
    let (found, _) = platform_fault("zone.toml", "domain = \"north\"", "domain = \"east\"");
    assert_eq!(found, InvalidSetting::UnknownZone);
}

#[test]
fn values_of_operators_out_of_range_are_refused_by_name_and_range() {
    let (found, line) = operator_fault("shards.toml", "shards_per_zone = 65\n");
    let (field, min, max) = ("shards_per_zone", 1, 64);
    assert_eq!(found, InvalidSetting::OutOfRange { field, min, max });
    assert!(line.ends_with("shards_per_zone must be 1 to 64"), "{line}");
    let (found, _) = operator_fault("polls.toml", "polls = 65\n");
    let field = "polls";
    assert_eq!(found, InvalidSetting::TooLarge { field, max });
    let (found, _) = operator_fault("headroom.toml", "headroom_ordinary = -0.5\n");
    let field = "headroom_ordinary";
    assert_eq!(found, InvalidSetting::Negative { field });
}

#[test]
fn a_settings_file_that_is_no_toml_is_refused_by_line_with_the_parsers_error() {
    let path = file("syntax.toml", "polls = 3\nqueue_cap = x\n");
    let error = OperatorSettings::load(&path).unwrap_err();
    assert!(matches!(error, SettingsError::Syntax { line: 2, .. }));
    assert!(error.source().is_some());
    assert!(!error.to_string().contains('\n'), "{error}");
}

/// An address of this machine at which nothing listens.
fn closed_address() -> SocketAddr {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    listener.get_ref().local_addr().unwrap()
}

fn get(address: SocketAddr, timeout_ms: u64) -> TransportError {
    let client = Client::new(address);
    let call = client.call(http_types::Method::Get, "/", Vec::new(), timeout_ms);
    match async_io::block_on(call) {
        Ok(answer) => panic!("answered with {}", answer.status),
        Err(error) => error,
    }
}

#[test]
fn a_refused_connection_names_the_address_and_counts_as_not_sent() {
    let address = closed_address();
    let error = get(address, 5000);
    assert!(matches!(error, TransportError::Connect { .. }), "{error}");
    assert!(error.is_connection_refused(), "{error}");
    assert!(error.to_string().contains(&address.to_string()), "{error}");
    assert!(error.source().is_some());
}

#[test]
fn a_server_that_does_not_answer_is_a_deadline_with_address_and_time() {
    // The kernel accepts the connection; nobody reads the request.
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let error = get(address, 50);
    assert!(matches!(
        error,
        TransportError::Timeout { timeout_ms: 50, .. }
    ));
    assert!(!error.is_connection_refused());
    assert!(error.to_string().contains(&address.to_string()), "{error}");
}

#[test]
fn a_connection_that_ends_before_the_answer_is_broken_and_may_have_been_executed() {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let closing = std::thread::spawn(move || {
        drop(async_io::block_on(listener.accept()).unwrap());
    });
    let error = get(address, 5000);
    closing.join().unwrap();
    assert!(
        matches!(error, TransportError::ExchangeFailed { .. }),
        "{error}"
    );
    assert!(error.source().is_some());
}
