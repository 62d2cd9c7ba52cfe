//! Parts of the prompts of requests to the own interface.

use plantainmill_core::{PartId, RequestHash};
use plantainmill_dispatch::TrafficClass;
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Largest number of parts of one request.
const MAX_PARTS: usize = 64;

/// The fields of a body that hold a prompt.
#[derive(Deserialize)]
struct PromptFields<'a> {
    #[serde(borrow, default)]
    messages: Option<Vec<&'a RawValue>>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

/// Hash of a request that is the same each time that the caller sends it. Items have hashes of their own.
#[must_use]
pub fn request_hash(
    class: TrafficClass,
    path: &str,
    organisation: Option<&str>,
    body: &[u8],
) -> RequestHash {
    let class = match class {
        TrafficClass::Online => "online",
        TrafficClass::Batch => "batch",
    };
    let owner = organisation.unwrap_or_default();
    let fields = [class.as_bytes(), path.as_bytes(), owner.as_bytes(), body];
    fields
        .into_iter()
        .fold(0, |seed, field| xxh3_64_with_seed(field, seed))
}

/// Parts of a request with `body` to `path`: its messages, its prompt, or else the body as a whole.
#[must_use]
pub fn request_parts(path: &str, body: &[u8]) -> Vec<PartId> {
    let fields: Option<PromptFields<'_>> = serde_json::from_slice(body).ok();
    let texts = fields.and_then(|fields| {
        let prompt = fields.prompt.map(|prompt| vec![prompt]);
        fields.messages.or(prompt)
    });
    let Some(texts) = texts else {
        return vec![xxh3_64_with_seed(body, xxh3_64(path.as_bytes()))];
    };
    let hashes = texts.iter().map(|text| xxh3_64(text.get().as_bytes()));
    hashes.take(MAX_PARTS).collect()
}
