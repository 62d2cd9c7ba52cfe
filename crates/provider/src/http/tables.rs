//! HTTP client of the table service, the VM list and the weight store.

use super::client::{ClientSettings, get_json, post_json};
use crate::{
    CommitOutcome, Expected, PlatformFuture, RowEntry, StoreError, TableStore, TableWrite, VmEntry,
    VmList, VmState, WeightGrant, WeightStore,
};
use compact_str::CompactString;
use futures_util::FutureExt as _;
use plantainmill_schema::platform as wire;
use std::time::Duration;

/// HTTP client of the platform's table service, VM list and weight store.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base: String,
    settings: ClientSettings,
}

impl HttpPlatform {
    /// Creates a client of the platform at the base URL `base`, such as `http://127.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str, settings: ClientSettings) -> HttpPlatform {
        HttpPlatform {
            base: base.trim_end_matches('/').to_owned(),
            settings,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

impl TableStore for HttpPlatform {
    fn get(&self, key: &str) -> PlatformFuture<'_, Option<RowEntry>> {
        let body = wire::GetBody { key: key.into() };
        async move {
            let response: wire::GetAnswer =
                post_json(&self.url("/table/get"), &body, self.settings).await?;
            Ok(response.row.map(row_entry))
        }
        .boxed_local()
    }

    fn range(&self, start: &str, end: &str, limit: u32) -> PlatformFuture<'_, Vec<RowEntry>> {
        let body = wire::RangeBody {
            start: start.into(),
            end: end.into(),
            limit,
        };
        async move {
            let response: wire::RangeAnswer =
                post_json(&self.url("/table/range"), &body, self.settings).await?;
            Ok(response.rows.into_iter().map(row_entry).collect())
        }
        .boxed_local()
    }

    fn commit(&self, write: TableWrite) -> PlatformFuture<'_, CommitOutcome> {
        let body = commit_body(write);
        async move {
            let response: wire::CommitAnswer =
                post_json(&self.url("/table/commit"), &body, self.settings).await?;
            commit_outcome(response)
        }
        .boxed_local()
    }
}

impl VmList for HttpPlatform {
    fn list(&self) -> PlatformFuture<'_, Vec<VmEntry>> {
        async move {
            let response: wire::VmListAnswer = get_json(&self.url("/vms"), self.settings).await?;
            response.vms.into_iter().map(vm_entry).collect()
        }
        .boxed_local()
    }
}

impl WeightStore for HttpPlatform {
    fn request(&self, model: &str) -> PlatformFuture<'_, WeightGrant> {
        let body = wire::WeightBody {
            model: model.into(),
        };
        async move {
            let response: wire::WeightAnswer =
                post_json(&self.url("/weights/request"), &body, self.settings).await?;
            if response.granted {
                return Ok(WeightGrant::Granted);
            }
            Ok(WeightGrant::Wait(Duration::from_millis(response.wait_ms)))
        }
        .boxed_local()
    }
}

fn row_entry(row: wire::RowBody) -> RowEntry {
    RowEntry {
        key: row.key.into(),
        revision: row.revision,
        value: row.value,
    }
}

fn commit_body(write: TableWrite) -> wire::CommitBody {
    let conditions = write.conditions.into_iter();
    let puts = write.puts.into_iter();
    wire::CommitBody {
        conditions: conditions
            .map(|(key, expected)| wire::ConditionBody {
                key: key.into(),
                revision: match expected {
                    Expected::Absent => None,
                    Expected::Revision(revision) => Some(revision),
                },
            })
            .collect(),
        puts: puts
            .map(|(key, value)| wire::PutBody {
                key: key.into(),
                value,
            })
            .collect(),
        deletes: write.deletes.into_iter().map(Into::into).collect(),
    }
}

fn commit_outcome(response: wire::CommitAnswer) -> Result<CommitOutcome, StoreError> {
    match (response.revision, response.conflict) {
        (Some(revision), None) => Ok(CommitOutcome::Committed { revision }),
        (None, Some(key)) => Ok(CommitOutcome::Conflict {
            key: CompactString::from(key),
        }),
        _ => Err(StoreError::Malformed(
            "a commit answer needs either a revision or a conflict".to_owned(),
        )),
    }
}

fn vm_entry(body: wire::VmBody) -> Result<VmEntry, StoreError> {
    let mesh = body
        .mesh
        .parse()
        .map_err(|error| StoreError::Malformed(format!("mesh address of {}: {error}", body.id)))?;
    Ok(VmEntry {
        id: body.id.into(),
        domain: body.domain.into(),
        region: body.region.into(),
        mesh,
        state: match body.state {
            wire::VmState::Live => VmState::Live,
            wire::VmState::Leaving => VmState::Leaving,
        },
    })
}
