//! Digests that chain the entries of a log, so that two copies can be compared by one value.

use crate::log_id::LogId;
use minicbor::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// The first sixteen bytes of a SHA-256, usually over all entries of a log up to one.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(pub [u8; 16]);

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Digest {
    /// The digest of the concatenated parts.
    pub(crate) fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        parts.iter().for_each(|part| hash.update(part));
        Self(std::array::from_fn({
            let full_hash = hash.finalize();
            move |n| full_hash[n]
        }))
    }

    /// The digest of an empty log, before its first entry.
    pub fn first(id: &LogId) -> Self {
        Self::of(&[id.writer.as_bytes(), &[0], &id.incarnation.to_be_bytes()])
    }

    /// The digest after one more entry, which has this number.
    #[must_use]
    pub fn after(self, number: u64, entry: &[u8]) -> Self {
        Self::of(&[&self.0, &number.to_be_bytes(), entry])
    }

    /// The digest of a log's head, so that the heads of all logs can be combined into one value.
    pub fn of_head(id: &LogId, number: u64, digest: Self) -> Self {
        Self::of(&[&digest.0, &number.to_be_bytes(), &id.incarnation.to_be_bytes(), id.writer.as_bytes()])
    }

    /// Combines two digests; the order of several combinations does not matter.
    #[must_use]
    pub fn xor(self, other: Self) -> Self {
        Self(std::array::from_fn(|n| self.0[n] ^ other.0[n]))
    }
}

impl<C> Encode<C> for Digest {
    fn encode<W: minicbor::encode::Write>(
        &self,
        e: &mut minicbor::Encoder<W>,
        _: &mut C,
    ) -> Result<(), minicbor::encode::Error<W::Error>> {
        e.bytes(&self.0)?.ok()
    }
}

impl<'b, C> Decode<'b, C> for Digest {
    fn decode(d: &mut minicbor::Decoder<'b>, _: &mut C) -> Result<Self, minicbor::decode::Error> {
        let bytes = d.bytes()?;
        bytes.try_into().map(Self).map_err(|_| minicbor::decode::Error::message("a digest has sixteen bytes"))
    }
}
