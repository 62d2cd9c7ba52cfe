//! The platform over HTTP on loopback, with the wire format of `schemas/platform.json`.

use crate::listener::ServerTask;
use crate::memory::{MemoryPlatform, PlatformFault};
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::Method;
use actix_web::middleware::{Next, from_fn};
use actix_web::web::{self, Bytes, Data, Json, Path, Query, ServiceConfig};
use actix_web::{Error, HttpResponse};
use plantainmill_provider::{
    CommitOutcome, Expected, ObjectStore, RowEntry, StoreError, TableStore, TableWrite, VmEntry,
    VmList, VmState, WeightGrant, WeightStore,
};
use plantainmill_schema::platform as wire;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Largest body accepted, in bytes.
const BODY_LIMIT_BYTES: usize = 512 * 1024 * 1024;

/// How the stand-in of the platform behaves.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// Table commits and object writes per second; more are answered with 503.
    pub writes_per_s: u32,
    /// Reads per second; more are answered with 503.
    pub reads_per_s: u32,
    /// Time before each answer.
    pub delay: Duration,
}

impl Default for PlatformOptions {
    fn default() -> PlatformOptions {
        PlatformOptions {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            writes_per_s: 400,
            reads_per_s: 2_000,
            delay: Duration::ZERO,
        }
    }
}

/// Body of `POST /faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformFaultBody {
    /// What happens to calls from now on.
    pub fault: PlatformFault,
    /// Time before each answer, in milliseconds.
    pub delay_ms: u64,
}

/// Calls of one kind in a sliding second.
#[derive(Debug)]
struct CallBucket {
    level: f64,
    rate: f64,
    filled_at: Instant,
}

impl CallBucket {
    fn new(per_second: u32) -> CallBucket {
        let rate = f64::from(per_second);
        CallBucket {
            level: rate,
            rate,
            filled_at: Instant::now(),
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.level = (self.level + since.as_secs_f64() * self.rate).min(self.rate);
        let granted = self.level >= 1.0;
        if granted {
            self.level -= 1.0;
        }
        granted
    }
}

/// Limits and counts of the HTTP side.
#[derive(Debug)]
struct ServerLimits {
    reads: CallBucket,
    writes: CallBucket,
    delay: Duration,
    refused: u64,
}

/// What the handlers share.
#[derive(Clone)]
struct PlatformState {
    memory: MemoryPlatform,
    limits: Arc<Mutex<ServerLimits>>,
}

impl PlatformState {
    /// Takes one call from the rate of its kind. Returns the delay before its answer, or `None` above the rate.
    fn admit(&self, is_write: bool) -> Option<Duration> {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let bucket = if is_write {
            &mut limits.writes
        } else {
            &mut limits.reads
        };
        if bucket.take(now) {
            return Some(limits.delay);
        }
        limits.refused += 1;
        None
    }
}

/// Serves a [`MemoryPlatform`] over HTTP.
pub struct PlatformServer;

impl PlatformServer {
    /// Starts the server in the actix runtime of the caller.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(
        options: &PlatformOptions,
        memory: MemoryPlatform,
    ) -> anyhow::Result<RunningPlatform> {
        let limits = ServerLimits {
            reads: CallBucket::new(options.reads_per_s),
            writes: CallBucket::new(options.writes_per_s),
            delay: options.delay,
            refused: 0,
        };
        let state = PlatformState {
            memory: memory.clone(),
            limits: Arc::new(Mutex::new(limits)),
        };
        let task = ServerTask::start(options.address, move |config| {
            configure(config, state.clone());
        })?;
        Ok(RunningPlatform { memory, task })
    }
}

/// A running stand-in of the platform.
pub struct RunningPlatform {
    /// The state behind it.
    pub memory: MemoryPlatform,
    task: ServerTask,
}

impl RunningPlatform {
    /// Address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Base URL for the platform clients.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.task.stop().await;
    }
}

fn configure(config: &mut ServiceConfig, state: PlatformState) {
    let json = web::JsonConfig::default()
        .limit(BODY_LIMIT_BYTES)
        .content_type_required(false);
    config
        .app_data(Data::new(state))
        .app_data(json)
        .app_data(web::PayloadConfig::new(BODY_LIMIT_BYTES))
        .route("/faults", web::post().to(set_faults))
        .route("/counts", web::get().to(read_counts))
        .service(
            web::scope("")
                .wrap(from_fn(limit_rate))
                .route("/table/get", web::post().to(get_row))
                .route("/table/range", web::post().to(read_range))
                .route("/table/commit", web::post().to(commit_rows))
                .route("/objects", web::get().to(list_objects))
                .route("/objects/{name:.+}", web::get().to(get_object))
                .route("/objects/{name:.+}", web::put().to(put_object))
                .route("/objects/{name:.+}", web::delete().to(delete_object))
                .service(
                    web::resource("/vms")
                        .route(web::get().to(list_vms))
                        .route(web::put().to(set_vms)),
                )
                .route("/weights/request", web::post().to(request_weights)),
        );
}

/// Refuses calls above the rates and delays the others.
async fn limit_rate(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let is_object = request.path().starts_with("/objects");
    let changes = matches!(*request.method(), Method::PUT | Method::DELETE);
    let is_write = (is_object && changes) || request.path() == "/table/commit";
    let state = request.app_data::<Data<PlatformState>>().cloned();
    // Setting the list of VMs is a control of the stand-in, not a call of the platform.
    let is_control = request.path() == "/vms" && changes;
    let admitted = if is_control {
        Some(Duration::ZERO)
    } else {
        state.and_then(|state| state.admit(is_write))
    };
    let Some(delay) = admitted else {
        let refused = HttpResponse::ServiceUnavailable().body("rate exceeded");
        return Ok(request.into_response(refused).map_into_right_body());
    };
    let answer = next.call(request).await?;
    if !delay.is_zero() {
        actix_web::rt::time::sleep(delay).await;
    }
    Ok(answer.map_into_left_body())
}

/// A failed call: 503 only when it certainly had no effect.
fn store_failure(error: &StoreError) -> HttpResponse {
    match error {
        StoreError::Unavailable(reason) => HttpResponse::ServiceUnavailable().body(reason.clone()),
        StoreError::Unknown(reason) | StoreError::Malformed(reason) => {
            HttpResponse::InternalServerError().body(reason.clone())
        }
    }
}

fn json_answer<T, A: Serialize>(
    result: Result<T, StoreError>,
    convert: impl FnOnce(T) -> A,
) -> HttpResponse {
    match result {
        Ok(found) => HttpResponse::Ok().json(convert(found)),
        Err(error) => store_failure(&error),
    }
}

fn row_body(row: RowEntry) -> wire::RowBody {
    wire::RowBody {
        key: row.key.into(),
        revision: row.revision,
        value: row.value,
    }
}

async fn get_row(state: Data<PlatformState>, body: Json<wire::GetBody>) -> HttpResponse {
    let found = TableStore::get(&state.memory, &body.key).await;
    json_answer(found, |row| wire::GetAnswer {
        row: row.map(row_body),
    })
}

async fn read_range(state: Data<PlatformState>, body: Json<wire::RangeBody>) -> HttpResponse {
    let found = state.memory.range(&body.start, &body.end, body.limit).await;
    json_answer(found, |rows| wire::RangeAnswer {
        rows: rows.into_iter().map(row_body).collect(),
    })
}

async fn commit_rows(state: Data<PlatformState>, body: Json<wire::CommitBody>) -> HttpResponse {
    let outcome = state.memory.commit(table_write(body.into_inner())).await;
    json_answer(outcome, |outcome| match outcome {
        CommitOutcome::Committed { revision } => wire::CommitAnswer {
            conflict: None,
            revision: Some(revision),
        },
        CommitOutcome::Conflict { key } => wire::CommitAnswer {
            conflict: Some(key.into()),
            revision: None,
        },
    })
}

fn table_write(body: wire::CommitBody) -> TableWrite {
    let mut write = TableWrite::new();
    for condition in body.conditions {
        let expected = condition
            .revision
            .map_or(Expected::Absent, Expected::Revision);
        write = write.expect(condition.key, expected);
    }
    for put in body.puts {
        write = write.put(put.key, put.value);
    }
    body.deletes.into_iter().fold(write, TableWrite::delete)
}

/// Query of `GET /objects`.
#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list_objects(state: Data<PlatformState>, query: Query<ListQuery>) -> HttpResponse {
    let found = ObjectStore::list(&state.memory, &query.prefix).await;
    json_answer(found, |names| names)
}

async fn get_object(state: Data<PlatformState>, name: Path<String>) -> HttpResponse {
    match ObjectStore::get(&state.memory, &name).await {
        Ok(Some(content)) => HttpResponse::Ok().body(content),
        Ok(None) => HttpResponse::NotFound().finish(),
        Err(error) => store_failure(&error),
    }
}

async fn put_object(
    state: Data<PlatformState>,
    name: Path<String>,
    content: Bytes,
) -> HttpResponse {
    let result = state.memory.put(&name, content).await;
    json_answer(result, |()| serde_json::Value::Null)
}

async fn delete_object(state: Data<PlatformState>, name: Path<String>) -> HttpResponse {
    let result = state.memory.delete(&name).await;
    json_answer(result, |()| serde_json::Value::Null)
}

async fn list_vms(state: Data<PlatformState>) -> HttpResponse {
    let found = VmList::list(&state.memory).await;
    json_answer(found, |vms| wire::VmListAnswer {
        vms: vms.into_iter().map(vm_body).collect(),
    })
}

fn vm_body(vm: VmEntry) -> wire::VmBody {
    wire::VmBody {
        id: vm.id.into(),
        domain: vm.domain.into(),
        region: vm.region.into(),
        mesh: vm.mesh.to_string(),
        state: match vm.state {
            VmState::Live => wire::VmState::Live,
            VmState::Leaving => wire::VmState::Leaving,
        },
    }
}

async fn set_vms(state: Data<PlatformState>, body: Json<wire::VmListAnswer>) -> HttpResponse {
    let bodies = body.into_inner().vms.into_iter();
    let parsed: Result<Vec<VmEntry>, std::net::AddrParseError> = bodies.map(vm_entry).collect();
    match parsed {
        Ok(vms) => {
            state.memory.set_vms(vms);
            HttpResponse::NoContent().finish()
        }
        Err(error) => HttpResponse::BadRequest().body(format!("mesh: {error}")),
    }
}

fn vm_entry(body: wire::VmBody) -> Result<VmEntry, std::net::AddrParseError> {
    Ok(VmEntry {
        mesh: body.mesh.parse()?,
        id: body.id.into(),
        domain: body.domain.into(),
        region: body.region.into(),
        state: match body.state {
            wire::VmState::Live => VmState::Live,
            wire::VmState::Leaving => VmState::Leaving,
        },
    })
}

async fn request_weights(state: Data<PlatformState>, body: Json<wire::WeightBody>) -> HttpResponse {
    let grant = state.memory.request(&body.model).await;
    json_answer(grant, |grant| match grant {
        WeightGrant::Granted => wire::WeightAnswer {
            granted: true,
            wait_ms: 0,
        },
        WeightGrant::Wait(wait) => wire::WeightAnswer {
            granted: false,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        },
    })
}

async fn set_faults(state: Data<PlatformState>, body: Json<PlatformFaultBody>) -> HttpResponse {
    state.memory.set_fault(body.fault);
    let mut limits = state.limits.lock().unwrap_or_else(PoisonError::into_inner);
    limits.delay = Duration::from_millis(body.delay_ms);
    HttpResponse::NoContent().finish()
}

/// Answer of `GET /counts`.
#[derive(Serialize)]
struct CountsBody {
    #[serde(flatten)]
    store: crate::memory::StoreCounts,
    /// Calls refused above the rates.
    refused: u64,
    /// All reads together.
    reads: u64,
    /// All writes together.
    writes: u64,
}

async fn read_counts(state: Data<PlatformState>) -> HttpResponse {
    let store = state.memory.counts();
    let limits = state.limits.lock().unwrap_or_else(PoisonError::into_inner);
    HttpResponse::Ok().json(CountsBody {
        store,
        refused: limits.refused,
        reads: store.table_reads + store.object_reads,
        writes: store.table_writes + store.object_writes,
    })
}
