//! Uploaded files: stored as objects of fixed size, the pieces, and one row.

use crate::rows::{FileRow, PIECE_BYTES, expiry_key, file_key, piece_name};
use crate::store::{JobStore, to_value};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use plantainmill_core::secret::new_id;
use plantainmill_core::{OrganisationId, Problem, ResultCode};
use plantainmill_provider::{Expected, TableWrite};
use plantainmill_schema::openai::FileObject;
use serde_json::json;

/// Largest uploaded file, in bytes; a larger upload is refused.
pub const FILE_LIMIT_BYTES: u64 = 1024 * 1024 * 1024;

/// Stores an upload as it arrives. Keeps at most one piece in memory, plus the bytes of the last write.
pub struct FileWriter {
    store: JobStore,
    /// Id of the file, set at the start of the upload.
    pub id: CompactString,
    buffer: BytesMut,
    pieces: u64,
    bytes: u64,
    /// Key of the row by which the pieces are deleted if the upload is not completed.
    expiry: CompactString,
}

/// Time after which the objects of an unfinished upload or job creation are deleted, in seconds.
pub const UNFINISHED_RETENTION_S: u64 = 86_400;

impl FileWriter {
    /// Starts an upload under a new id.
    ///
    /// # Errors
    ///
    /// The problem of the store.
    pub async fn start(store: &JobStore) -> Result<FileWriter, Problem> {
        let id = new_id("file-");
        let expiry = expiry_key(store.now_unix() + UNFINISHED_RETENTION_S, "upload", &id);
        let write = TableWrite::new().put(expiry.clone(), json!({}));
        store.create::<serde_json::Value>(write, &expiry).await?;
        Ok(FileWriter {
            store: store.clone(),
            id,
            buffer: BytesMut::new(),
            pieces: 0,
            bytes: 0,
            expiry,
        })
    }

    /// Appends `content` to the file.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge` above [`FILE_LIMIT_BYTES`], else the problem of the store.
    pub async fn write(&mut self, content: &[u8]) -> Result<(), Problem> {
        self.bytes += content.len() as u64;
        if self.bytes > FILE_LIMIT_BYTES {
            let reason = format!("the file is longer than {FILE_LIMIT_BYTES} bytes");
            return Err(Problem::new(ResultCode::BodyTooLarge, reason).with_field("file"));
        }
        self.buffer.extend_from_slice(content);
        while self.buffer.len() >= PIECE_BYTES {
            let piece = self.buffer.split_to(PIECE_BYTES).freeze();
            self.put(piece).await?;
        }
        Ok(())
    }

    async fn put(&mut self, piece: Bytes) -> Result<(), Problem> {
        let name = piece_name(&self.id, self.pieces);
        self.store.put_object(&name, piece).await?;
        self.pieces += 1;
        Ok(())
    }

    /// Completes the upload. The file exists once this returns successfully.
    ///
    /// # Errors
    ///
    /// The problem of the store.
    pub async fn finish(
        mut self,
        organisation: &OrganisationId,
        filename: String,
        purpose: String,
    ) -> Result<FileObject, Problem> {
        let rest = self.buffer.split().freeze();
        if !rest.is_empty() {
            self.put(rest).await?;
        }
        let created_at = self.store.now_unix();
        let retention = self.store.config.load().defaults.result_retention_s;
        let row = FileRow {
            organisation: organisation.clone(),
            filename,
            purpose,
            bytes: self.bytes,
            created_at,
            expires_at: created_at + retention,
        };
        let key = file_key(&self.id);
        let write = TableWrite::new()
            .expect(key.clone(), Expected::Absent)
            .put(key.clone(), to_value(&row))
            .put(expiry_key(row.expires_at, "file", &self.id), json!({}))
            .delete(self.expiry.clone());
        // The id is random, so an existing row can only be this upload's own.
        self.store.create::<FileRow>(write, &key).await?;
        Ok(to_object(&self.id, &row))
    }
}

/// The `OpenAI` file object of a row.
#[must_use]
pub fn to_object(id: &str, row: &FileRow) -> FileObject {
    FileObject {
        bytes: row.bytes,
        created_at: row.created_at,
        filename: row.filename.clone(),
        id: id.to_owned(),
        object: "file".to_owned(),
        purpose: row.purpose.clone(),
    }
}

/// The problem for a file that does not exist or belongs to another organisation.
#[must_use]
pub fn unknown_file(id: &str) -> Problem {
    Problem::new(ResultCode::UnknownFile, format!("no file {id:?}"))
}

impl JobStore {
    /// Reads the row of an uploaded file that belongs to `organisation`.
    ///
    /// # Errors
    ///
    /// `UnknownFile`, or the problem of the store.
    pub async fn read_file(&self, organisation: &str, id: &str) -> Result<FileRow, Problem> {
        let row = self.read::<FileRow>(&file_key(id)).await?;
        row.map(|(_, row)| row)
            .filter(|row| row.organisation == organisation)
            .ok_or_else(|| unknown_file(id))
    }

    /// Deletes an uploaded file. Jobs that were created from it have their own copy of the items.
    ///
    /// # Errors
    ///
    /// `UnknownFile`, or the problem of the store.
    pub async fn delete_file(&self, organisation: &str, id: &str) -> Result<(), Problem> {
        let row = self.read_file(organisation, id).await?;
        // The new expiry row is due at once, so a sweep of any VM deletes the pieces.
        let write = TableWrite::new()
            .delete(file_key(id))
            .delete(expiry_key(row.expires_at, "file", id))
            .put(expiry_key(self.now_unix(), "upload", id), json!({}));
        self.create::<FileRow>(write, &file_key(id)).await?;
        Ok(())
    }

    /// Reads piece `piece`, counted from 0, of an uploaded file.
    ///
    /// # Errors
    ///
    /// The problem of the store.
    pub async fn read_piece(&self, id: &str, piece: u64) -> Result<Bytes, Problem> {
        self.get_object(&piece_name(id, piece)).await
    }
}
