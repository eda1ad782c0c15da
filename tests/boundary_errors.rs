//! Errors of settings files and of requests to other processes: each names the file, field or
//! address concerned and keeps its cause.

use pointhook::settings::{InvalidSetting, OperatorSettings, PlatformSettings, SettingsError};
use pointhook::transport::http::{listen, Client};
use pointhook::transport::TransportError;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

const PLATFORM: &str = include_str!("../examples/local_cluster.toml");

/// Writes a temporary settings file and returns its path.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// The error of the platform settings file after replacing `from` by `to`, with its message.
fn platform_error(name: &str, from: &str, to: &str) -> (InvalidSetting, String) {
    assert!(PLATFORM.contains(from), "{from}");
    let path = settings_file(name, &PLATFORM.replace(from, to));
    invalid_setting(PlatformSettings::load(&path).unwrap_err())
}

/// The error of an operator settings file with this text, with its message.
fn operator_error(name: &str, text: &str) -> (InvalidSetting, String) {
    invalid_setting(OperatorSettings::load(&settings_file(name, text)).unwrap_err())
}

/// The invalid setting that an error reports, and the error's message, which must name the file.
fn invalid_setting(error: SettingsError) -> (InvalidSetting, String) {
    let message = error.to_string();
    let SettingsError::Value { path, source } = error else {
        panic!("another error: {message}");
    };
    assert!(
        message.starts_with(&path.display().to_string()),
        "{message}"
    );
    (source, message)
}

#[test]
fn a_worker_duration_that_is_not_positive_is_refused_with_its_field_name() {
    let field = "settings.workers.lease_s";
    for value in ["0.0", "-1.0", "nan", "inf"] {
        let (found, message) = platform_error(
            "lease.toml",
            "lease_s = 10.0",
            &format!("lease_s = {value}"),
        );
        assert_eq!(found, InvalidSetting::NotPositive { field }, "{value}");
        assert!(message.ends_with("settings.workers.lease_s must be above 0"));
    }
}

#[test]
fn a_controller_in_an_unknown_zone_is_refused() {
    let (found, _) = platform_error("zone.toml", "domain = \"north\"", "domain = \"east\"");
    assert_eq!(found, InvalidSetting::UnknownZone);
}

#[test]
fn operator_settings_out_of_range_are_refused_with_field_and_range() {
    let (found, message) = operator_error("shards.toml", "shards_per_zone = 65\n");
    let (field, min, max) = ("shards_per_zone", 1, 64);
    assert_eq!(found, InvalidSetting::OutOfRange { field, min, max });
    assert!(
        message.ends_with("shards_per_zone must be 1 to 64"),
        "{message}"
    );
    let (found, _) = operator_error("polls.toml", "polls = 65\n");
    let field = "polls";
    assert_eq!(found, InvalidSetting::TooLarge { field, max });
    let (found, _) = operator_error("headroom.toml", "headroom_ordinary = -0.5\n");
    let field = "headroom_ordinary";
    assert_eq!(found, InvalidSetting::Negative { field });
}

#[test]
fn a_settings_file_with_invalid_toml_is_refused_with_its_line_and_the_parser_error() {
    let path = settings_file("syntax.toml", "polls = 3\nqueue_cap = x\n");
    let error = OperatorSettings::load(&path).unwrap_err();
    assert!(matches!(error, SettingsError::Syntax { line: 2, .. }));
    assert!(error.source().is_some());
    assert!(!error.to_string().contains('\n'), "{error}");
}

/// A loopback address at which no process listens.
fn closed_address() -> SocketAddr {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    listener.get_ref().local_addr().unwrap()
}

/// Sends a GET request that must fail, and returns its error.
fn get_error(address: SocketAddr, timeout_ms: u64) -> TransportError {
    let client = Client::new(address);
    let call = client.call(http_types::Method::Get, "/", Vec::new(), timeout_ms);
    match async_io::block_on(call) {
        Ok(response) => panic!("response with status {}", response.status),
        Err(error) => error,
    }
}

#[test]
fn a_refused_connection_names_the_address_and_counts_as_not_sent() {
    let address = closed_address();
    let error = get_error(address, 5000);
    assert!(matches!(error, TransportError::Connect { .. }), "{error}");
    assert!(error.is_connection_refused(), "{error}");
    assert!(error.to_string().contains(&address.to_string()), "{error}");
    assert!(error.source().is_some());
}

#[test]
fn a_server_that_does_not_respond_gives_a_timeout_with_address_and_duration() {
    // The kernel accepts the connection, but no process reads the request.
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let error = get_error(address, 50);
    assert!(matches!(
        error,
        TransportError::Timeout { timeout_ms: 50, .. }
    ));
    assert!(!error.is_connection_refused());
    assert!(error.to_string().contains(&address.to_string()), "{error}");
}

#[test]
fn a_connection_closed_before_the_response_is_a_failed_exchange_that_may_have_been_executed() {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let closing = std::thread::spawn(move || {
        drop(async_io::block_on(listener.accept()).unwrap());
    });
    let error = get_error(address, 5000);
    closing.join().unwrap();
    assert!(
        matches!(error, TransportError::ExchangeFailed { .. }),
        "{error}"
    );
    assert!(error.source().is_some());
}
