//! Converts request bodies of the administration API and tables of fleet files into the model.

use crate::change::{ConfigEdit, ResourceKind};
use crate::model::{
    DefaultsSpec, ExceptionSpec, KeySpec, OrganisationSpec, ServiceKind, ServiceSpec, Subject,
    TargetSpec,
};
use compact_str::CompactString;
use plantainmill_core::{Problem, ResultCode};
use plantainmill_schema::admin;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Converts the body of a service.
#[must_use]
pub fn service_spec(body: &admin::ServiceBody) -> ServiceSpec {
    ServiceSpec {
        kind: match body.kind {
            admin::ServiceKind::Model => ServiceKind::Model,
            admin::ServiceKind::Plain => ServiceKind::Plain,
        },
        open: body.open,
        repeatable: body.repeatable,
        hedge: body.hedge,
        timeout_ms: body.timeout_ms.get(),
        least_replicas: body.least_replicas,
        most_replicas: body.most_replicas,
    }
}

/// Converts the body of a target. A target without a state is not leaving.
///
/// # Errors
///
/// Fails if the address is not an IP address and a port.
pub fn target_spec(body: &admin::TargetBody) -> Result<TargetSpec, Problem> {
    let address = body.address.parse().map_err(|_| {
        let reason = format!("must be ip:port, is {:?}", body.address);
        Problem::new(ResultCode::ConfigInvalid, reason).with_field("address")
    })?;
    Ok(TargetSpec {
        service: body.service.as_str().into(),
        address,
        domain: body.domain.as_str().into(),
        region: body.region.as_str().into(),
        concurrency: body.concurrency.get(),
        checks_fencing: body.checks_fencing,
        leaving: body.state == Some(admin::TargetState::Leaving),
    })
}

/// Converts the body of an organisation.
#[must_use]
pub fn organisation_spec(body: &admin::OrganisationBody) -> OrganisationSpec {
    OrganisationSpec {
        rate: body.rate,
        burst: body.burst.get(),
        weight: body.weight.get(),
    }
}

/// Converts the body of a key, which holds the hash of the secret.
#[must_use]
pub fn key_spec(body: &admin::KeyBody) -> KeySpec {
    KeySpec {
        organisation: body.organisation.as_str().into(),
        hash: body.hash.as_str().into(),
        label: body.label.as_str().into(),
        expires_at: body.expires_at,
    }
}

/// Converts the body of the defaults.
#[must_use]
pub fn defaults_spec(body: &admin::DefaultsBody) -> DefaultsSpec {
    DefaultsSpec {
        key_recheck_limit_s: body.key_recheck_limit_s.get(),
        queue_wait_ms: body.queue_wait_ms,
        retry_budget_percent: body.retry_budget_percent,
        item_attempts: body.item_attempts.get(),
        result_retention_s: body.result_retention_s.get(),
        link_bytes_per_s: body.link_bytes_per_s,
        open_rate_per_s: body.open_rate_per_s.get(),
    }
}

/// Converts the body of an exception.
///
/// # Errors
///
/// Fails if the subject is neither `organisation/ID` nor `service/ID`.
pub fn exception_spec(body: &admin::ExceptionBody) -> Result<ExceptionSpec, Problem> {
    let subject = match body.subject.split_once('/') {
        Some(("organisation", id)) => Subject::Organisation(id.into()),
        Some(("service", id)) => Subject::Service(id.into()),
        _ => {
            let reason = format!(
                "must be organisation/ID or service/ID, is {:?}",
                body.subject
            );
            return Err(Problem::new(ResultCode::ConfigInvalid, reason).with_field("subject"));
        }
    };
    Ok(ExceptionSpec {
        subject,
        setting: body.setting.as_str().into(),
        value: body.value,
        reason: body.reason.clone(),
    })
}

/// Returns the edit that writes the resource `id` with the content of the JSON `body`.
///
/// # Errors
///
/// Fails if a field is missing, unknown or malformed; the reason names it.
pub fn edit_from_body(kind: ResourceKind, id: &str, body: Value) -> Result<ConfigEdit, Problem> {
    let id = CompactString::from(id);
    Ok(match kind {
        ResourceKind::Exception => ConfigEdit::PutException {
            spec: exception_spec(&decode(body)?)?,
            id,
        },
        ResourceKind::Key => ConfigEdit::PutKey {
            spec: key_spec(&decode(body)?),
            id,
        },
        ResourceKind::Organisation => ConfigEdit::PutOrganisation {
            spec: organisation_spec(&decode(body)?),
            id,
        },
        ResourceKind::Service => ConfigEdit::PutService {
            spec: service_spec(&decode(body)?),
            id,
        },
        ResourceKind::Target => ConfigEdit::PutTarget {
            spec: target_spec(&decode(body)?)?,
            id,
        },
    })
}

/// Returns the edit that replaces the defaults by the JSON `body`. Absent fields get their built-in value.
///
/// # Errors
///
/// Fails if a field is unknown or malformed; the reason names it.
pub fn defaults_from_body(body: Value) -> Result<ConfigEdit, Problem> {
    Ok(ConfigEdit::PutDefaults {
        spec: defaults_spec(&decode(body)?),
    })
}

fn decode<T: DeserializeOwned>(body: Value) -> Result<T, Problem> {
    serde_json::from_value(body).map_err(|error| {
        Problem::new(ResultCode::ConfigInvalid, error.to_string()).with_field("body")
    })
}
