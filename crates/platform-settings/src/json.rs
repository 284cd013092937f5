//! Access to the values of the settings object.

use crate::SettingsError;
use mulleinhub::Duration;
use serde_json::Value;

/// The value of a required key.
pub(crate) fn required<'a>(object: &'a Value, key: &str) -> Result<&'a Value, SettingsError> {
    object.get(key).ok_or_else(|| SettingsError::missing(key))
}

/// A required number.
pub(crate) fn number(object: &Value, key: &str) -> Result<f64, SettingsError> {
    required(object, key)?.as_f64().ok_or_else(|| SettingsError::wrong_type(key, "a number"))
}

/// A required duration, in nanoseconds.
pub(crate) fn duration(object: &Value, key: &str) -> Result<Duration, SettingsError> {
    let nanos = required(object, key)?.as_u64();
    let nanos = nanos.ok_or_else(|| SettingsError::wrong_type(key, "a whole number of nanoseconds"))?;
    Ok(Duration::from_nanos(nanos))
}

/// A required list.
pub(crate) fn list<'a>(object: &'a Value, key: &str) -> Result<&'a [Value], SettingsError> {
    let list = required(object, key)?.as_array().map(Vec::as_slice);
    list.ok_or_else(|| SettingsError::wrong_type(key, "a list"))
}

/// An optional list of strings, empty if it is missing; other values in it count as empty strings.
pub(crate) fn strings(object: &Value, key: &str) -> Vec<String> {
    let values = object.get(key).and_then(Value::as_array).into_iter().flatten();
    values.map(|value| value.as_str().unwrap_or_default().to_owned()).collect()
}

/// An optional string.
pub(crate) fn text<'a>(object: &'a Value, key: &str) -> Option<&'a str> {
    object.get(key).and_then(Value::as_str)
}

/// An optional flag; false if it is missing.
pub(crate) fn flag(object: &Value, key: &str) -> bool {
    object.get(key).and_then(Value::as_bool) == Some(true)
}
