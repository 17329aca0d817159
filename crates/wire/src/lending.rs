//! Conversion of the messages that divide the limits of the weight store among stewards.

use steward::lending::{Demand, Loan, Mode};

use crate::{Invalid, comfreywing_capnp as schema};

/// Encodes a demand.
pub fn write_demand(demand: &Demand, mut to: schema::demand::Builder<'_>) {
    to.set_mode(match demand.mode {
        Mode::Guaranteed => schema::demand::Mode::Floor,
        Mode::Pooled => schema::demand::Mode::Pooled,
    });
    to.set_fence(demand.fence);
    to.set_wanted(demand.requested);
    to.set_received(demand.received);
    to.set_ended(demand.ended);
    to.set_returned(demand.returned);
}

/// Decodes a demand.
pub fn read_demand(demand: schema::demand::Reader<'_>) -> Result<Demand, Invalid> {
    let mode = demand.get_mode();
    Ok(Demand {
        mode: match mode.map_err(|_| Invalid::Unknown("demand.mode"))? {
            schema::demand::Mode::Floor => Mode::Guaranteed,
            schema::demand::Mode::Pooled => Mode::Pooled,
        },
        fence: demand.get_fence(),
        requested: demand.get_wanted(),
        received: demand.get_received(),
        ended: demand.get_ended(),
        returned: demand.get_returned(),
    })
}

/// Encodes a loan.
pub fn write_loan(loan: &Loan, mut to: schema::loan::Builder<'_>) {
    to.set_fence(loan.fence);
    to.set_total(loan.total);
    to.set_queued(loan.queued);
    to.set_rate(loan.rate_per_second);
}

/// Decodes a loan.
pub fn read_loan(loan: schema::loan::Reader<'_>) -> Result<Loan, Invalid> {
    let rate_per_second = loan.get_rate();
    if !rate_per_second.is_finite() || rate_per_second < 0.0 {
        return Err(Invalid::Unknown("loan.rate"));
    }
    Ok(Loan {
        fence: loan.get_fence(),
        total: loan.get_total(),
        queued: loan.get_queued(),
        rate_per_second,
    })
}
