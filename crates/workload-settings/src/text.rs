//! Values as settings files state them.

use mulleinhub_interface::Duration;

/// Units of time and their nanoseconds, the largest first.
const TIME_UNITS: [(u64, &str); 3] = [(1_000_000_000, "s"), (1_000_000, "ms"), (1_000, "us")];

/// A duration as settings files state it: a whole number of the largest unit for which there is one.
pub fn format_duration(duration: Duration) -> String {
    let nanos = duration.nanos();
    for (nanos_per_unit, unit) in TIME_UNITS {
        if nanos.is_multiple_of(nanos_per_unit) {
            return format!("{}{unit}", nanos / nanos_per_unit);
        }
    }
    format!("{nanos}ns")
}
