//! The sources of the workspace, without their tests.

use std::fs;
use std::path::{Path, PathBuf};

use proc_macro2::{Delimiter, Group, TokenStream, TokenTree};

/// One file of a crate's `src`.
pub struct Source {
    /// The directory of the crate under `crates`.
    pub package: String,
    /// The path below `src`.
    pub path: PathBuf,
    pub tokens: TokenStream,
    /// The items, of which those that hold no type stand without a body.
    pub syntax: syn::File,
}

impl Source {
    pub fn parse(package: &str, path: &Path, text: &str) -> Self {
        let tokens: TokenStream = text
            .parse()
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let tokens = without_tests(tokens);
        let syntax = syn::parse2(without_bodies(tokens.clone()))
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        Self {
            package: package.to_string(),
            path: path.to_path_buf(),
            tokens,
            syntax,
        }
    }
}

/// The root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All files `crates/*/src/**/*.rs`, in order.
pub fn workspace() -> Vec<Source> {
    let mut sources = Vec::new();
    for package in entries(&root().join("crates")) {
        let source = package.join("src");
        let name = package.file_name().unwrap().to_string_lossy();
        for file in files(&source) {
            let text = fs::read_to_string(&file).unwrap();
            let path = file.strip_prefix(&source).unwrap();
            sources.push(Source::parse(&name, path, &text));
        }
    }
    sources
}

fn entries(directory: &Path) -> Vec<PathBuf> {
    let Ok(read) = fs::read_dir(directory) else {
        return Vec::new();
    };
    let mut paths: Vec<_> = read.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

fn files(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for path in entries(directory) {
        if path.is_dir() {
            found.extend(files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

/// Leaves out each item that stands behind `#[cfg(test)]` at the top of a file.
fn without_tests(tokens: TokenStream) -> TokenStream {
    let mut kept: Vec<TokenTree> = Vec::new();
    let mut tokens = tokens.into_iter();
    while let Some(token) = tokens.next() {
        if is_test_mark(&token) {
            kept.pop();
            tokens.by_ref().find(ends_item);
        } else {
            kept.push(token);
        }
    }
    kept.into_iter().collect()
}

fn is_test_mark(token: &TokenTree) -> bool {
    match token {
        TokenTree::Group(group) => {
            group.delimiter() == Delimiter::Bracket
                && group.stream().to_string().replace(' ', "") == "cfg(test)"
        }
        _ => false,
    }
}

fn ends_item(token: &TokenTree) -> bool {
    match token {
        TokenTree::Group(group) => group.delimiter() == Delimiter::Brace,
        TokenTree::Punct(mark) => mark.as_char() == ';',
        _ => false,
    }
}

/// Leaves out the bodies of functions and implementations at the top of a file, where they declare nothing that
/// is derived: to read them takes most of the time.
fn without_bodies(tokens: TokenStream) -> TokenStream {
    let mut is_code = false;
    let lighter = tokens.into_iter().map(|token| match token {
        TokenTree::Ident(word) => {
            is_code |= word == "fn" || word == "impl" || word == "trait";
            TokenTree::Ident(word)
        }
        TokenTree::Punct(mark) => {
            is_code &= mark.as_char() != ';';
            TokenTree::Punct(mark)
        }
        TokenTree::Group(group) if group.delimiter() == Delimiter::Brace => {
            let empty = std::mem::take(&mut is_code) && !names(group.stream(), "derive");
            TokenTree::Group(match empty {
                true => Group::new(Delimiter::Brace, TokenStream::new()),
                false => group,
            })
        }
        other => other,
    });
    lighter.collect()
}

/// Whether a word stands anywhere in the code.
fn names(tokens: TokenStream, word: &str) -> bool {
    tokens.into_iter().any(|token| match token {
        TokenTree::Ident(other) => other == word,
        TokenTree::Group(group) => names(group.stream(), word),
        _ => false,
    })
}
