//! One row of a table, with what can be wrong with its fields.

use crate::fault::{Fault, Out, Tally};
use std::path::Path;

/// A row, and where it stands.
pub struct Row<'a> {
    pub record: &'a csv::ByteRecord,
    pub file: &'a Path,
    pub line: u64,
    /// Names of the published columns, for messages.
    pub columns: &'static [&'static str],
}

impl<'a> Row<'a> {
    fn place(&self, at: usize) -> String {
        let column = self.columns.get(at).copied().unwrap_or("a field");
        format!("{}:{}: {column}", self.file.display(), self.line)
    }

    /// A field as text; nothing where it is empty or not there.
    pub fn maybe(&self, at: usize) -> Option<&'a str> {
        let bytes = self.record.get(at)?.trim_ascii();
        if bytes.is_empty() { None } else { std::str::from_utf8(bytes).ok() }
    }

    /// A field without which the row means nothing.
    ///
    /// # Errors
    /// Where it is missing, empty or no text: the row is kept out.
    pub fn must(&self, at: usize, tally: &mut Tally) -> Result<&'a str, Out> {
        let Some(bytes) = self.record.get(at) else {
            return tally.meet_fatal(Fault::MissingField, || self.place(at));
        };
        match std::str::from_utf8(bytes.trim_ascii()) {
            Ok("") => tally.meet_fatal(Fault::EmptyField, || self.place(at)),
            Ok(text) => Ok(text),
            Err(_) => tally.meet_fatal(Fault::NoText, || self.place(at)),
        }
    }

    /// A whole number without which the row means nothing.
    ///
    /// # Errors
    /// As `must`, and where it is no whole number.
    pub fn must_number(&self, at: usize, tally: &mut Tally) -> Result<u64, Out> {
        let text = self.must(at, tally)?;
        match text.parse::<u64>() {
            Ok(number) => Ok(number),
            Err(_) if text.starts_with('-') => tally.meet_fatal(Fault::Negative, || self.place(at)),
            Err(_) => tally.meet_fatal(Fault::BadNumber, || self.place(at)),
        }
    }

    /// A figure from 0 to `most`; `usual` stands for one that is missing.
    ///
    /// # Errors
    /// Where the policy keeps the row out.
    pub fn figure(&self, at: usize, usual: f64, most: f64, tally: &mut Tally) -> Result<f64, Out> {
        let Some(bytes) = self.record.get(at) else {
            return tally.meet(Fault::MissingField, || self.place(at)).map(|()| usual);
        };
        let bytes = bytes.trim_ascii();
        if bytes.is_empty() {
            return tally.meet(Fault::EmptyField, || self.place(at)).map(|()| usual);
        }
        let number = std::str::from_utf8(bytes).ok().and_then(|text| text.parse::<f64>().ok());
        match number {
            Some(number) if number.is_finite() && (0.0..=most).contains(&number) => Ok(number),
            Some(number) if number < 0.0 => tally.meet(Fault::Negative, || self.place(at)).map(|()| 0.0),
            Some(_) => tally.meet(Fault::Absurd, || self.place(at)).map(|()| most),
            None => tally.meet(Fault::BadNumber, || self.place(at)).map(|()| usual),
        }
    }

    /// The same where the published table leaves the field empty now and then.
    ///
    /// # Errors
    /// Where the policy keeps the row out.
    pub fn figure_or(&self, at: usize, usual: f64, most: f64, tally: &mut Tally) -> Result<f64, Out> {
        match self.maybe(at) {
            None => Ok(usual),
            Some(_) => self.figure(at, usual, most, tally),
        }
    }

    /// A small number that names one of `count` values; `usual` stands for another.
    ///
    /// # Errors
    /// Where the policy keeps the row out.
    pub fn one_of(&self, at: usize, count: u64, usual: u64, tally: &mut Tally) -> Result<u64, Out> {
        let Some(text) = self.maybe(at) else {
            let fault = if self.record.get(at).is_some() { Fault::EmptyField } else { Fault::MissingField };
            return tally.meet(fault, || self.place(at)).map(|()| usual);
        };
        match text.parse::<u64>() {
            Ok(number) if number < count => Ok(number),
            _ => tally.meet(Fault::UnknownValue, || self.place(at)).map(|()| usual),
        }
    }

    /// A value that the published table doesn't list.
    ///
    /// # Errors
    /// Always: a row of an unknown kind is kept out.
    pub fn unknown<T>(&self, at: usize, tally: &mut Tally) -> Result<T, Out> {
        tally.meet_fatal(Fault::UnknownValue, || self.place(at))
    }
}

/// A stable number for a name, the same on every machine.
pub fn name_number(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
