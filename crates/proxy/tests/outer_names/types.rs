//! Types that are written outside the process: by name, by position, or as Debug writes them.

use std::collections::BTreeMap;

use syn::visit::Visit;
use syn::{Attribute, Field, Fields, GenericArgument, Ident, PathArguments, Type};

use crate::attributes::{Word, derives, find, parted, plain, words};
use crate::page::{Lines, add, quoted};
use crate::source::Source;

/// Types that are written by name without an attribute that shows it, by their fields in order. They are what
/// the operators' address answers, and what the file of machines that are out holds.
const BY_NAME: [&str; 12] = [
    "node leader term commit majority members duties budgets why",
    "node votes state since_ms",
    "name holder fence mine",
    "name whole version floors shared stranded free used_here allowed_here",
    "settled why conductor orders ended out shut serving",
    "number name state most zone_most floor spare machines",
    "name zone phase why emptied",
    "number name done spared",
    "at places words",
    "version closed machine",
    "zone servers proxy",
    "name kind cell room",
];

/// Attributes of serde that count only where names are written.
const NAMING: [&str; 6] = [
    "rename",
    "rename_all",
    "rename_all_fields",
    "tag",
    "flatten",
    "deny_unknown_fields",
];

/// A struct, as one nameless variant, or an enum.
struct Shape {
    package: String,
    name: String,
    attributes: Vec<Attribute>,
    variants: Vec<Variant>,
}

struct Variant {
    /// None for a struct.
    name: Option<String>,
    attributes: Vec<Attribute>,
    fields: Vec<Field>,
}

struct Collected<'a> {
    package: &'a str,
    shapes: Vec<Shape>,
    /// What aliases of types stand for, by crate and name.
    aliases: BTreeMap<(String, String), Type>,
}

impl<'ast> Visit<'ast> for Collected<'_> {
    fn visit_item_struct(&mut self, item: &'ast syn::ItemStruct) {
        let variant = Variant {
            name: None,
            attributes: Vec::new(),
            fields: listed(&item.fields),
        };
        self.add(&item.ident, &item.attrs, vec![variant]);
    }

    fn visit_item_enum(&mut self, item: &'ast syn::ItemEnum) {
        let variants = item.variants.iter().map(|variant| Variant {
            name: Some(plain(&variant.ident)),
            attributes: variant.attrs.clone(),
            fields: listed(&variant.fields),
        });
        self.add(&item.ident, &item.attrs, variants.collect());
    }

    fn visit_item_type(&mut self, item: &'ast syn::ItemType) {
        let key = (self.package.to_string(), item.ident.to_string());
        self.aliases.insert(key, (*item.ty).clone());
    }
}

impl Collected<'_> {
    fn add(&mut self, name: &Ident, attributes: &[Attribute], variants: Vec<Variant>) {
        self.shapes.push(Shape {
            package: self.package.to_string(),
            name: plain(name),
            attributes: attributes.to_vec(),
            variants,
        });
    }

    /// The type behind an alias, of the same crate or else of any.
    fn alias(&self, package: &str, name: &str) -> Option<&Type> {
        let own = self.aliases.get(&(package.to_string(), name.to_string()));
        own.or_else(|| {
            let mut all = self.aliases.iter();
            all.find(|((_, alias), _)| alias == name)
                .map(|(_, kind)| kind)
        })
    }

    /// A type by what it is made of; one of the workspace is `T`.
    fn kind(&self, package: &str, of: &Type) -> String {
        match of {
            Type::Path(path) => self.path(package, &path.path),
            Type::Reference(inner) => self.kind(package, &inner.elem),
            Type::Paren(inner) => self.kind(package, &inner.elem),
            Type::Array(inner) => format!("[{}]", self.kind(package, &inner.elem)),
            Type::Slice(inner) => format!("[{}]", self.kind(package, &inner.elem)),
            Type::Tuple(tuple) => {
                let parts: Vec<_> = tuple
                    .elems
                    .iter()
                    .map(|one| self.kind(package, one))
                    .collect();
                format!("({})", parts.join(", "))
            }
            _ => "T".to_string(),
        }
    }

    fn path(&self, package: &str, path: &syn::Path) -> String {
        let last = path.segments.last().expect("a name");
        let name = last.ident.to_string();
        let inner: Vec<String> = match &last.arguments {
            PathArguments::AngleBracketed(inner) => inner
                .args
                .iter()
                .filter_map(|argument| match argument {
                    GenericArgument::Type(kind) => Some(self.kind(package, kind)),
                    _ => None,
                })
                .collect(),
            _ => Vec::new(),
        };
        match name.as_str() {
            "Rc" | "Arc" | "Box" | "Cow" => inner.join(", "),
            "bool" | "char" | "str" | "String" | "f32" | "f64" | "u8" | "u16" | "u32" | "u64"
            | "u128" | "usize" | "i8" | "i16" | "i32" | "i64" | "i128" | "isize" => name,
            "Option" | "Vec" | "VecDeque" | "BTreeSet" | "HashSet" | "BTreeMap" | "HashMap"
            | "Duration" | "PathBuf" | "SocketAddr" | "IpAddr" => match inner.is_empty() {
                true => name,
                false => format!("{name}<{}>", inner.join(", ")),
            },
            _ => match self.alias(package, &name) {
                Some(kind) => self.kind(package, kind),
                None => "T".to_string(),
            },
        }
    }
}

fn listed(fields: &Fields) -> Vec<Field> {
    fields.iter().cloned().collect()
}

fn collected(sources: &[Source]) -> Collected<'_> {
    let mut collected = Collected {
        package: "",
        shapes: Vec::new(),
        aliases: BTreeMap::new(),
    };
    for source in sources {
        collected.package = &source.package;
        collected.visit_file(&source.syntax);
    }
    collected
}

impl Shape {
    fn is_written(&self) -> bool {
        derives(&self.attributes, &["Serialize", "Deserialize"])
    }

    /// Whether an attribute shows that names are written.
    fn is_marked(&self) -> bool {
        let fields = |variant: &Variant| variant.fields.iter().any(|field| marked(&field.attrs));
        marked(&self.attributes)
            || self
                .variants
                .iter()
                .any(|variant| marked(&variant.attributes) || fields(variant))
    }

    /// Names in order, as serde writes them.
    fn written(&self) -> String {
        let told = words(&self.attributes, &["serde"]);
        let text = |key: &str| find(&told, key).and_then(Word::text);
        let of_type = text("rename_all");
        let is_enum = self.variants.iter().any(|variant| variant.name.is_some());
        let (variants, fields) = match is_enum {
            true => (of_type, text("rename_all_fields")),
            false => (None, of_type),
        };
        let parts = self.variants.iter().filter_map(|variant| {
            let inner = variant.written(fields.as_deref());
            match &variant.name {
                None => Some(inner),
                Some(name) => outer(name, &variant.attributes, variants.as_deref()).map(|name| {
                    match inner.is_empty() {
                        true => name,
                        false => format!("{name}{{{inner}}}"),
                    }
                }),
            }
        });
        let line = parts.collect::<Vec<_>>().join(" ");
        match text("tag") {
            Some(tag) => format!("{tag}: {line}"),
            None => line,
        }
    }

    /// Names in order, as Debug writes them: for a struct also its own.
    fn printed(&self) -> String {
        let parts = self.variants.iter().map(|variant| {
            let inner = variant.names().join(" ");
            match (&variant.name, inner.is_empty()) {
                (None, _) => format!("{}{{{inner}}}", self.name),
                (Some(name), true) => name.clone(),
                (Some(name), false) => format!("{name}{{{inner}}}"),
            }
        });
        parts.collect::<Vec<_>>().join(" ")
    }
}

impl Variant {
    fn names(&self) -> Vec<String> {
        let names = self.fields.iter().filter_map(|field| field.ident.as_ref());
        names.map(plain).collect()
    }

    fn written(&self, rule: Option<&str>) -> String {
        let names = self.fields.iter().filter_map(|field| {
            let words = words(&field.attrs, &["serde"]);
            let name = plain(field.ident.as_ref()?);
            match find(&words, "flatten") {
                Some(_) => Some("…".to_string()),
                None => outer(&name, &field.attrs, rule),
            }
        });
        names.collect::<Vec<_>>().join(" ")
    }
}

fn marked(attributes: &[Attribute]) -> bool {
    let words = words(attributes, &["serde"]);
    words.iter().any(|word| NAMING.contains(&word.key.as_str()))
}

fn is_skipped(attributes: &[Attribute]) -> bool {
    find(&words(attributes, &["serde"]), "skip").is_some()
}

/// The name that serde writes; none where it writes nothing.
fn outer(name: &str, attributes: &[Attribute], rule: Option<&str>) -> Option<String> {
    if is_skipped(attributes) {
        return None;
    }
    let words = words(attributes, &["serde"]);
    let told = find(&words, "rename").map(|word| word.text().expect("one name"));
    Some(told.unwrap_or_else(|| match rule {
        None => name.to_string(),
        Some("kebab-case") => parted(name, "-"),
        Some("snake_case") => parted(name, "_"),
        Some("lowercase") => name.to_lowercase(),
        Some("UPPERCASE") => name.to_uppercase(),
        Some(other) => panic!("rename_all = \"{other}\": teach this test to write it"),
    }))
}

/// Types that are written by name, each with its names in order. For one of [`BY_NAME`] that is not there any
/// more, the type with the most names in common is told.
pub fn by_name(sources: &[Source]) -> Lines {
    let mut lines = Lines::new();
    let mut others = Lines::new();
    for shape in &collected(sources).shapes {
        if shape.is_written() {
            let line = shape.written();
            let is_named = shape.is_marked() || BY_NAME.contains(&line.as_str());
            let place = if is_named { &mut lines } else { &mut others };
            add(place, &shape.package, quoted(&line));
        }
    }
    for line in BY_NAME.map(quoted) {
        if lines.keys().all(|key| key.1 != line) {
            lines.extend(nearest(&line, &others).map(|key| (key.clone(), 1)));
        }
    }
    lines
}

/// Types that are written by position, each with the kinds of its fields, `|` between variants.
pub fn by_position(sources: &[Source]) -> Lines {
    let collected = collected(sources);
    let mut lines = Lines::new();
    for shape in &collected.shapes {
        if !shape.is_written() || shape.is_marked() {
            continue;
        }
        let variants = shape.variants.iter().map(|variant| {
            let fields = variant.fields.iter();
            let kinds = fields
                .filter(|field| !is_skipped(&field.attrs))
                .map(|field| collected.kind(&shape.package, &field.ty));
            kinds.collect::<Vec<_>>().join(", ")
        });
        let variants = variants.map(|kinds| match kinds.is_empty() {
            true => "-".to_string(),
            false => kinds,
        });
        let line = variants.collect::<Vec<_>>().join(" | ");
        add(&mut lines, &shape.package, quoted(&line));
    }
    lines
}

/// Types that Debug prints into logs, answers or reports. Which ones those are only the page says: each line
/// of it has to be there in its crate, and for one that is not, the type with the most names in common is told.
pub fn printed(sources: &[Source], page: &Lines) -> Lines {
    let collected = collected(sources);
    let mut there = Lines::new();
    for shape in &collected.shapes {
        if derives(&shape.attributes, &["Debug"]) {
            add(&mut there, &shape.package, quoted(&shape.printed()));
        }
    }
    let mut lines = Lines::new();
    for (key, count) in page {
        let found = there.get(key).copied().unwrap_or(0).min(*count);
        if found > 0 {
            lines.insert(key.clone(), found);
        } else {
            let is_other = |other: &Key| other.0 == key.0 && !page.contains_key(other);
            let mut others = there.clone();
            others.retain(|other, _| is_other(other));
            lines.extend(nearest(&key.1, &others).map(|near| (near.clone(), 1)));
        }
    }
    lines
}

/// A heading and a line.
type Key = (String, String);

/// The line with the most names in common with another: more than half of them.
fn nearest<'a>(line: &str, there: &'a Lines) -> Option<&'a Key> {
    let wanted = names(line);
    let shared = |key: &Key| {
        let own = names(&key.1);
        let shared = own.iter().filter(|name| wanted.contains(name)).count();
        (2 * shared > own.len().max(wanted.len())).then_some(shared)
    };
    let near = there
        .keys()
        .filter_map(|key| Some((shared(key)?, key)))
        .max_by_key(|(shared, _)| *shared);
    near.map(|(_, key)| key)
}

fn names(line: &str) -> Vec<&str> {
    let words = line.split(|letter: char| !letter.is_alphanumeric() && letter != '_');
    words.filter(|word| !word.is_empty()).collect()
}
