//! The words of load reports.

use violetwind_balancer::api::{Report, ReportField};

/// The value behind a name of reports and of the settings.
pub(crate) fn report_field(name: &str) -> Option<ReportField> {
    match name {
        "x0" => Some(ReportField::Load),
        "rif" | "inflight" => Some(ReportField::Connections),
        "q" | "queue" => Some(ReportField::Queue),
        "busy" | "util" => Some(ReportField::Utilisation),
        "fail_rate" | "eps" => Some(ReportField::Errors),
        _ => None,
    }
}

/// Notes a value of a report; names that mean nothing to the module are passed over.
pub fn set_report_field(report: &mut Report, name: &str, value: f64) {
    let place = match report_field(name) {
        Some(ReportField::Load) => &mut report.load,
        Some(ReportField::Connections) => &mut report.connections,
        Some(ReportField::Queue) => &mut report.queue,
        Some(ReportField::Utilisation) => &mut report.utilisation,
        Some(ReportField::Errors) => &mut report.errors,
        None => return,
    };
    *place = Some(value);
}
