//! Memory use of the largest job, in a separate process so that no other test adds to the resident size.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt as _;
use opentelemetry::metrics::MeterProvider as _;
use plantainmill_batch::JobStore;
use plantainmill_batch::meters::BatchMeters;
use plantainmill_batch::rows::{FileRow, file_key};
use plantainmill_config::ConfigView;
use plantainmill_core::ManualClock;
use plantainmill_fakes::MemoryPlatform;
use plantainmill_provider::{ObjectStore, PlatformFuture, TableStore as _, TableWrite};
use plantainmill_schema::openai::BatchCreate;
use std::sync::Arc;

const ITEMS: u64 = 370_000;
/// Bytes of one line; the input is larger than 180 MB.
const LINE_BYTES: u64 = 512;
/// Accepting a job takes about 7 MiB for the filter, a piece and a chunk; holding the whole input would take 180 MiB.
const LIMIT_KIB: u64 = 24 * 1024;

/// Generates the input file on reads and discards writes.
struct GeneratedObjects;

fn line(number: u64) -> String {
    let start = format!(
        "{{\"custom_id\":\"item-{number}\",\"method\":\"POST\",\"url\":\"/v1/completions\",\"body\":{{\"model\":\"m\",\"prompt\":\""
    );
    let width = usize::try_from(LINE_BYTES).unwrap() - start.len() - 4;
    format!("{start}{:width$}\"}}}}\n", "")
}

impl ObjectStore for GeneratedObjects {
    fn put(&self, _: &str, _: Bytes) -> PlatformFuture<'_, ()> {
        async { Ok(()) }.boxed_local()
    }

    fn get(&self, name: &str) -> PlatformFuture<'_, Option<Bytes>> {
        let piece: u64 = name.rsplit('/').next().unwrap().parse().unwrap();
        let lines = 1024 * 1024 / LINE_BYTES;
        let end = ((piece + 1) * lines).min(ITEMS);
        let content: String = (piece * lines..end).map(line).collect();
        async move { Ok(Some(Bytes::from(content))) }.boxed_local()
    }

    fn list(&self, _: &str) -> PlatformFuture<'_, Vec<CompactString>> {
        async { Ok(Vec::new()) }.boxed_local()
    }

    fn delete(&self, _: &str) -> PlatformFuture<'_, ()> {
        async { Ok(()) }.boxed_local()
    }
}

fn resident_kib(field: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against memory use that grows with the number of items when a job is accepted.
#[test]
fn accepts_largest() {
    let platform = MemoryPlatform::default();
    let meter = opentelemetry::metrics::noop::NoopMeterProvider::new().meter("test");
    let store = JobStore::new(
        Arc::new(platform.clone()),
        Arc::new(GeneratedObjects),
        ConfigView::default(),
        Arc::new(ManualClock::default()),
        BatchMeters::new(&meter),
    );
    let file = FileRow {
        organisation: "kandy".into(),
        filename: "in.jsonl".to_owned(),
        purpose: "batch".to_owned(),
        bytes: ITEMS * LINE_BYTES,
        created_at: 0,
        expires_at: 1,
    };
    let body = BatchCreate {
        completion_window: None,
        due_at: None,
        endpoint: "/v1/completions".to_owned(),
        input_file_id: "file-1".to_owned(),
        metadata: serde_json::Map::new(),
    };
    actix::System::new().block_on(async move {
        let row = serde_json::to_value(&file).unwrap();
        let write = TableWrite::new().put(file_key("file-1"), row);
        platform.commit(write).await.unwrap();
        let before = resident_kib("VmHWM");
        let (_, row) = store.create_job(&"kandy".into(), body, None).await.unwrap();
        assert_eq!(row.items, ITEMS);
        assert_eq!(row.chunks, 1_446);
        let grown = resident_kib("VmHWM") - before;
        assert!(grown <= LIMIT_KIB, "{grown} KiB");
    });
}
