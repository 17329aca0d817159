//! Conversion of the messages in remote procedure calls between hosts.

use std::time::Duration;

use kernel::{
    fault::Fault,
    name::Upstream,
    permit::{Holder, Number, Outcome, Permit, Request, Verdict},
    reference::{Loaded, Reference},
};

use crate::{
    Invalid, comfreywing_capnp as schema,
    text::{RawText, read_address, read_field, read_name, read_text},
};

/// The maximum length of a fault's detail. A longer detail is truncated when the fault is encoded.
const MAX_DETAIL_BYTES: usize = 1024;

/// A notice from the holder of a permit to the steward that the permit is no longer used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Release {
    /// The engine for which the permit was granted.
    pub engine: Upstream,
    /// The steward's fencing token under which the permit was granted.
    pub fence: u64,
    /// The number of the permit.
    pub number: Number,
    /// The outcome of using the permit.
    pub outcome: Outcome,
}

fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn read_reference(field: &'static str, raw: RawText<'_>) -> Result<Reference, Invalid> {
    let text = read_text(field, raw)?;
    text.parse()
        .map_err(|reason| Invalid::Reference { field, reason })
}

fn read_loaded(field: &'static str, raw: RawText<'_>) -> Result<Loaded, Invalid> {
    let text = read_text(field, raw)?;
    text.parse()
        .map_err(|reason| Invalid::Reference { field, reason })
}

/// Encodes an incarnation of a host.
pub fn write_holder(holder: &Holder, mut to: schema::holder::Builder<'_>) {
    to.set_host(holder.host.as_str());
    to.set_incarnation(holder.incarnation);
}

/// Decodes an incarnation of a host.
pub fn read_holder(holder: schema::holder::Reader<'_>) -> Result<Holder, Invalid> {
    Ok(Holder {
        host: read_name("holder.host", holder.get_host())?,
        incarnation: holder.get_incarnation(),
    })
}

/// Encodes a permit request.
pub fn write_permit_request(request: &Request, mut to: schema::ask::Builder<'_>) {
    to.set_request(request.request.as_str());
    write_holder(&request.holder, to.reborrow().init_holder());
    to.set_reference(request.reference.to_string());
    to.set_model(request.model.as_str());
    to.set_tenant(request.tenant.as_str());
    to.set_class(request.class.as_str());
    to.set_remaining_us(to_micros(request.remaining));
    to.set_prefix(request.prefix);
    to.set_max_tokens(request.max_tokens);
}

/// Decodes a permit request.
pub fn read_permit_request(request: schema::ask::Reader<'_>) -> Result<Request, Invalid> {
    let id = read_text("ask.request", request.get_request())?.parse();
    let class = read_text("ask.class", request.get_class())?.parse();
    Ok(Request {
        request: id.map_err(|reason| Invalid::Id {
            field: "ask.request",
            reason,
        })?,
        holder: read_holder(read_field("ask.holder", request.get_holder())?)?,
        reference: read_reference("ask.reference", request.get_reference())?,
        model: read_name("ask.model", request.get_model())?,
        tenant: read_name("ask.tenant", request.get_tenant())?,
        class: class.map_err(|reason| Invalid::Class {
            field: "ask.class",
            reason,
        })?,
        remaining: Duration::from_micros(request.get_remaining_us()),
        prefix: request.get_prefix(),
        max_tokens: request.get_max_tokens(),
    })
}

/// Encodes a permit.
pub fn write_permit(permit: &Permit, mut to: schema::permit::Builder<'_>) {
    to.set_number(permit.number.0);
    to.set_upstream(permit.upstream.as_str());
    to.set_address(permit.address.to_string());
    to.set_loaded(permit.loaded.to_string());
    to.set_fence(permit.fence);
    to.set_start_by_us(to_micros(permit.start_by));
    to.set_run_by_us(to_micros(permit.run_by));
    to.set_load_stall_us(to_micros(permit.load_stall));
    to.set_queue_wait_us(to_micros(permit.queue_wait));
}

/// Decodes a permit.
pub fn read_permit(permit: schema::permit::Reader<'_>) -> Result<Permit, Invalid> {
    Ok(Permit {
        number: Number(permit.get_number()),
        upstream: read_name("permit.upstream", permit.get_upstream())?,
        address: read_address("permit.address", permit.get_address())?,
        loaded: read_loaded("permit.loaded", permit.get_loaded())?,
        fence: permit.get_fence(),
        start_by: Duration::from_micros(permit.get_start_by_us()),
        run_by: Duration::from_micros(permit.get_run_by_us()),
        load_stall: Duration::from_micros(permit.get_load_stall_us()),
        queue_wait: Duration::from_micros(permit.get_queue_wait_us()),
    })
}

fn truncate(detail: &str) -> &str {
    &detail[..detail.floor_char_boundary(MAX_DETAIL_BYTES)]
}

/// Encodes a fault.
pub fn write_fault(fault: &Fault, mut to: schema::fault::Builder<'_>) {
    to.set_kind(fault.kind.as_str());
    to.set_detail(truncate(&fault.detail));
    let mut retry_after = to.init_retry_after();
    match fault.retry_after {
        Some(delay) => retry_after.set_us(to_micros(delay)),
        None => retry_after.set_unknown(()),
    }
}

/// Decodes a fault.
pub fn read_fault(fault: schema::fault::Reader<'_>) -> Result<Fault, Invalid> {
    use schema::fault::retry_after::Which;
    let kind = read_text("fault.kind", fault.get_kind())?.parse();
    let retry_after = match fault.get_retry_after().which() {
        Ok(Which::Us(us)) => Some(Duration::from_micros(us)),
        Ok(Which::Unknown(())) | Err(_) => None,
    };
    Ok(Fault {
        kind: kind.map_err(|reason| Invalid::Kind {
            field: "fault.kind",
            reason,
        })?,
        detail: read_text("fault.detail", fault.get_detail())?.to_owned(),
        retry_after,
    })
}

/// Encodes a verdict.
pub fn write_verdict(verdict: &Verdict, mut to: schema::verdict::Builder<'_>) {
    match verdict {
        Verdict::Granted(permit) => write_permit(permit, to.init_granted()),
        Verdict::Refused(fault) => write_fault(fault, to.init_refused()),
        Verdict::NotSteward => to.set_elsewhere(()),
    }
}

/// Decodes a verdict.
pub fn read_verdict(verdict: schema::verdict::Reader<'_>) -> Result<Verdict, Invalid> {
    use schema::verdict::Which;
    let which = verdict.which().map_err(|_| Invalid::Unknown("verdict"))?;
    Ok(match which {
        Which::Granted(permit) => {
            Verdict::Granted(read_permit(read_field("verdict.granted", permit)?)?)
        }
        Which::Refused(fault) => {
            Verdict::Refused(read_fault(read_field("verdict.refused", fault)?)?)
        }
        Which::Elsewhere(()) => Verdict::NotSteward,
    })
}

/// Encodes a release.
pub fn write_release(release: &Release, mut to: schema::release::Builder<'_>) {
    to.set_engine(release.engine.as_str());
    to.set_fence(release.fence);
    to.set_number(release.number.0);
    to.set_outcome(match release.outcome {
        Outcome::Completed => schema::release::Outcome::Whole,
        Outcome::Unused => schema::release::Outcome::Unused,
        Outcome::Refused => schema::release::Outcome::Refused,
        Outcome::Interrupted => schema::release::Outcome::Broken,
        Outcome::Cancelled => schema::release::Outcome::Cancelled,
        Outcome::Leaving => schema::release::Outcome::Leaving,
    });
}

/// Decodes a release.
pub fn read_release(release: schema::release::Reader<'_>) -> Result<Release, Invalid> {
    let outcome = release.get_outcome();
    Ok(Release {
        engine: read_name("release.engine", release.get_engine())?,
        fence: release.get_fence(),
        number: Number(release.get_number()),
        outcome: match outcome.map_err(|_| Invalid::Unknown("release.outcome"))? {
            schema::release::Outcome::Whole => Outcome::Completed,
            schema::release::Outcome::Unused => Outcome::Unused,
            schema::release::Outcome::Refused => Outcome::Refused,
            schema::release::Outcome::Broken => Outcome::Interrupted,
            schema::release::Outcome::Cancelled => Outcome::Cancelled,
            schema::release::Outcome::Leaving => Outcome::Leaving,
        },
    })
}
