//! Names of schedulers, teams and accounts: one copy for all that know it.

use minicbor::decode::{self, Decoder};
use minicbor::encode::{self, Encoder, Write};
use std::borrow::Borrow;
use std::sync::Arc;

/// The most bytes of a name, here and in settings.
pub const MOST: usize = 64;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl std::ops::Deref for Name {
    type Target = str;
    fn deref(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl<C> minicbor::Encode<C> for Name {
    fn encode<W: Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        e.str(&self.0)?.ok()
    }
}

impl<'b, C> minicbor::Decode<'b, C> for Name {
    fn decode(d: &mut Decoder<'b>, _: &mut C) -> Result<Self, decode::Error> {
        let text = d.str()?;
        if text.is_empty() || text.len() > MOST {
            return Err(decode::Error::message("a name of no or too many bytes"));
        }
        Ok(text.into())
    }
}
