//! Log events: the level, the text and the keys of each call of a macro of `tracing`.

use proc_macro2::{TokenStream, TokenTree};

use crate::page::{Lines, add, quoted};
use crate::source::Source;
use crate::words::{holes, text};

/// The macros, and the level that each logs at; `event!` is told its own.
pub const MACROS: [&str; 6] = ["error", "warn", "info", "debug", "trace", "event"];

pub fn events(sources: &[Source]) -> Lines {
    let mut lines = Lines::new();
    for source in sources {
        visit(source.tokens.clone(), &source.package, &mut lines);
    }
    lines
}

fn visit(tokens: TokenStream, package: &str, lines: &mut Lines) {
    let tokens: Vec<_> = tokens.into_iter().collect();
    for (at, token) in tokens.iter().enumerate() {
        let TokenTree::Group(group) = token else {
            continue;
        };
        match called(&tokens, at).filter(|name| MACROS.contains(&name.as_str())) {
            Some(name) => add(lines, package, event(&name, group.stream())),
            None => visit(group.stream(), package, lines),
        }
    }
}

/// The name of the macro whose arguments the group at this place is.
pub fn called(tokens: &[TokenTree], at: usize) -> Option<String> {
    match (
        tokens.get(at.wrapping_sub(2)),
        tokens.get(at.wrapping_sub(1)),
    ) {
        (Some(TokenTree::Ident(name)), Some(TokenTree::Punct(mark))) if mark.as_char() == '!' => {
            Some(name.to_string())
        }
        _ => None,
    }
}

/// One line of an event.
fn event(name: &str, tokens: TokenStream) -> String {
    let mut level = name.to_uppercase();
    let mut message = None;
    let mut keys = Vec::new();
    for (at, part) in parts(tokens).iter().enumerate() {
        let first = text(&part[0]);
        if at == 0 && name == "event" {
            level = joined(&part[part.len() - 1..]);
        } else if let (Some(text), true) = (&first, part.len() == 1) {
            message.get_or_insert(holes(text));
        } else if message.is_none() {
            keys.push(key(part));
        }
    }
    let mut line = format!("{} {}", level, quoted(&message.unwrap_or_default()));
    if !keys.is_empty() {
        line += " keys:";
        for key in keys {
            line += &format!(" {}", quoted(&key));
        }
    }
    line
}

/// The arguments, parted by commas.
fn parts(tokens: TokenStream) -> Vec<Vec<TokenTree>> {
    let mut parts = vec![Vec::new()];
    for token in tokens {
        match &token {
            TokenTree::Punct(mark) if mark.as_char() == ',' => parts.push(Vec::new()),
            _ => parts.last_mut().unwrap().push(token),
        }
    }
    parts.retain(|part| !part.is_empty());
    parts
}

/// The key of a field: what stands before `=` or `:`, else the variable itself.
fn key(part: &[TokenTree]) -> String {
    let is = |token: &TokenTree, marks: &[char]| match token {
        TokenTree::Punct(mark) => marks.contains(&mark.as_char()),
        _ => false,
    };
    let end = part.iter().position(|token| is(token, &['=', ':']));
    let part = &part[..end.unwrap_or(part.len())];
    let sign = part.iter().take_while(|token| is(token, &['%', '?']));
    let part = &part[sign.count()..];
    match part {
        [one] => text(one).unwrap_or_else(|| one.to_string()),
        _ => joined(part),
    }
}

fn joined(tokens: &[TokenTree]) -> String {
    tokens.iter().map(|token| token.to_string()).collect()
}
