//! The notice of lost lines has the form of the log that it stands in.

use serde_json::Value;
use violetwind_output::LostLines;
use violetwind_proxy::logging::format_notice;

const LOST: LostLines = LostLines {
    queue_full: 12,
    write_failed: 3,
};

#[test]
fn the_notice_is_one_line_of_text() {
    let notice = String::from_utf8(format_notice(LOST, false)).unwrap();
    assert_eq!(notice.lines().count(), 1, "{notice}");
    let end = "  WARN log lines were lost queue_full=12 write_failed=3\n";
    assert!(notice.ends_with(end), "{notice}");
}

#[test]
fn the_notice_is_one_object_where_the_log_is_json() {
    let notice = String::from_utf8(format_notice(LOST, true)).unwrap();
    assert_eq!(notice.lines().count(), 1, "{notice}");
    let notice: Value = serde_json::from_str(&notice).unwrap();
    assert_eq!(notice["message"], "log lines were lost");
    assert_eq!(notice["level"], "WARN");
    assert_eq!(
        (&notice["queue_full"], &notice["write_failed"]),
        (&12.into(), &3.into())
    );
}
