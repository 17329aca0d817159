//! Values with units: times, rates and shares.

use std::time::Duration;

use derive_more::{Display, Error};

/// The longest time that a text may give.
pub const MAX_DURATION: Duration = Duration::from_hours(24);

/// The units of time with their milliseconds, largest first.
const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// Why a scalar is no such value.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// Not a time.
    #[display("{_0:?} is not a time: use a whole number with ms, s, m or h, such as 540ms or 30s")]
    Duration(#[error(not(source))] String),
    /// Zero, or above [`MAX_DURATION`].
    #[display("{_0:?} is out of range: use a time from 1ms to 24h")]
    Range(#[error(not(source))] String),
    /// Not a rate.
    #[display("{_0:?} is not a rate: use a number above 0 with /s, such as 4.5/s")]
    Rate(#[error(not(source))] String),
    /// Not a ratio.
    #[display("{_0:?} is not a ratio: use a number from 0 to 1, such as 0.1")]
    Ratio(#[error(not(source))] String),
    /// Not a weight.
    #[display("{_0:?} is not a weight: use a number from 0 to 1000, such as 0.8")]
    Weight(#[error(not(source))] String),
    /// Not a count.
    #[display("{_0:?} is not a count: use a whole number from 1")]
    Count(#[error(not(source))] String),
}

/// Reads a time such as `540ms`.
pub fn duration(text: &str) -> Result<Duration, Invalid> {
    let wrong = || Invalid::Duration(text.to_owned());
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| wrong())?;
    let found = UNITS.iter().find(|(name, _)| *name == unit);
    let (_, millis) = found.ok_or_else(wrong)?;
    let range = || Invalid::Range(text.to_owned());
    let total = number.checked_mul(*millis).ok_or_else(range)?;
    let time = Duration::from_millis(total);
    if time.is_zero() || time > MAX_DURATION {
        return Err(range());
    }
    Ok(time)
}

/// Writes a time in the largest unit that gives a whole number.
pub fn format_duration(time: Duration) -> String {
    let total = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let fits = |(_, millis): &&(&str, u64)| total != 0 && total.is_multiple_of(*millis);
    let (unit, millis) = UNITS.iter().find(fits).unwrap_or(&("ms", 1));
    format!("{}{unit}", total / millis)
}

/// Reads a rate such as `4.5/s`.
pub fn rate(text: &str) -> Result<f64, Invalid> {
    let number = text.strip_suffix("/s").and_then(decimal);
    number
        .filter(|it| *it > 0.0)
        .ok_or_else(|| Invalid::Rate(text.to_owned()))
}

/// Reads a ratio such as `0.1`.
pub fn ratio(text: &str) -> Result<f64, Invalid> {
    decimal(text)
        .filter(|it| *it <= 1.0)
        .ok_or_else(|| Invalid::Ratio(text.to_owned()))
}

/// Reads a weight such as `0.8`.
pub fn weight(text: &str) -> Result<f64, Invalid> {
    decimal(text)
        .filter(|it| *it <= 1000.0)
        .ok_or_else(|| Invalid::Weight(text.to_owned()))
}

/// Reads a count such as `16`.
pub fn count(text: &str) -> Result<u32, Invalid> {
    let number = text.parse().ok().filter(|it| *it > 0);
    number.ok_or_else(|| Invalid::Count(text.to_owned()))
}

/// A decimal number without sign or exponent.
fn decimal(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|it| it.is_ascii_digit() || it == b'.');
    if !plain {
        return None;
    }
    text.parse().ok().filter(|it: &f64| it.is_finite())
}
