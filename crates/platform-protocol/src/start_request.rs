//! Start requests: what a client says of a task, and why a request is invalid.

use crate::code;
use crate::frame::Frame;

/// The longest name of a machine, in bytes.
const MAX_MACHINE_NAME: usize = 256;
/// The longest decimal number, in bytes.
const MAX_DECIMAL: usize = 16;
/// Hexadecimal digits of a task name or a service number.
const ID_DIGITS: usize = 16;
/// Hexadecimal digits of an idempotency key.
const KEY_DIGITS: usize = 32;

/// A valid start request. Whether its use case and its machine exist is not checked here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartRequest<'a> {
    /// The number of the task on this connection, never 0.
    pub task: u64,
    /// The name of the use case.
    pub class: &'a str,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: u64,
    /// The client has requested this task before.
    pub is_retry: bool,
    /// The task's name as it was sent.
    pub name: &'a str,
    /// The number that the task's name stands for.
    pub name_number: u64,
    /// The idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// The resource request.
    pub resources: ResourceRequest<'a>,
    /// The task's description.
    pub description: &'a [u8],
}

/// What a task needs, and where it runs already.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceRequest<'a> {
    /// CPU cores.
    pub cores: f64,
    /// Memory, in the unit of the platform's machine sizes.
    pub memory: f64,
    /// The service that the task belongs to.
    pub service: u64,
    /// The machine that runs the task already.
    pub machine: Option<&'a str>,
}

/// Why a start request is invalid though its message is well-formed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRequest(pub &'static str);

/// A number of exactly 16 hexadecimal digits.
fn hex_id(text: &str) -> Option<u64> {
    let is_hex = text.len() == ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok())?
}

/// A decimal number above 0, without sign and exponent.
fn positive_decimal(text: &str) -> Option<f64> {
    let is_plain = text.len() <= MAX_DECIMAL && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = is_plain.then(|| text.parse().ok())??;
    (number > 0.0).then_some(number)
}

/// A whole number of digits only.
fn whole_number(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok())?
}

fn is_idempotency_key(text: &str) -> bool {
    text.len() == KEY_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// The value of a parameter that must not occur twice.
fn unique<'a>(
    frame: &Frame<'a>,
    code: u8,
    duplicate: &'static str,
) -> Result<Option<&'a [u8]>, InvalidRequest> {
    let mut values = frame.params().filter(|(c, _)| *c == code).map(|(_, value)| value);
    let first = values.next();
    if values.next().is_some() { Err(InvalidRequest(duplicate)) } else { Ok(first) }
}

/// The same as text.
fn unique_text<'a>(
    frame: &Frame<'a>,
    code: u8,
    duplicate: &'static str,
    not_text: &'static str,
) -> Result<Option<&'a str>, InvalidRequest> {
    let value = unique(frame, code, duplicate)?;
    value.map(|value| std::str::from_utf8(value).map_err(|_| InvalidRequest(not_text))).transpose()
}

impl<'a> StartRequest<'a> {
    /// Parses the parameters of a message of type `kind::START`.
    ///
    /// # Errors
    /// Which parameter is missing, duplicated or invalid.
    pub fn parse(frame: &Frame<'a>) -> Result<Self, InvalidRequest> {
        if frame.task == 0 {
            return Err(InvalidRequest("the task number is 0"));
        }
        let class = unique_text(frame, code::CLASS, "duplicate use case", "the use case is not UTF-8")?;
        let timeout = unique_text(frame, code::TIMEOUT, "duplicate timeout", "the timeout is not UTF-8")?;
        let retry = unique(frame, code::RETRY, "duplicate retry flag")?;
        let name = unique_text(frame, code::NAME, "duplicate name", "the name is not UTF-8")?;
        let key = unique_text(
            frame,
            code::IDEMPOTENCY_KEY,
            "duplicate idempotency key",
            "the idempotency key is not UTF-8",
        )?;
        let resources = unique_text(
            frame,
            code::RESOURCES,
            "duplicate resource request",
            "the resource request is not UTF-8",
        )?;
        let description = unique(frame, code::DESCRIPTION, "duplicate description")?;
        let name = name.ok_or(InvalidRequest("missing name"))?;
        Ok(Self {
            task: frame.task,
            class: class.ok_or(InvalidRequest("missing use case"))?,
            timeout_ms: timeout
                .and_then(whole_number)
                .ok_or(InvalidRequest("the timeout is missing or not a number"))?,
            is_retry: match retry {
                None | Some(b"0") => false,
                Some(b"1") => true,
                Some(_) => return Err(InvalidRequest("invalid retry flag")),
            },
            name,
            name_number: hex_id(name).ok_or(InvalidRequest("the name is not 16 hex digits"))?,
            idempotency_key: match key {
                Some(key) if !is_idempotency_key(key) => {
                    return Err(InvalidRequest("the idempotency key is not 32 hex digits"));
                }
                key => key,
            },
            resources: ResourceRequest::parse(resources.ok_or(InvalidRequest("missing resource request"))?)?,
            description: match description {
                Some(text) if !text.is_empty() => text,
                _ => return Err(InvalidRequest("missing description")),
            },
        })
    }
}

impl<'a> ResourceRequest<'a> {
    /// Parses `name:value` pairs that are separated by semicolons; unknown names are ignored.
    fn parse(text: &'a str) -> Result<Self, InvalidRequest> {
        let (mut cores, mut memory, mut service, mut machine) = (None, None, None, None);
        for pair in text.split(';').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once(':').ok_or(InvalidRequest("a resource without a value"))?;
            let slot = match name {
                "cores" => &mut cores,
                "memory" => &mut memory,
                "service" => &mut service,
                "at" => &mut machine,
                _ => continue,
            };
            if slot.replace(value).is_some() {
                return Err(InvalidRequest("duplicate resource"));
            }
        }
        Ok(Self {
            cores: cores
                .and_then(positive_decimal)
                .ok_or(InvalidRequest("the cores are missing or not a positive number"))?,
            memory: memory
                .and_then(positive_decimal)
                .ok_or(InvalidRequest("the memory is missing or not a positive number"))?,
            service: service
                .and_then(hex_id)
                .ok_or(InvalidRequest("the service is missing or not 16 hex digits"))?,
            machine: match machine {
                Some(name) if name.is_empty() || name.len() > MAX_MACHINE_NAME => {
                    return Err(InvalidRequest("the machine's name is empty or too long"));
                }
                name => name,
            },
        })
    }
}

#[cfg(test)]
mod tests;
