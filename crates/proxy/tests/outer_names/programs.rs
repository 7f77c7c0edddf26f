//! Commands, flags and values of the command lines, and the names of the programs.

use std::fs;

use syn::{Attribute, Expr, Field, Fields, Item, Lit, Type, Variant};

use crate::attributes::{Word, derives, find, parted, plain, words};
use crate::page::{Lines, add, quoted};
use crate::source::{Source, root};

const HEADS: [&str; 4] = ["arg", "command", "clap", "value"];

/// A walk over the types that make up one command line.
struct Walk<'a> {
    sources: &'a [Source],
    source: &'a Source,
    lines: Lines,
    /// Values by position of the command at hand, in order.
    values: Vec<String>,
}

/// One line for each command with its values by position, `violetwind work plan <NAME>`, and for each of its flags,
/// `violetwind work plan --floor <FLOOR>`.
pub fn commands(sources: &[Source]) -> Lines {
    let mut lines = Lines::new();
    for source in sources {
        for item in &source.syntax.items {
            let (name, attributes) = match item {
                Item::Struct(item) => (&item.ident, &item.attrs),
                Item::Enum(item) => (&item.ident, &item.attrs),
                _ => continue,
            };
            if !derives(attributes, &["Parser"]) {
                continue;
            }
            let mut walk = Walk {
                sources,
                source,
                lines: Lines::new(),
                values: Vec::new(),
            };
            let program = program(source, attributes);
            walk.command(&program, |walk| walk.named(&name.to_string(), &program));
            lines.append(&mut walk.lines);
        }
    }
    lines
}

/// What the program calls itself: its explicit name, else that of its file.
fn program(source: &Source, attributes: &[Attribute]) -> String {
    let words = words(attributes, &HEADS);
    let told = find(&words, "name").and_then(Word::text);
    told.unwrap_or_else(|| {
        let file = source.path.file_stem().unwrap_or_default();
        match file == "main" {
            true => source.package.clone(),
            false => file.to_string_lossy().into_owned(),
        }
    })
}

impl Walk<'_> {
    /// The type of this name: in the same file, else in the same crate.
    fn item(&self, name: &str) -> Option<&Item> {
        let wanted = |item: &&Item| match item {
            Item::Struct(item) => item.ident == name && is_clap(&item.attrs),
            Item::Enum(item) => item.ident == name && is_clap(&item.attrs),
            _ => false,
        };
        let same = self.source.syntax.items.iter().find(wanted);
        let package = &self.source.package;
        let mut others = self.sources.iter().filter(|one| one.package == *package);
        same.or_else(|| others.find_map(|one| one.syntax.items.iter().find(wanted)))
    }

    /// Adds the line of a command, with the values by position that stand within it.
    fn command(&mut self, name: &str, within: impl FnOnce(&mut Self)) {
        let outer = std::mem::take(&mut self.values);
        within(self);
        let values = std::mem::replace(&mut self.values, outer);
        let line = [vec![name.to_string()], values].concat().join(" ");
        add(&mut self.lines, "", quoted(&line));
    }

    fn named(&mut self, name: &str, before: &str) {
        match self.item(name).cloned() {
            Some(Item::Struct(item)) => {
                plain_rule(&item.attrs);
                self.fields(&item.fields, before);
            }
            Some(Item::Enum(item)) => {
                plain_rule(&item.attrs);
                for variant in &item.variants {
                    let line = format!("{before} {}", word_of(variant));
                    self.command(&line, |walk| walk.fields(&variant.fields, &line));
                }
            }
            _ => {}
        }
    }

    fn fields(&mut self, fields: &Fields, before: &str) {
        for field in fields {
            let words = words(&field.attrs, &HEADS);
            let is = |key: &str| find(&words, key).is_some();
            let inner = named_type(&field.ty);
            if is("skip") {
                continue;
            }
            if field.ident.is_none() || is("flatten") || is("subcommand") {
                self.named(&inner, before);
                continue;
            }
            let argument = self.argument(field, &words, &inner);
            match is("long") || is("short") {
                true => add(&mut self.lines, "", quoted(&format!("{before} {argument}"))),
                false => self.values.push(argument),
            }
        }
    }

    fn argument(&self, field: &Field, words: &[Word], inner: &str) -> String {
        let name = plain(field.ident.as_ref().expect("a name"));
        let mut parts = Vec::new();
        if let Some(short) = find(words, "short") {
            let letter = short.text().unwrap_or_else(|| name[..1].to_string());
            parts.push(format!("-{letter}"));
        }
        if let Some(long) = find(words, "long") {
            let long = long.text().unwrap_or_else(|| parted(&name, "-"));
            parts.push(format!("--{long}"));
        }
        if inner != "bool" {
            let told = find(words, "value_name").and_then(Word::text);
            parts.push(format!("<{}>", told.unwrap_or_else(|| name.to_uppercase())));
        }
        for key in ["alias", "visible_alias", "env"] {
            let told = find(words, key).map(|word| word.text().unwrap_or_default());
            parts.extend(told.map(|told| format!("{key} {told}")));
        }
        let values = match find(words, "value_parser").and_then(|word| word.value.as_ref()) {
            Some(Expr::Array(array)) => array.elems.iter().filter_map(literal).collect(),
            _ => self.values(inner),
        };
        if !values.is_empty() {
            parts.push(format!("values {}", values.join(" | ")));
        }
        parts.join(" ")
    }

    /// The words of a `ValueEnum`.
    fn values(&self, name: &str) -> Vec<String> {
        let Some(Item::Enum(item)) = self.item(name) else {
            return Vec::new();
        };
        item.variants.iter().map(word_of).collect()
    }
}

/// The word of a command or of a value.
fn word_of(variant: &Variant) -> String {
    let words = words(&variant.attrs, &HEADS);
    let told = find(&words, "name").and_then(Word::text);
    told.unwrap_or_else(|| parted(&plain(&variant.ident), "-"))
}

/// Stops where names would be made by another rule than clap's own.
fn plain_rule(attributes: &[Attribute]) {
    let rule = find(&words(attributes, &HEADS), "rename_all").is_some();
    assert!(!rule, "rename_all of clap: teach this test to follow it");
}

fn is_clap(attributes: &[Attribute]) -> bool {
    derives(attributes, &["Parser", "Subcommand", "Args", "ValueEnum"])
}

fn literal(expression: &Expr) -> Option<String> {
    match expression {
        Expr::Lit(literal) => match &literal.lit {
            Lit::Str(text) => Some(text.value()),
            _ => None,
        },
        _ => None,
    }
}

/// The last name of a type, without `Option` and `Vec` around it.
fn named_type(kind: &Type) -> String {
    let Type::Path(path) = kind else {
        return String::new();
    };
    let last = path.path.segments.last().unwrap();
    if let syn::PathArguments::AngleBracketed(inner) = &last.arguments
        && let Some(syn::GenericArgument::Type(inner)) = inner.args.first()
        && ["Option", "Vec", "Box"].contains(&last.ident.to_string().as_str())
    {
        return named_type(inner);
    }
    last.ident.to_string()
}

/// Names of the files that cargo builds for use: programs, and shared objects by the crate's name.
pub fn built(sources: &[Source]) -> Lines {
    let mut lines = Lines::new();
    let mut seen = "";
    for source in sources {
        if seen != source.package {
            seen = &source.package;
            manifest(source, sources, &mut lines);
        }
        let within = source
            .path
            .parent()
            .is_some_and(|parent| parent.ends_with("bin"));
        if let (true, Some(name)) = (within, source.path.file_stem()) {
            add(&mut lines, "", quoted(&name.to_string_lossy()));
        }
    }
    lines
}

fn manifest(source: &Source, sources: &[Source], lines: &mut Lines) {
    let path = root()
        .join("crates")
        .join(&source.package)
        .join("Cargo.toml");
    let text = fs::read_to_string(path).unwrap_or_default();
    let mut section = "";
    let mut package = "";
    let mut programs = Vec::new();
    for line in text.lines() {
        if line.starts_with('[') {
            section = line;
        } else if let Some(name) = line.strip_prefix("name = ") {
            match section {
                "[package]" => package = name.trim_matches('"'),
                "[[bin]]" => programs.push(name.trim_matches('"')),
                _ => {}
            }
        } else if line.starts_with("crate-type") && line.contains("cdylib") {
            let library = format!("lib{}.so", package.replace('-', "_"));
            add(lines, "", quoted(&library));
        }
    }
    let main = |one: &Source| one.package == source.package && one.path.as_os_str() == "main.rs";
    if programs.is_empty() && sources.iter().any(main) {
        programs.push(package);
    }
    for program in programs {
        add(lines, "", quoted(program));
    }
}
