//! The values of one line of the wire.

use std::str::FromStr;

/// What was wrong with the wire, in words for the person who reads standard error.
pub type Bad = String;

/// The values of a line behind its name, in order.
pub struct Values<'a> {
    pub name: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Values<'a> {
    pub fn of(text: &'a str) -> Self {
        match text.split_once('\t') {
            Some((name, rest)) => Self { name, rest: Some(rest) },
            None => Self { name: text, rest: None },
        }
    }

    /// All that is left of the line, tabs too.
    pub fn rest(&mut self, what: &str) -> Result<&'a str, Bad> {
        self.rest.take().ok_or_else(|| format!("{} lacks {what}", self.name))
    }

    pub fn text(&mut self, what: &str) -> Result<&'a str, Bad> {
        let rest = self.rest(what)?;
        let (value, rest) = rest.split_once('\t').map_or((rest, None), |(value, rest)| (value, Some(rest)));
        self.rest = rest;
        Ok(value)
    }

    fn parsed<T>(&mut self, what: &str, parse: impl Fn(&str) -> Option<T>) -> Result<Option<T>, Bad> {
        match self.text(what)? {
            "-" => Ok(None),
            text => parse(text).map(Some).ok_or_else(|| format!("{}: {what} can't be {text:?}", self.name)),
        }
    }

    pub fn maybe<T: FromStr>(&mut self, what: &str) -> Result<Option<T>, Bad> {
        self.parsed(what, |text| text.parse().ok())
    }

    pub fn must<T: FromStr>(&mut self, what: &str) -> Result<T, Bad> {
        self.maybe(what)?.ok_or_else(|| format!("{}: {what} is absent", self.name))
    }

    pub fn whole(&mut self, what: &str) -> Result<u64, Bad> {
        self.must(what)
    }

    pub fn amount(&mut self, what: &str) -> Result<f64, Bad> {
        let amount: f64 = self.must(what)?;
        if amount.is_finite() { Ok(amount) } else { Err(format!("{}: {what} is no amount", self.name)) }
    }

    pub fn hex(&mut self, what: &str) -> Result<u64, Bad> {
        Ok(self.parsed(what, |text| u64::from_str_radix(text, 16).ok())?.unwrap_or(0))
    }
}
