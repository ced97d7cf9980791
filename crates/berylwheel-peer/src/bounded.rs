//! Deserialization of lists with a bounded number of entries.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Deserializes a list of at most `LIMIT` entries.
///
/// An entry may take far more space in memory than in the frame, so the frame size alone does not
/// bound the memory that decoding allocates.
pub(crate) fn deserialize_list<'de, D, T, const LIMIT: usize>(
    deserializer: D,
) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(ListVisitor::<T, LIMIT>(PhantomData))
}

struct ListVisitor<T, const LIMIT: usize>(PhantomData<T>);

impl<'de, T: Deserialize<'de>, const LIMIT: usize> Visitor<'de> for ListVisitor<T, LIMIT> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {LIMIT} entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<T>, A::Error> {
        let mut list = Vec::new();
        while let Some(entry) = entries.next_element()? {
            if list.len() == LIMIT {
                return Err(A::Error::invalid_length(LIMIT + 1, &self));
            }
            list.push(entry);
        }
        Ok(list)
    }
}
