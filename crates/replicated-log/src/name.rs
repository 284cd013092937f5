//! Names of schedulers, teams and accounts.

use minicbor::decode::{self, Decoder};
use minicbor::encode::{self, Encoder, Write};
use std::borrow::Borrow;
use std::sync::Arc;

/// The maximum length of a name in bytes, here and in settings.
pub const MAX_NAME_BYTES: usize = 64;

/// A name, cheap to clone: all clones share one text.
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
        if text.is_empty() || text.len() > MAX_NAME_BYTES {
            return Err(decode::Error::message("a name is empty or too long"));
        }
        Ok(text.into())
    }
}
