//! Errors of reading a settings object.

use mulleinhub_platform_settings::{PlatformSettings, SettingsError};
use serde_json::json;

fn error_of(config: serde_json::Value) -> SettingsError {
    PlatformSettings::from_json(&config).expect_err("the settings are incomplete")
}

#[test]
fn missing_key_is_named() {
    let error = error_of(json!({"specifics": {}, "rules": {}, "limits": {}}));
    assert_eq!(error, SettingsError::Missing { key: "tariffs".into() });
    assert_eq!(error.to_string(), "settings: tariffs is missing");
}

#[test]
fn value_of_wrong_type_is_named() {
    let error = error_of(json!({"specifics": {}, "rules": {}, "limits": {}, "tariffs": {}, "myZone": "a"}));
    assert_eq!(error, SettingsError::WrongType { key: "myZone".into(), expected: "a number" });
    assert_eq!(String::from(error), "settings: myZone must be a number");
}
