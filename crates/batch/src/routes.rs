//! HTTP handlers of `/v1/files` and `/v1/batches`.

use crate::files::FileWriter;
use crate::results::ContentSource;
use crate::service::BatchHandle;
use actix_multipart::Multipart;
use actix_web::http::header::{ACCEPT_RANGES, CONTENT_RANGE, HeaderName, RANGE};
use actix_web::{HttpMessage as _, HttpRequest, HttpResponse, web};
use futures_util::stream::StreamExt as _;
use plantainmill_core::{OrganisationId, Problem, ResultCode};
use plantainmill_schema::openai::{BatchCreate, FileObject};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::ops::Range;

/// Largest body of a request that creates a batch.
const CREATE_LIMIT_BYTES: usize = 256 * 1024;
/// Longest form field of an upload other than the file.
const FIELD_LIMIT_BYTES: usize = 1_024;
const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The authenticated caller, which the gateway stores in the extensions of the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Organisation that owns the API key of the request.
    pub organisation: OrganisationId,
}

/// Adds the file and batch routes. The application must provide `web::Data<BatchHandle>`, and a [`Caller`] in the
/// extensions of each request.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/files", web::post().to(upload_file))
        .route("/v1/files/{id}", web::get().to(get_file))
        .route("/v1/files/{id}", web::delete().to(delete_file))
        .route("/v1/files/{id}/content", web::get().to(get_content))
        .route("/v1/batches", web::post().to(create_batch))
        .route("/v1/batches", web::get().to(list_batches))
        .route("/v1/batches/{id}", web::get().to(get_batch))
        .route("/v1/batches/{id}/cancel", web::post().to(cancel_batch));
}

/// Query parameters of a list of batches.
#[derive(Debug, Deserialize)]
struct ListQuery {
    after: Option<String>,
    limit: Option<u32>,
}

/// Response to the deletion of a file.
#[derive(Debug, Serialize)]
struct DeletedFile {
    id: String,
    object: &'static str,
    deleted: bool,
}

fn organisation_of(request: &HttpRequest) -> Result<OrganisationId, Problem> {
    let extensions = request.extensions();
    let caller = extensions.get::<Caller>();
    caller
        .map(|caller| caller.organisation.clone())
        .ok_or_else(|| Problem::new(ResultCode::KeyMissing, "the route requires an API key"))
}

/// Form fields of an upload received so far.
#[derive(Default)]
struct UploadForm {
    filename: Option<String>,
    purpose: Option<String>,
    writer: Option<FileWriter>,
}

async fn upload_file(
    request: HttpRequest,
    handle: web::Data<BatchHandle>,
    mut payload: Multipart,
) -> Result<HttpResponse, Problem> {
    let organisation = organisation_of(&request)?;
    let mut form = UploadForm::default();
    while let Some(field) = payload.next().await {
        let field = field.map_err(|error| invalid_form("body", &error.to_string()))?;
        read_field(&handle, &mut form, field).await?;
    }
    let missing = |name: &str| invalid_form(name, "the field is missing");
    let purpose = form.purpose.ok_or_else(|| missing("purpose"))?;
    let writer = form.writer.ok_or_else(|| missing("file"))?;
    let filename = form.filename.unwrap_or_else(|| "upload.jsonl".to_owned());
    let object = writer.finish(&organisation, filename, purpose).await?;
    Ok(HttpResponse::Ok().json(object))
}

async fn read_field(
    handle: &BatchHandle,
    form: &mut UploadForm,
    mut field: actix_multipart::Field,
) -> Result<(), Problem> {
    match field.name() {
        Some("file") => {
            if form.writer.is_some() {
                return Err(invalid_form("file", "the field is repeated"));
            }
            let disposition = field.content_disposition();
            let filename = disposition.and_then(|found| found.get_filename());
            form.filename = filename.map(str::to_owned);
            let mut writer = FileWriter::start(&handle.store).await?;
            while let Some(chunk) = field.next().await {
                let chunk = chunk.map_err(|error| invalid_form("file", &error.to_string()))?;
                writer.write(&chunk).await?;
            }
            form.writer = Some(writer);
        }
        name => {
            let is_purpose = name == Some("purpose");
            let text = read_text(&mut field).await?;
            if is_purpose {
                form.purpose = Some(text);
            }
        }
    }
    Ok(())
}

async fn read_text(field: &mut actix_multipart::Field) -> Result<String, Problem> {
    let name = field.name().unwrap_or("body").to_owned();
    let mut content = Vec::new();
    while let Some(chunk) = field.next().await {
        let chunk = chunk.map_err(|error| invalid_form(&name, &error.to_string()))?;
        content.extend_from_slice(&chunk);
        if content.len() > FIELD_LIMIT_BYTES {
            return Err(invalid_form(&name, "the field is too long"));
        }
    }
    String::from_utf8(content).map_err(|_| invalid_form(&name, "the field is not UTF-8"))
}

fn invalid_form(field: &str, reason: &str) -> Problem {
    Problem::new(ResultCode::BadRequest, reason).with_field(field)
}

async fn get_file(
    request: HttpRequest,
    handle: web::Data<BatchHandle>,
    id: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let organisation = organisation_of(&request)?;
    let source = handle.store.open_content(&organisation, &id).await?;
    Ok(HttpResponse::Ok().json(source.object))
}

async fn delete_file(
    request: HttpRequest,
    handle: web::Data<BatchHandle>,
    id: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let organisation = organisation_of(&request)?;
    handle.store.delete_file(&organisation, &id).await?;
    Ok(HttpResponse::Ok().json(DeletedFile {
        id: id.into_inner(),
        object: "file",
        deleted: true,
    }))
}

async fn get_content(
    request: HttpRequest,
    handle: web::Data<BatchHandle>,
    id: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let organisation = organisation_of(&request)?;
    let source = handle.store.open_content(&organisation, &id).await?;
    let header = request.headers().get(RANGE);
    let requested = header.and_then(|value| value.to_str().ok());
    let Some(size) = source.size else {
        let body = source.stream(0..u64::MAX);
        return Ok(HttpResponse::Ok()
            .content_type("application/jsonl")
            .streaming(body));
    };
    let requested = requested.map_or(RequestedRange::Whole, |text| parse_range(text, size));
    Ok(match requested {
        RequestedRange::Whole => send_range(source, 0..size, None),
        RequestedRange::Part(range) => send_range(source, range, Some(size)),
        RequestedRange::Unsatisfiable => HttpResponse::RangeNotSatisfiable()
            .insert_header((CONTENT_RANGE, format!("bytes */{size}")))
            .finish(),
    })
}

/// Streams a range of the content; `total`, the size of the file, is given for a partial response.
fn send_range(source: ContentSource, range: Range<u64>, total: Option<u64>) -> HttpResponse {
    let mut builder = match total {
        None => HttpResponse::Ok(),
        Some(total) => {
            let text = format!("bytes {}-{}/{total}", range.start, range.end - 1);
            let mut builder = HttpResponse::PartialContent();
            builder.insert_header((CONTENT_RANGE, text));
            builder
        }
    };
    let length = range.end - range.start;
    builder
        .insert_header((ACCEPT_RANGES, "bytes"))
        .content_type(content_type(&source.object))
        .no_chunking(length)
        .streaming(source.stream(range))
}

fn content_type(object: &FileObject) -> &'static str {
    match object.purpose.as_str() {
        "batch" | "batch_output" => "application/jsonl",
        _ => "application/octet-stream",
    }
}

/// Range requested by a `Range` header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestedRange {
    /// The whole file, because the header is malformed, uses another unit, or names several ranges.
    Whole,
    /// These bytes; the range is not empty and lies within the file.
    Part(Range<u64>),
    /// None of the requested bytes exists.
    Unsatisfiable,
}

/// Parses a `Range` header for a file of `size` bytes. Headers that it does not support are ignored, as HTTP allows.
#[must_use]
pub fn parse_range(text: &str, size: u64) -> RequestedRange {
    let bounds = text
        .strip_prefix("bytes=")
        .and_then(|text| text.split_once('-'));
    let Some((from, until)) = bounds.map(|(from, until)| (from.trim(), until.trim())) else {
        return RequestedRange::Whole;
    };
    let range = match (from.parse::<u64>(), until.parse::<u64>()) {
        (Ok(start), Ok(last)) if start <= last => start..size.min(last.saturating_add(1)),
        (Ok(start), Err(_)) if until.is_empty() => start..size,
        (Err(_), Ok(count)) if from.is_empty() => size.saturating_sub(count)..size,
        _ => return RequestedRange::Whole,
    };
    if range.is_empty() {
        return RequestedRange::Unsatisfiable;
    }
    RequestedRange::Part(range)
}

async fn create_batch(
    request: HttpRequest,
    handle: web::Data<BatchHandle>,
    body: web::Payload,
) -> Result<HttpResponse, Problem> {
    let organisation = organisation_of(&request)?;
    let key = idempotency_key(&request)?;
    let content = body.to_bytes_limited(CREATE_LIMIT_BYTES).await;
    let content = content
        .map_err(|_| Problem::new(ResultCode::BodyTooLarge, "the body is too long"))?
        .map_err(|error| invalid_form("body", &error.to_string()))?;
    let create: BatchCreate = serde_json::from_slice(&content)
        .map_err(|error| invalid_form("body", &error.to_string()))?;
    let (job, row) = handle.create(&organisation, create, key.as_deref()).await?;
    let object = handle.store.job_object(&job, &row).await?;
    Ok(HttpResponse::Ok().json(object))
}

fn idempotency_key(request: &HttpRequest) -> Result<Option<String>, Problem> {
    let mut values = request.headers().get_all(IDEMPOTENCY_HEADER);
    let invalid =
        |reason: &str| Problem::new(ResultCode::BadHeader, reason).with_field("idempotency-key");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid("the header is repeated"));
    }
    let text = value
        .to_str()
        .map_err(|_| invalid("the header is not ASCII"))?;
    Ok(Some(text.to_owned()))
}

async fn list_batches(
    request: HttpRequest,
    handle: web::Data<BatchHandle>,
    query: web::Query<ListQuery>,
) -> Result<HttpResponse, Problem> {
    let organisation = organisation_of(&request)?;
    let limit = query.limit.unwrap_or(20);
    let list = handle
        .store
        .list_jobs(&organisation, query.after.as_deref(), limit);
    let list = list.await?;
    let first_id = list.data.first().map(|batch| batch.id.clone());
    let last_id = list.data.last().map(|batch| batch.id.clone());
    Ok(HttpResponse::Ok().json(json!({
        "object": list.object,
        "data": list.data,
        "first_id": first_id,
        "last_id": last_id,
        "has_more": list.has_more,
    })))
}

async fn get_batch(
    request: HttpRequest,
    handle: web::Data<BatchHandle>,
    id: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let organisation = organisation_of(&request)?;
    let (_, row) = handle.store.owned_job(&organisation, &id).await?;
    let object = handle.store.job_object(&id, &row).await?;
    Ok(HttpResponse::Ok().json(object))
}

async fn cancel_batch(
    request: HttpRequest,
    handle: web::Data<BatchHandle>,
    id: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let organisation = organisation_of(&request)?;
    let row = handle.cancel(&organisation, &id).await?;
    let object = handle.store.job_object(&id, &row).await?;
    Ok(HttpResponse::Ok().json(object))
}
