//! The field names of load reports.

use violetwind_balancer::api::{Report, ReportField};

/// The report field with this name, which reports and settings share.
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

/// Sets the value of a field in `report`. Unknown names are ignored.
pub fn set_report_field(report: &mut Report, name: &str, value: f64) {
    let field = match report_field(name) {
        Some(ReportField::Load) => &mut report.load,
        Some(ReportField::Connections) => &mut report.connections,
        Some(ReportField::Queue) => &mut report.queue,
        Some(ReportField::Utilisation) => &mut report.utilisation,
        Some(ReportField::Errors) => &mut report.errors,
        None => return,
    };
    *field = Some(value);
}
