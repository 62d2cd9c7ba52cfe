//! Log lines of requests that end with a problem.

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::{Next, from_fn};
use actix_web::test::{TestRequest, init_service, try_call_service};
use actix_web::{App, Error, HttpMessage as _, HttpRequest, HttpResponse, web};
use plantainmill_batch::Caller;
use plantainmill_core::{Executed, Problem, ResultCode};
use plantainmill_node::problem_log::log_problems;
use serde_json::Value;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = self.0.lock().expect("not poisoned");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

async fn serve() -> HttpResponse {
    HttpResponse::Ok().finish()
}

async fn fail(request: HttpRequest) -> Result<HttpResponse, Problem> {
    let organisation = "ward".into();
    request.extensions_mut().insert(Caller { organisation });
    Err(Problem::new(ResultCode::QueueFull, "no slot").with_executed(Executed::Unknown))
}

async fn reject(
    _request: ServiceRequest,
    _next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse, Error> {
    let problem = Problem::new(ResultCode::Draining, "stopping");
    Err(problem.with_retry_after(Duration::from_secs(1)).into())
}

/// Guards against a refusal of which the log does not say whose it was, by a handler or before it.
#[actix_rt::test]
async fn problem_lines() {
    let buffer = SharedBuffer::default();
    let written = buffer.clone();
    let output = tracing_subscriber::fmt().json().flatten_event(true);
    let output = output.with_writer(move || written.clone()).finish();
    let guard = tracing::subscriber::set_default(output);
    let rejecting = web::scope("/rejected").wrap(from_fn(reject));
    let app = App::new()
        .wrap(from_fn(log_problems))
        .route("/served", web::get().to(serve))
        .route("/failed", web::get().to(fail))
        .service(rejecting.default_service(web::to(serve)));
    let service = init_service(app).await;
    for path in ["/served", "/failed?secret=1", "/rejected/1"] {
        let request = TestRequest::get().uri(path).to_request();
        let response = try_call_service(&service, request).await;
        assert_eq!(response.is_err(), path.starts_with("/rejected"));
    }
    drop(guard);
    let text = buffer.0.lock().expect("not poisoned").clone();
    let lines = text
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    let lines: Vec<Value> = lines
        .map(|line| serde_json::from_slice(line).expect("JSON"))
        .collect();
    let fields = |line: &Value| {
        [
            "event",
            "path",
            "organisation",
            "code",
            "executed",
            "retry_ms",
        ]
        .map(|name| line[name].as_str().unwrap_or("-").to_owned())
    };
    let expected = [
        [
            "request_ended",
            "/failed",
            "ward",
            "queue_full",
            "unknown",
            "-",
        ],
        [
            "request_ended",
            "/rejected/1",
            "-",
            "draining",
            "no",
            "1000",
        ],
    ];
    assert_eq!(lines.iter().map(fields).collect::<Vec<_>>(), expected);
}
