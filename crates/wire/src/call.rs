//! What travels in remote calls.

use std::time::Duration;

use kernel::{
    fault::Fault,
    name::Upstream,
    permit::{Holder, Number, Outcome, Permit, Request, Verdict},
    reference::{Loaded, Reference},
};

use crate::{
    Invalid, comfreywing_capnp as schema,
    text::{Raw, address, field, name, text},
};

/// Longest detail of a fault in bytes; a longer one is cut.
const MAX_DETAIL_BYTES: usize = 1024;

/// The end of a permit's use, as its holder reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Release {
    /// The engine.
    pub engine: Upstream,
    /// The steward's fencing number under which the permit was granted.
    pub fence: u64,
    /// The permit.
    pub number: Number,
    /// How its use ended.
    pub outcome: Outcome,
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn reference(field: &'static str, raw: Raw<'_>) -> Result<Reference, Invalid> {
    let text = text(field, raw)?;
    text.parse()
        .map_err(|reason| Invalid::Reference { field, reason })
}

fn loaded(field: &'static str, raw: Raw<'_>) -> Result<Loaded, Invalid> {
    let text = text(field, raw)?;
    text.parse()
        .map_err(|reason| Invalid::Reference { field, reason })
}

/// Writes a host's incarnation.
pub fn write_holder(holder: &Holder, mut to: schema::holder::Builder<'_>) {
    to.set_host(holder.host.as_str());
    to.set_incarnation(holder.incarnation);
}

/// Reads a host's incarnation.
pub fn read_holder(holder: schema::holder::Reader<'_>) -> Result<Holder, Invalid> {
    Ok(Holder {
        host: name("holder.host", holder.get_host())?,
        incarnation: holder.get_incarnation(),
    })
}

/// Writes a request for a place.
pub fn write_permit_request(ask: &Request, mut to: schema::ask::Builder<'_>) {
    to.set_request(ask.request.as_str());
    write_holder(&ask.holder, to.reborrow().init_holder());
    to.set_reference(ask.reference.to_string());
    to.set_model(ask.model.as_str());
    to.set_tenant(ask.tenant.as_str());
    to.set_class(ask.class.as_str());
    to.set_remaining_us(micros(ask.remaining));
    to.set_prefix(ask.prefix);
    to.set_max_tokens(ask.max_tokens);
}

/// Reads a request for a place.
pub fn read_permit_request(ask: schema::ask::Reader<'_>) -> Result<Request, Invalid> {
    let request = text("ask.request", ask.get_request())?.parse();
    let class = text("ask.class", ask.get_class())?.parse();
    Ok(Request {
        request: request.map_err(|reason| Invalid::Id {
            field: "ask.request",
            reason,
        })?,
        holder: read_holder(field("ask.holder", ask.get_holder())?)?,
        reference: reference("ask.reference", ask.get_reference())?,
        model: name("ask.model", ask.get_model())?,
        tenant: name("ask.tenant", ask.get_tenant())?,
        class: class.map_err(|reason| Invalid::Class {
            field: "ask.class",
            reason,
        })?,
        remaining: Duration::from_micros(ask.get_remaining_us()),
        prefix: ask.get_prefix(),
        max_tokens: ask.get_max_tokens(),
    })
}

/// Writes a permit.
pub fn write_permit(permit: &Permit, mut to: schema::permit::Builder<'_>) {
    to.set_number(permit.number.0);
    to.set_upstream(permit.upstream.as_str());
    to.set_address(permit.address.to_string());
    to.set_loaded(permit.loaded.to_string());
    to.set_fence(permit.fence);
    to.set_start_by_us(micros(permit.start_by));
    to.set_run_by_us(micros(permit.run_by));
    to.set_load_stall_us(micros(permit.load_stall));
    to.set_queue_wait_us(micros(permit.queue_wait));
}

/// Reads a permit.
pub fn read_permit(permit: schema::permit::Reader<'_>) -> Result<Permit, Invalid> {
    Ok(Permit {
        number: Number(permit.get_number()),
        upstream: name("permit.upstream", permit.get_upstream())?,
        address: address("permit.address", permit.get_address())?,
        loaded: loaded("permit.loaded", permit.get_loaded())?,
        fence: permit.get_fence(),
        start_by: Duration::from_micros(permit.get_start_by_us()),
        run_by: Duration::from_micros(permit.get_run_by_us()),
        load_stall: Duration::from_micros(permit.get_load_stall_us()),
        queue_wait: Duration::from_micros(permit.get_queue_wait_us()),
    })
}

fn cut(detail: &str) -> &str {
    &detail[..detail.floor_char_boundary(MAX_DETAIL_BYTES)]
}

/// Writes a fault.
pub fn write_fault(fault: &Fault, mut to: schema::fault::Builder<'_>) {
    to.set_kind(fault.kind.as_str());
    to.set_detail(cut(&fault.detail));
    let mut retry_after = to.init_retry_after();
    match fault.retry_after {
        Some(span) => retry_after.set_us(micros(span)),
        None => retry_after.set_unknown(()),
    }
}

/// Reads a fault.
pub fn read_fault(fault: schema::fault::Reader<'_>) -> Result<Fault, Invalid> {
    use schema::fault::retry_after::Which;
    let kind = text("fault.kind", fault.get_kind())?.parse();
    let retry_after = match fault.get_retry_after().which() {
        Ok(Which::Us(us)) => Some(Duration::from_micros(us)),
        Ok(Which::Unknown(())) | Err(_) => None,
    };
    Ok(Fault {
        kind: kind.map_err(|reason| Invalid::Kind {
            field: "fault.kind",
            reason,
        })?,
        detail: text("fault.detail", fault.get_detail())?.to_owned(),
        retry_after,
    })
}

/// Writes a verdict.
pub fn write_verdict(verdict: &Verdict, mut to: schema::verdict::Builder<'_>) {
    match verdict {
        Verdict::Granted(permit) => write_permit(permit, to.init_granted()),
        Verdict::Refused(fault) => write_fault(fault, to.init_refused()),
        Verdict::NotSteward => to.set_elsewhere(()),
    }
}

/// Reads a verdict.
pub fn read_verdict(verdict: schema::verdict::Reader<'_>) -> Result<Verdict, Invalid> {
    use schema::verdict::Which;
    let which = verdict.which().map_err(|_| Invalid::Unknown("verdict"))?;
    Ok(match which {
        Which::Granted(permit) => Verdict::Granted(read_permit(field("verdict.granted", permit)?)?),
        Which::Refused(fault) => Verdict::Refused(read_fault(field("verdict.refused", fault)?)?),
        Which::Elsewhere(()) => Verdict::NotSteward,
    })
}

/// Writes a release.
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

/// Reads a release.
pub fn read_release(release: schema::release::Reader<'_>) -> Result<Release, Invalid> {
    let outcome = release.get_outcome();
    Ok(Release {
        engine: name("release.engine", release.get_engine())?,
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
