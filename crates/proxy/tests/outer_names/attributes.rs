//! What derives are told by attributes, and how they write names.

use syn::ext::IdentExt;
use syn::punctuated::Punctuated;
use syn::{Attribute, Expr, Ident, Lit, Token};

/// `key`, `key = value` or `key(…)` of an attribute.
pub struct Word {
    pub key: String,
    pub value: Option<Expr>,
}

impl Word {
    /// The value, where it is a text or a letter.
    pub fn text(&self) -> Option<String> {
        match &self.value {
            Some(Expr::Lit(literal)) => match &literal.lit {
                Lit::Str(text) => Some(text.value()),
                Lit::Char(letter) => Some(letter.value().to_string()),
                _ => None,
            },
            _ => None,
        }
    }
}

/// The words of all attributes `#[head(…)]` of these heads.
pub fn words(attributes: &[Attribute], heads: &[&str]) -> Vec<Word> {
    let mut words = Vec::new();
    for attribute in attributes {
        if !heads.iter().any(|head| attribute.path().is_ident(head)) {
            continue;
        }
        let read = attribute.parse_args_with(Punctuated::<Expr, Token![,]>::parse_terminated);
        words.extend(read.expect("an attribute").into_iter().filter_map(word));
    }
    words
}

fn word(expression: Expr) -> Option<Word> {
    match expression {
        Expr::Path(path) => Some(Word {
            key: path.path.get_ident()?.to_string(),
            value: None,
        }),
        Expr::Assign(assign) => match *assign.left {
            Expr::Path(path) => Some(Word {
                key: path.path.get_ident()?.to_string(),
                value: Some(*assign.right),
            }),
            _ => None,
        },
        Expr::Call(call) => match &*call.func {
            Expr::Path(path) => Some(Word {
                key: path.path.get_ident()?.to_string(),
                value: Some(Expr::Call(call.clone())),
            }),
            _ => None,
        },
        _ => None,
    }
}

/// The word behind a key.
pub fn find<'a>(words: &'a [Word], key: &str) -> Option<&'a Word> {
    words.iter().find(|word| word.key == key)
}

/// Whether one of the traits is derived.
pub fn derives(attributes: &[Attribute], traits: &[&str]) -> bool {
    attributes
        .iter()
        .filter(|attribute| attribute.path().is_ident("derive"))
        .any(|attribute| {
            let read =
                attribute.parse_args_with(Punctuated::<syn::Path, Token![,]>::parse_terminated);
            let paths = read.expect("a list of traits");
            paths.iter().any(|path| {
                let last = path.segments.last().unwrap();
                traits.iter().any(|name| last.ident == name)
            })
        })
}

/// An identifier as it is meant: `r#type` is `type`.
pub fn plain(name: &Ident) -> String {
    name.unraw().to_string()
}

/// `ZoneMost` and `zone_most` as `zone-most`, with another mark in place of `-` if wanted.
pub fn parted(name: &str, mark: &str) -> String {
    let mut out = String::new();
    for letter in name.chars() {
        if letter == '_' {
            out += mark;
        } else {
            if letter.is_uppercase() && !out.is_empty() {
                out += mark;
            }
            out.extend(letter.to_lowercase());
        }
    }
    out
}
