//! From the generated border types to edits.

use crate::change::{ConfigEdit, ResourceKind};
use crate::model::{
    DefaultsSpec, ExceptionSpec, KeySpec, OrganisationSpec, ServiceKind, ServiceSpec, Subject,
    TargetSpec,
};
use compact_str::CompactString;
use plantainmill_core::{Problem, ResultCode};
use plantainmill_schema::admin as wire;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The edit that writes `body` under `id`.
///
/// # Errors
///
/// Names the field that is missing, unknown or malformed.
pub fn edit_from_body(kind: ResourceKind, id: &str, body: Value) -> Result<ConfigEdit, Problem> {
    let id = CompactString::from(id);
    let place = place_of(kind, &id);
    Ok(match kind {
        ResourceKind::Exception => ConfigEdit::PutException {
            spec: exception_spec(decode(&place, body)?, &place)?,
            id,
        },
        ResourceKind::Key => ConfigEdit::PutKey {
            spec: key_spec(decode(&place, body)?),
            id,
        },
        ResourceKind::Organisation => ConfigEdit::PutOrganisation {
            spec: organisation_spec(&decode(&place, body)?),
            id,
        },
        ResourceKind::Service => ConfigEdit::PutService {
            spec: service_spec(&decode(&place, body)?),
            id,
        },
        ResourceKind::Target => ConfigEdit::PutTarget {
            spec: target_spec(decode(&place, body)?, &place)?,
            id,
        },
    })
}

/// The edit that replaces the defaults by `body`; absent fields take their built-in value.
///
/// # Errors
///
/// Names the field that is unknown or malformed.
pub fn defaults_from_body(body: Value) -> Result<ConfigEdit, Problem> {
    let body: wire::DefaultsBody = decode("defaults", body)?;
    Ok(ConfigEdit::PutDefaults {
        spec: DefaultsSpec {
            key_recheck_limit_s: body.key_recheck_limit_s.get(),
            queue_wait_ms: body.queue_wait_ms,
            retry_budget_percent: body.retry_budget_percent,
            item_attempts: body.item_attempts.get(),
            result_retention_s: body.result_retention_s.get(),
            link_bytes_per_s: body.link_bytes_per_s,
            open_rate_per_s: body.open_rate_per_s.get(),
        },
    })
}

fn place_of(kind: ResourceKind, id: &str) -> String {
    let section = match kind {
        ResourceKind::Exception => "exceptions",
        ResourceKind::Key => "keys",
        ResourceKind::Organisation => "organisations",
        ResourceKind::Service => "services",
        ResourceKind::Target => "targets",
    };
    format!("{section}.{id}")
}

fn decode<T: DeserializeOwned>(place: &str, body: Value) -> Result<T, Problem> {
    serde_json::from_value(body).map_err(|error| {
        Problem::new(ResultCode::ConfigInvalid, error.to_string()).with_field(place)
    })
}

fn exception_spec(body: wire::ExceptionBody, place: &str) -> Result<ExceptionSpec, Problem> {
    let subject = match body.subject.split_once('/') {
        Some(("organisation", id)) => Subject::Organisation(id.into()),
        Some(("service", id)) => Subject::Service(id.into()),
        _ => {
            let reason = "must be organisation/ID or service/ID";
            let problem = Problem::new(ResultCode::ConfigInvalid, reason);
            return Err(problem.with_field(format!("{place}.subject")));
        }
    };
    Ok(ExceptionSpec {
        subject,
        setting: body.setting.into(),
        value: body.value,
        reason: body.reason,
    })
}

fn key_spec(body: wire::KeyBody) -> KeySpec {
    KeySpec {
        organisation: body.organisation.into(),
        hash: body.hash.into(),
        label: body.label.into(),
        expires_at: body.expires_at,
    }
}

fn organisation_spec(body: &wire::OrganisationBody) -> OrganisationSpec {
    OrganisationSpec {
        rate: body.rate,
        burst: body.burst.get(),
        weight: body.weight.get(),
    }
}

fn service_spec(body: &wire::ServiceBody) -> ServiceSpec {
    ServiceSpec {
        kind: match body.kind {
            wire::ServiceKind::Model => ServiceKind::Model,
            wire::ServiceKind::Plain => ServiceKind::Plain,
        },
        open: body.open,
        repeatable: body.repeatable,
        hedge: body.hedge,
        timeout_ms: body.timeout_ms.get(),
        least_replicas: body.least_replicas,
        most_replicas: body.most_replicas,
    }
}

fn target_spec(body: wire::TargetBody, place: &str) -> Result<TargetSpec, Problem> {
    let address = body.address.parse().map_err(|_| {
        let reason = format!("{:?} is not an address such as 10.0.0.5:9000", body.address);
        Problem::new(ResultCode::ConfigInvalid, reason).with_field(format!("{place}.address"))
    })?;
    Ok(TargetSpec {
        service: body.service.into(),
        address,
        domain: body.domain.into(),
        region: body.region.into(),
        concurrency: body.concurrency.get(),
        checks_fencing: body.checks_fencing,
        leaving: body.state == Some(wire::TargetState::Leaving),
    })
}
