//! Sets of items of one chunk, as bitmaps.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::Write as _;

/// Maximum number of items of one chunk, and so of results that one write of a chunk row commits.
pub const CHUNK_ITEMS: usize = 256;
/// 64-bit words of the bitmap.
const WORDS: usize = CHUNK_ITEMS / 64;

/// A set of items of one chunk, by index. Stored as hexadecimal text without trailing zeros.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ItemSet {
    words: [u64; WORDS],
}

impl ItemSet {
    /// The items `0..count`; `count` is limited to [`CHUNK_ITEMS`].
    #[must_use]
    pub fn first(count: usize) -> ItemSet {
        (0..count.min(CHUNK_ITEMS)).collect()
    }

    /// Adds an item; an index of [`CHUNK_ITEMS`] or more is ignored.
    pub fn insert(&mut self, item: usize) {
        if let Some(word) = self.words.get_mut(item / 64) {
            *word |= 1 << (item % 64);
        }
    }

    /// Removes an item if it is in the set.
    pub fn remove(&mut self, item: usize) {
        if let Some(word) = self.words.get_mut(item / 64) {
            *word &= !(1 << (item % 64));
        }
    }

    /// Whether the item is in the set; false for an index beyond the chunk.
    #[must_use]
    pub fn contains(&self, item: usize) -> bool {
        let word = self.words.get(item / 64).copied().unwrap_or(0);
        word & (1 << (item % 64)) != 0
    }

    /// Number of items in the set.
    #[must_use]
    pub fn len(&self) -> usize {
        let ones = self.words.iter().map(|word| word.count_ones() as usize);
        ones.sum()
    }

    /// Whether the set has no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words == [0; WORDS]
    }

    /// Items of either set.
    #[must_use]
    pub fn union(mut self, other: ItemSet) -> ItemSet {
        let pairs = self.words.iter_mut().zip(other.words);
        pairs.for_each(|(word, more)| *word |= more);
        self
    }

    /// Items of this set that are not in `other`.
    #[must_use]
    pub fn without(mut self, other: ItemSet) -> ItemSet {
        let pairs = self.words.iter_mut().zip(other.words);
        pairs.for_each(|(word, less)| *word &= !less);
        self
    }

    /// The items in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + use<> {
        let set = *self;
        (0..CHUNK_ITEMS).filter(move |item| set.contains(*item))
    }
}

impl FromIterator<usize> for ItemSet {
    fn from_iter<I: IntoIterator<Item = usize>>(items: I) -> ItemSet {
        let mut set = ItemSet::default();
        items.into_iter().for_each(|item| set.insert(item));
        set
    }
}

impl Serialize for ItemSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let words = self.words.iter().fold(String::new(), |mut text, word| {
            // Writing to a string cannot fail.
            let _ = write!(text, "{word:016x}");
            text
        });
        serializer.serialize_str(words.trim_end_matches('0'))
    }
}

impl<'de> Deserialize<'de> for ItemSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ItemSet, D::Error> {
        let text = String::deserialize(deserializer)?;
        let malformed = || serde::de::Error::custom("an item bitmap is malformed");
        if text.len() > WORDS * 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(malformed());
        }
        let padded = format!("{text:0<64}");
        let mut set = ItemSet::default();
        for (index, word) in set.words.iter_mut().enumerate() {
            let digits = &padded[index * 16..(index + 1) * 16];
            *word = u64::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(set)
    }
}
