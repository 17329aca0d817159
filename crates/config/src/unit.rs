//! Parses and formats durations, rates, ratios, weights and counts.

use std::time::Duration;

use derive_more::{Display, Error};

/// The maximum duration in a document.
pub const MAX_DURATION: Duration = Duration::from_hours(24);

/// The names of the time units and their lengths in milliseconds, largest first.
const TIME_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// The reason why a scalar is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// The scalar is not a duration.
    #[display("{_0:?} is not a time: use a whole number with ms, s, m or h, such as 540ms or 30s")]
    Duration(#[error(not(source))] String),
    /// The duration is zero or above [`MAX_DURATION`].
    #[display("{_0:?} is out of range: use a time from 1ms to 24h")]
    DurationRange(#[error(not(source))] String),
    /// The scalar is not a rate.
    #[display("{_0:?} is not a rate: use a number above 0 with /s, such as 4.5/s")]
    Rate(#[error(not(source))] String),
    /// The scalar is not a ratio.
    #[display("{_0:?} is not a ratio: use a number from 0 to 1, such as 0.1")]
    Ratio(#[error(not(source))] String),
    /// The scalar is not a weight.
    #[display("{_0:?} is not a weight: use a number from 0 to 1000, such as 0.8")]
    Weight(#[error(not(source))] String),
    /// The scalar is not a count.
    #[display("{_0:?} is not a count: use a whole number from 1")]
    Count(#[error(not(source))] String),
}

/// Parses a duration such as `540ms`.
pub fn parse_duration(text: &str) -> Result<Duration, Invalid> {
    let invalid = || Invalid::Duration(text.to_owned());
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| invalid())?;
    let time_unit = TIME_UNITS.iter().find(|(name, _)| *name == unit);
    let (_, millis) = time_unit.ok_or_else(invalid)?;
    let out_of_range = || Invalid::DurationRange(text.to_owned());
    let total_millis = number.checked_mul(*millis).ok_or_else(out_of_range)?;
    let duration = Duration::from_millis(total_millis);
    if duration.is_zero() || duration > MAX_DURATION {
        return Err(out_of_range());
    }
    Ok(duration)
}

/// Formats a duration in the largest unit that gives a whole number.
pub fn format_duration(duration: Duration) -> String {
    let total_millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let divides =
        |(_, millis): &&(&str, u64)| total_millis != 0 && total_millis.is_multiple_of(*millis);
    let (unit, millis) = TIME_UNITS.iter().find(divides).unwrap_or(&("ms", 1));
    format!("{}{unit}", total_millis / millis)
}

/// Parses a rate such as `4.5/s`.
pub fn parse_rate(text: &str) -> Result<f64, Invalid> {
    let number = text.strip_suffix("/s").and_then(parse_decimal);
    number
        .filter(|it| *it > 0.0)
        .ok_or_else(|| Invalid::Rate(text.to_owned()))
}

/// Parses a ratio such as `0.1`.
pub fn parse_ratio(text: &str) -> Result<f64, Invalid> {
    parse_decimal(text)
        .filter(|it| *it <= 1.0)
        .ok_or_else(|| Invalid::Ratio(text.to_owned()))
}

/// Parses a weight such as `0.8`.
pub fn parse_weight(text: &str) -> Result<f64, Invalid> {
    parse_decimal(text)
        .filter(|it| *it <= 1000.0)
        .ok_or_else(|| Invalid::Weight(text.to_owned()))
}

/// Parses a count such as `16`.
pub fn parse_count(text: &str) -> Result<u32, Invalid> {
    let number = text.parse().ok().filter(|it| *it > 0);
    number.ok_or_else(|| Invalid::Count(text.to_owned()))
}

/// Parses a decimal number without a sign or an exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|it| it.is_ascii_digit() || it == b'.');
    if !is_plain {
        return None;
    }
    text.parse().ok().filter(|it: &f64| it.is_finite())
}
