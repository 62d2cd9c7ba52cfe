//! Numbered result codes. `docs/result-codes.md` is generated from this table by `plantainmill codes`.

use serde::{Deserialize, Serialize};

/// Describes one result code.
#[derive(Clone, Copy, Debug)]
pub struct CodeEntry {
    /// Stable number, sent in the header `plantainmill-result`.
    pub number: u16,
    /// Stable name, sent in the `code` field of error responses.
    pub name: &'static str,
    /// HTTP status of responses with this code to requests that have not run.
    pub http_status: u16,
    /// One sentence on when the code is returned.
    pub meaning: &'static str,
    /// One sentence on what the caller or operator should do.
    pub action: &'static str,
}

macro_rules! result_codes {
    ($($variant:ident = $number:literal, $name:literal, $status:literal, $meaning:literal, $action:literal;)*) => {
        /// A numbered result of a request. Numbers and names are stable and never change their meaning.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ResultCode {
            $(#[doc = $meaning] $variant,)*
        }

        impl ResultCode {
            /// All codes in ascending order.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)*];

            /// Number, name, HTTP status and texts of this code.
            #[must_use]
            pub fn entry(self) -> CodeEntry {
                match self {
                    $(ResultCode::$variant => CodeEntry {
                        number: $number,
                        name: $name,
                        http_status: $status,
                        meaning: $meaning,
                        action: $action,
                    },)*
                }
            }
        }
    };
}

result_codes! {
    BadRequest = 1001, "bad_request", 400, "The request is malformed.", "Correct the named field.";
    BodyTooLarge = 1002, "body_too_large", 413, "The body exceeds the limit.", "Send less, or split the request.";
    UnknownRoute = 1003, "unknown_route", 404, "No such route.", "Check the path.";
    UnknownService = 1004, "unknown_service", 404, "No such service or model.", "List the models.";
    BadHeader = 1005, "bad_header", 400, "A header is malformed, repeated or too long.", "Correct the named header.";
    DeadlinePassed = 1006, "deadline_passed", 504, "The request's deadline passed.", "Repeat with more time.";
    KeyMissing = 2001, "key_missing", 401, "The route needs a key and none came.", "Send Authorization: Bearer KEY.";
    KeyUnknown = 2002, "key_unknown", 401, "The key is not valid, was withdrawn or has expired.", "Ask the operator for a key.";
    RateExceeded = 2003, "rate_exceeded", 429, "The organisation's rate and burst are used up.", "Repeat after Retry-After.";
    KeyUnchecked = 2004, "key_unchecked", 503, "The VM is cut off and could not re-check the key in time.", "Repeat through another VM.";
    AddressRateExceeded = 2005, "address_rate_exceeded", 429, "The client address used up its rate on an open route.", "Repeat after Retry-After.";
    NoTarget = 3001, "no_target", 503, "No target of the service is available.", "Repeat later; operators check targets.";
    QueueFull = 3002, "queue_full", 503, "The wait would pass the deadline or the queue is full.", "Repeat after Retry-After.";
    TargetFailed = 3003, "target_failed", 502, "The target failed before a whole answer.", "See executed; repeat if that is safe.";
    TargetTimeout = 3004, "target_timeout", 504, "The target did not answer in time.", "See executed; repeat if that is safe.";
    AnswerInvalid = 3005, "answer_invalid", 502, "The target's answer was malformed, cut or belonged to another request.", "See executed; repeat if that is safe.";
    Draining = 3006, "draining", 503, "The VM is stopping.", "Repeat through another VM.";
    OutcomeUnknown = 3007, "outcome_unknown", 409, "An earlier call with this idempotency key has an unknown outcome.", "Check with the service before calling again.";
    KeyReused = 3008, "idempotency_key_reused", 409, "The idempotency key was used with another body.", "Use a new key.";
    CallInProgress = 3009, "call_in_progress", 409, "A call with this idempotency key is still running.", "Repeat after Retry-After.";
    Preempted = 3010, "preempted", 503, "Batch work gave way to online work.", "None; the item runs again.";
    TargetRefused = 3011, "target_refused", 503, "The target refused the request without running it.", "Repeat after Retry-After.";
    PartQuarantined = 3012, "part_quarantined", 503, "Targets were lost one after the other under a part of the prompt, so requests with it are rejected.", "Send the request without that part; operators see the quarantine page.";
    TargetLimited = 3013, "target_limited", 503, "All targets of the service have named limits that are used up.", "Repeat after Retry-After; operators add targets.";
    RequestQuarantined = 3014, "request_quarantined", 503, "Targets were lost one after the other under this request, so it is rejected when it comes again.", "Change the request; operators see the quarantine page.";
    VersionGone = 3015, "version_gone", 503, "No target has the software version at which the stream began, so it cannot go on.", "Send the request anew, without the last event id.";
    VersionUnknown = 3016, "version_unknown", 503, "The software version at which the stream began cannot be determined now.", "Repeat after Retry-After, or send the request anew.";
    TargetsUnreachable = 3017, "targets_unreachable", 503, "The VM has lost its paths to all targets, and no other VM reaches them for it.", "Repeat through another VM, after Retry-After; operators check the network.";
    RegionUnavailable = 3018, "region_unavailable", 503, "No target is available in a region in which the request may be served.", "Repeat after Retry-After; operators check the allowed regions and the targets there.";
    FileInvalid = 4001, "file_invalid", 400, "The uploaded file is malformed.", "Correct the named lines.";
    UnknownFile = 4002, "unknown_file", 404, "No such file.", "Check the id.";
    UnknownBatch = 4003, "unknown_batch", 404, "No such batch.", "Check the id.";
    BatchEnded = 4004, "batch_ended", 409, "The batch has already ended.", "None.";
    ItemFailed = 4005, "item_failed", 422, "The item cannot be done.", "See the reason.";
    AttemptsUsed = 4006, "attempts_used", 422, "The item was stopped after its last attempt.", "Check the item; it may crash its target.";
    ItemCancelled = 4007, "item_cancelled", 409, "The job was cancelled before the item ran.", "None.";
    JobsFull = 4008, "jobs_full", 429, "The tokens that the organisation may have waiting on the route are used up.", "Repeat after Retry-After.";
    JobInvalid = 4009, "job_invalid", 400, "The submitted job is malformed.", "Correct the body.";
    ConfigInvalid = 5001, "config_invalid", 400, "The configuration change is not valid.", "Correct the named field.";
    VersionMismatch = 5002, "version_mismatch", 412, "Another change came first.", "Read the current version and repeat.";
    ConditionMissing = 5003, "condition_missing", 428, "The change has no If-Match header.", "Send If-Match with the current version or *.";
    UnknownResource = 5004, "unknown_resource", 404, "No such resource.", "Check the id.";
    StoreReverted = 5005, "store_reverted", 503, "The table holds an older version than this VM.", "Repair the table; see the operators' page.";
    OperatorKey = 5006, "operator_key", 401, "The operator key is missing or wrong.", "Send Authorization: Bearer KEY.";
    ReasonMissing = 5007, "reason_missing", 400, "The change has no reason.", "Send a reason.";
    FrameRejected = 6001, "frame_rejected", 400, "A mesh frame was foreign, old or malformed.", "Check the fleet secret and versions.";
    PeerUnreachable = 6002, "peer_unreachable", 503, "A VM cannot be reached.", "Check the network.";
    StoreUnavailable = 7001, "store_unavailable", 503, "The table or object store is not available; nothing was written.", "Repeat later.";
    StoreUnknown = 7002, "store_unknown", 503, "The store's answer was lost; the write may have taken effect.", "Read before writing again.";
    RowInvalid = 7003, "row_invalid", 500, "A stored row or object is malformed.", "Check the named row.";
    StoreLate = 7004, "store_late", 504, "The store did not say in time whether the write took effect.", "Repeat the same call.";
    SettingsInvalid = 8001, "settings_invalid", 400, "The settings are not valid.", "Correct the named field.";
    ListenFailed = 8002, "listen_failed", 500, "A listener could not be opened.", "Check the address and whether the port is in use.";
    Internal = 9001, "internal", 500, "An internal error.", "Report it with the log.";
}

impl ResultCode {
    /// Stable number, sent in the header `plantainmill-result`.
    #[must_use]
    pub fn number(self) -> u16 {
        self.entry().number
    }

    /// Stable name, sent in the `code` field of error responses.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.entry().name
    }

    /// HTTP status of responses with this code to requests that have not run; see [`crate::Problem::http_status`].
    #[must_use]
    pub fn http_status(self) -> u16 {
        self.entry().http_status
    }
}

/// Whether a response with this HTTP status tells the caller that its request has not run and never will.
#[must_use]
pub fn promises_no_run(http_status: u16) -> bool {
    matches!(http_status, 408 | 421 | 429 | 503)
}

/// The content of `docs/result-codes.md`. A test checks that the committed page is up to date.
#[must_use]
pub fn markdown_page() -> String {
    let mut page = String::from(
        "# Result codes\n\n\
         Generated by `plantainmill codes --markdown`. A response carries its code in the header\n\
         `plantainmill-result` and in the field `result` of the error object.\n\n\
         The statuses 429 and 503 promise that the request has not run and never will. Where `executed` is not `no`,\n\
         the status of such a code is 502, without `Retry-After`.\n\n\
         | number | name | HTTP | meaning | what to do |\n| --- | --- | --- | --- | --- |\n",
    );
    for code in ResultCode::ALL {
        let entry = code.entry();
        let cells = [
            entry.number.to_string(),
            format!("`{}`", entry.name),
            entry.http_status.to_string(),
            entry.meaning.to_owned(),
            entry.action.to_owned(),
        ];
        page.push_str(&format_row(&cells));
    }
    page
}

fn format_row(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}
