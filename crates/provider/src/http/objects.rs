//! HTTP client of the object store.

use super::client::{ClientSettings, client, get_json, read_body};
use crate::{ObjectStore, PlatformFuture, StoreError};
use awc::http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt as _;

/// HTTP client of an object store.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    base: String,
    settings: ClientSettings,
}

impl HttpObjects {
    /// Creates a client of the object store at the base URL `base`, such as `http://127.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str, settings: ClientSettings) -> HttpObjects {
        HttpObjects {
            base: base.trim_end_matches('/').to_owned(),
            settings,
        }
    }

    fn url(&self, name: &str) -> String {
        format!("{}/objects/{name}", self.base)
    }
}

impl ObjectStore for HttpObjects {
    fn put(&self, name: &str, content: Bytes) -> PlatformFuture<'_, ()> {
        let url = self.url(name);
        async move {
            let request = client().put(url).timeout(self.settings.timeout);
            let send = request.send_body(content);
            read_body(send.await, self.settings).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn get(&self, name: &str) -> PlatformFuture<'_, Option<Bytes>> {
        let url = self.url(name);
        async move {
            let request = client().get(url).timeout(self.settings.timeout);
            let response = request
                .send()
                .await
                .map_err(|error| StoreError::Unavailable(error.to_string()))?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            read_body(Ok(response), self.settings).await.map(Some)
        }
        .boxed_local()
    }

    fn list(&self, prefix: &str) -> PlatformFuture<'_, Vec<CompactString>> {
        let url = format!("{}/objects?prefix={prefix}", self.base);
        async move { get_json(&url, self.settings).await }.boxed_local()
    }

    fn delete(&self, name: &str) -> PlatformFuture<'_, ()> {
        let url = self.url(name);
        async move {
            let request = client().delete(url).timeout(self.settings.timeout);
            read_body(request.send().await, self.settings).await?;
            Ok(())
        }
        .boxed_local()
    }
}
