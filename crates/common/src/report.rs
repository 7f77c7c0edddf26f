//! The words of load reports.

use violetwind_balancer::api::{Field, Report};

/// The value behind a name of reports and of the settings.
pub(crate) fn field(name: &str) -> Option<Field> {
    match name {
        "x0" => Some(Field::Load),
        "rif" | "inflight" => Some(Field::Connections),
        "q" | "queue" => Some(Field::Queue),
        "busy" | "util" => Some(Field::Utilisation),
        "fail_rate" | "eps" => Some(Field::Errors),
        _ => None,
    }
}

/// Notes a value of a report; names that mean nothing to the module are passed over.
pub fn note(report: &mut Report, name: &str, value: f64) {
    let place = match field(name) {
        Some(Field::Load) => &mut report.load,
        Some(Field::Connections) => &mut report.connections,
        Some(Field::Queue) => &mut report.queue,
        Some(Field::Utilisation) => &mut report.utilisation,
        Some(Field::Errors) => &mut report.errors,
        None => return,
    };
    *place = Some(value);
}
