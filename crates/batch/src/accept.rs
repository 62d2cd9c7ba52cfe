//! Accepting a job: its items are written to the object store first, then the job row in one write.

use crate::files::UNFINISHED_RETENTION_S;
use crate::items::CHUNK_ITEMS;
use crate::lines::{IdFilter, InvalidLines, ItemRoute, LineReader, check_line};
use crate::rows::{
    FileRow, ItemCounts, JobRow, JobState, OpenRow, expiry_key, input_name, job_key, listing_key,
    open_key,
};
use crate::store::{JobStore, to_value};
use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use plantainmill_core::secret::{hash_bytes, new_id};
use plantainmill_core::{JobId, OrganisationId, Problem, ResultCode};
use plantainmill_provider::{Expected, TableWrite};
use plantainmill_schema::openai::BatchCreate;
use serde_json::json;
use std::collections::BTreeMap;

/// Maximum number of items of one job; a file with more is refused.
pub const JOB_ITEMS_LIMIT: u64 = 370_000;
/// Maximum size of one chunk's input, which bounds the memory of its holder when items are long.
pub const CHUNK_BYTES_LIMIT: usize = 8 * 1024 * 1024;
/// Completion window of a job that is created with neither a window nor a due time.
const DEFAULT_WINDOW: &str = "24h";
/// Maximum number of ids flagged by the filter that are checked exactly; further ones are not checked.
const MAX_REPEATED_IDS: usize = 10_000;
/// Longest idempotency key, in bytes.
const KEY_LIMIT_BYTES: usize = 255;
/// Hexadecimal digits of the hash in the id of a job with an idempotency key.
const JOB_ID_DIGITS: usize = 24;

/// A validated request to create a job.
struct JobPlan {
    job: JobId,
    nonce: CompactString,
    body_hash: CompactString,
    organisation: OrganisationId,
    body: BatchCreate,
    window: String,
    created_at: u64,
    due_at: u64,
    expiry: CompactString,
}

/// Size of a job's input.
#[derive(Clone, Copy, Debug, Default)]
struct InputSize {
    items: u64,
    chunks: u32,
}

impl JobStore {
    /// Creates a job, or returns the one that was created with the same idempotency key and body.
    ///
    /// # Errors
    ///
    /// `FileInvalid` with the invalid lines, `KeyReused`, `UnknownFile`, `BadHeader`, `BadRequest`, or the problem of
    /// the store.
    pub async fn create_job(
        &self,
        organisation: &OrganisationId,
        body: BatchCreate,
        idempotency_key: Option<&str>,
    ) -> Result<(JobId, JobRow), Problem> {
        let plan = self.plan(organisation, body, idempotency_key)?;
        if idempotency_key.is_some()
            && let Some((_, row)) = self.read_job(&plan.job).await?
        {
            return existing_job(&plan, row);
        }
        let file = self
            .read_file(organisation, &plan.body.input_file_id)
            .await?;
        let _permit = self.accept_permits.acquire().await;
        let write = TableWrite::new().put(plan.expiry.clone(), json!({}));
        self.create::<serde_json::Value>(write, &plan.expiry)
            .await?;
        let size = match self.write_input(&plan, &file).await {
            Ok(size) => size,
            Err(problem) => {
                self.discard(&plan).await;
                return Err(problem);
            }
        };
        self.write_job(plan, size).await
    }

    fn plan(
        &self,
        organisation: &OrganisationId,
        body: BatchCreate,
        idempotency_key: Option<&str>,
    ) -> Result<JobPlan, Problem> {
        if ItemRoute::parse(&body.endpoint).is_none() {
            return Err(invalid_field(
                "endpoint",
                "must be a model route or /services/{service}/{path}",
            ));
        }
        let created_at = self.now_unix();
        let window = body.completion_window.clone();
        let window = window.unwrap_or_else(|| DEFAULT_WINDOW.to_owned());
        let due_at = match body.due_at {
            Some(due_at) if due_at <= created_at => {
                return Err(invalid_field("due_at", "the time is in the past"));
            }
            Some(due_at) => due_at,
            None => created_at + parse_window(&window)?,
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let job = job_id(organisation, idempotency_key)?;
        let nonce = new_id("");
        let expires_at = created_at + UNFINISHED_RETENTION_S;
        let expiry = expiry_key(expires_at, "accept", &format!("{job}/{nonce}"));
        Ok(JobPlan {
            job,
            nonce,
            body_hash: hash_bytes(&text),
            organisation: organisation.clone(),
            body,
            window,
            created_at,
            due_at,
            expiry,
        })
    }

    /// Checks all lines and writes the chunk objects. Keeps one piece, one chunk and the filter in memory.
    async fn write_input(&self, plan: &JobPlan, file: &FileRow) -> Result<InputSize, Problem> {
        let mut reader = LineReader::new(self, &plan.body.input_file_id, file);
        let mut invalid_lines = InvalidLines::default();
        let mut filter = IdFilter::default();
        let mut repeated: BTreeMap<String, u64> = BTreeMap::new();
        let mut chunks = ChunkWriter::new(self, plan);
        while let Some(line) = reader.next().await? {
            let checked = check_line(&line);
            match checked {
                Ok(item) if filter.insert(&item.custom_id) && repeated.len() < MAX_REPEATED_IDS => {
                    repeated.insert(item.custom_id, 0);
                }
                Ok(_) => {}
                Err(reason) => invalid_lines.add(reader.line, reason),
            }
            chunks.add(&line).await?;
        }
        let size = chunks.finish().await?;
        if !repeated.is_empty() {
            self.count_repeated(plan, file, repeated, &mut invalid_lines)
                .await?;
        }
        if size.items == 0 {
            return Err(Problem::new(
                ResultCode::FileInvalid,
                "the file has no items",
            ));
        }
        invalid_lines.problem().map_or(Ok(size), Err)
    }

    /// Reads the file again for the ids that the filter flagged, and reports each line that repeats an id.
    async fn count_repeated(
        &self,
        plan: &JobPlan,
        file: &FileRow,
        mut repeated: BTreeMap<String, u64>,
        invalid_lines: &mut InvalidLines,
    ) -> Result<(), Problem> {
        let mut reader = LineReader::new(self, &plan.body.input_file_id, file);
        while let Some(line) = reader.next().await? {
            let Ok(item) = check_line(&line) else {
                continue;
            };
            let Some(first) = repeated.get_mut(&item.custom_id) else {
                continue;
            };
            if *first == 0 {
                *first = reader.line;
                continue;
            }
            invalid_lines.add(
                reader.line,
                format!("custom_id is already used in line {first}"),
            );
        }
        Ok(())
    }

    async fn write_job(&self, plan: JobPlan, size: InputSize) -> Result<(JobId, JobRow), Problem> {
        let row = new_row(&plan, size);
        let open = OpenRow {
            job: plan.job.clone(),
            organisation: plan.organisation.clone(),
            items: size.items,
            created_at: plan.created_at,
            due_at: plan.due_at,
        };
        let key = job_key(&plan.job);
        let listing = listing_key(&plan.organisation, plan.created_at, &plan.job);
        let write = TableWrite::new()
            .expect(key.clone(), Expected::Absent)
            .put(key.clone(), to_value(&row))
            .put(open_key(plan.due_at, &plan.job), to_value(&open))
            .put(listing, json!({ "job": plan.job }))
            .delete(plan.expiry.clone());
        match self.create::<JobRow>(write, &key).await? {
            Some(found) if found.nonce != plan.nonce => {
                self.discard(&plan).await;
                existing_job(&plan, found)
            }
            Some(found) => Ok((plan.job, found)),
            None => Ok((plan.job, row)),
        }
    }

    /// Deletes the objects of a job that was not created. What a failure leaves is deleted when the expiry row is due.
    async fn discard(&self, plan: &JobPlan) {
        let prefix = format!("batch/{}/{}/", plan.job, plan.nonce);
        if self.delete_objects(&prefix).await.is_ok() {
            let write = TableWrite::new().delete(plan.expiry.clone());
            let _ = self.table.commit(write).await;
        }
    }
}

/// Groups lines into chunks and writes each as an object.
struct ChunkWriter<'a> {
    store: &'a JobStore,
    plan: &'a JobPlan,
    buffer: BytesMut,
    lines: usize,
    size: InputSize,
}

impl<'a> ChunkWriter<'a> {
    fn new(store: &'a JobStore, plan: &'a JobPlan) -> ChunkWriter<'a> {
        ChunkWriter {
            store,
            plan,
            buffer: BytesMut::new(),
            lines: 0,
            size: InputSize::default(),
        }
    }

    async fn add(&mut self, line: &Bytes) -> Result<(), Problem> {
        let full = self.lines == CHUNK_ITEMS || self.buffer.len() + line.len() > CHUNK_BYTES_LIMIT;
        if full && self.lines > 0 {
            self.flush().await?;
        }
        self.size.items += 1;
        if self.size.items > JOB_ITEMS_LIMIT {
            let reason = format!("the file has more than {JOB_ITEMS_LIMIT} items");
            return Err(Problem::new(ResultCode::FileInvalid, reason));
        }
        self.buffer.extend_from_slice(line);
        self.buffer.extend_from_slice(b"\n");
        self.lines += 1;
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), Problem> {
        let name = input_name(&self.plan.job, &self.plan.nonce, self.size.chunks);
        let content = self.buffer.split().freeze();
        self.store.put_object(&name, content).await?;
        self.size.chunks += 1;
        self.lines = 0;
        Ok(())
    }

    async fn finish(mut self) -> Result<InputSize, Problem> {
        if self.lines > 0 {
            self.flush().await?;
        }
        Ok(self.size)
    }
}

fn new_row(plan: &JobPlan, size: InputSize) -> JobRow {
    JobRow {
        organisation: plan.organisation.clone(),
        state: JobState::Running,
        nonce: plan.nonce.clone(),
        body_hash: plan.body_hash.clone(),
        input_file_id: CompactString::from(&plan.body.input_file_id),
        endpoint: CompactString::from(&plan.body.endpoint),
        completion_window: CompactString::from(&plan.window),
        metadata: plan.body.metadata.clone(),
        items: size.items,
        chunks: size.chunks,
        created_at: plan.created_at,
        due_at: plan.due_at,
        ended_at: None,
        counts: ItemCounts::default(),
    }
}

/// Id of a new job. With an idempotency key it is a hash of organisation and key, so that all VMs derive the same id.
fn job_id(organisation: &str, idempotency_key: Option<&str>) -> Result<JobId, Problem> {
    let Some(key) = idempotency_key else {
        return Ok(new_id("batch_"));
    };
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES {
        let reason = format!("the key must have 1 to {KEY_LIMIT_BYTES} bytes");
        return Err(Problem::new(ResultCode::BadHeader, reason).with_field("idempotency-key"));
    }
    let hash = hash_bytes(format!("{organisation}\n{key}").as_bytes());
    Ok(format_compact!("batch_{}", &hash[..JOB_ID_DIGITS]))
}

fn existing_job(plan: &JobPlan, found: JobRow) -> Result<(JobId, JobRow), Problem> {
    if found.body_hash == plan.body_hash && found.organisation == plan.organisation {
        return Ok((plan.job.clone(), found));
    }
    let reason = "the idempotency key was used with another body";
    Err(Problem::new(ResultCode::KeyReused, reason).with_field("idempotency-key"))
}

fn invalid_field(field: &str, reason: &str) -> Problem {
    Problem::new(ResultCode::BadRequest, reason).with_field(field)
}

/// Parses a window such as `24h`, `90m` or `7d` into seconds.
fn parse_window(window: &str) -> Result<u64, Problem> {
    let invalid = || {
        invalid_field(
            "completion_window",
            "must be a number from 1 to 9999 followed by m, h or d",
        )
    };
    let unit = window.chars().last().ok_or_else(invalid)?;
    let seconds = match unit {
        'm' => 60,
        'h' => 3_600,
        'd' => 86_400,
        _ => return Err(invalid()),
    };
    let count = window.trim_end_matches(unit).parse::<u64>();
    let count = count.ok().filter(|count| (1..10_000).contains(count));
    Ok(count.ok_or_else(invalid)? * seconds)
}
