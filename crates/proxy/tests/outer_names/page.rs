//! The page with the names, and how it is compared.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Lines of one section with their number, by the heading that they stand under.
pub type Lines = BTreeMap<(String, String), usize>;

/// Adds one line.
pub fn add(lines: &mut Lines, heading: &str, line: String) {
    *lines.entry((heading.to_string(), line)).or_default() += 1;
}

/// A name as the page writes it.
pub fn quoted(name: &str) -> String {
    let name = name.replace('\n', "\\n").replace('\r', "\\r");
    match name.contains('`') {
        true => format!("`` {name} ``"),
        false => format!("`{name}`"),
    }
}

/// The lines `- …` of the section `## title`.
pub fn section(page: &str, title: &str) -> Lines {
    let mut lines = Lines::new();
    let mut inside = false;
    let mut heading = "";
    for line in page.lines() {
        if let Some(name) = line.strip_prefix("## ") {
            inside = name == title;
            heading = "";
        } else if let Some(name) = line.strip_prefix("### ") {
            heading = name;
        } else if let Some(name) = line.strip_prefix("- ").filter(|_| inside) {
            add(&mut lines, heading, name.to_string());
        }
    }
    lines
}

/// What has to be done to the page for it to say what the code says; nothing where it does.
pub fn difference(title: &str, page: &Lines, code: &Lines) -> Option<String> {
    let mut text = String::new();
    tell(&mut text, "add", code, page);
    tell(&mut text, "remove", page, code);
    if text.is_empty() {
        return None;
    }
    Some(format!(
        "docs/outer-names.md, section `## {title}`, differs from the code.\n{text}\
         A name there is seen outside the process: take the code back, or change the page and say so in \
         CHANGELOG.md."
    ))
}

fn tell(text: &mut String, what: &str, more: &Lines, less: &Lines) {
    for (key, count) in more {
        let missing = count.saturating_sub(less.get(key).copied().unwrap_or(0));
        for _ in 0..missing {
            let (heading, line) = key;
            let place = match heading.is_empty() {
                true => String::new(),
                false => format!(" under `### {heading}`"),
            };
            let _ = writeln!(text, "  {what}{place}: - {line}");
        }
    }
}

/// The section as the page writes it.
pub fn written(title: &str, lines: &Lines) -> String {
    let mut text = format!("## {title}\n");
    let mut last = None;
    for ((heading, line), count) in lines {
        if last != Some(heading) {
            last = Some(heading);
            let _ = match heading.is_empty() {
                true => writeln!(text),
                false => writeln!(text, "\n### {heading}\n"),
            };
        }
        for _ in 0..*count {
            let _ = writeln!(text, "- {line}");
        }
    }
    text
}
