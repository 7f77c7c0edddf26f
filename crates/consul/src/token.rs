//! The token of the access control, read from a file that may be replaced at any time. It is shown to
//! Consul alone: no log line and no error holds it.

use std::fmt;
use std::fs::File;
use std::io::Read;
use std::path::Path;

#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// Reads a token file: one line, printable, without spaces.
    pub fn read(path: &Path, most: u64) -> Result<Self, String> {
        let told = |error: std::io::Error| format!("{}: {error}", path.display());
        let file = File::open(path).map_err(told)?;
        if !file.metadata().map_err(told)?.is_file() {
            return Err(format!("{}: no ordinary file", path.display()));
        }
        let mut text = String::new();
        file.take(most + 1)
            .read_to_string(&mut text)
            .map_err(told)?;
        let token = text.trim();
        let sound = !token.is_empty() && token.chars().all(|c| c.is_ascii_graphic());
        match sound && text.len() as u64 <= most {
            true => Ok(Self(token.to_string())),
            false => Err(format!(
                "{}: expected one token in one line",
                path.display()
            )),
        }
    }

    pub(crate) fn secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Token(..)")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_token_is_read_whole_or_not_at_all_and_never_shown() {
        let path = std::env::temp_dir().join(format!("violetwind-token-{}", std::process::id()));
        let read = |text: &str| {
            std::fs::write(&path, text).unwrap();
            Token::read(&path, 64)
        };
        let token = read("5e1c-77\n").unwrap();
        assert_eq!(token.secret(), "5e1c-77");
        assert!(!format!("{token:?}").contains("5e1c"));
        for bad in ["", "\n", "two words", "5e1c\u{7}", &"x".repeat(65)] {
            let error = read(bad).unwrap_err();
            assert!(
                bad.trim().is_empty() || !error.contains(bad.trim()),
                "{error}"
            );
        }
        std::fs::remove_file(&path).unwrap();
        assert!(Token::read(&path, 64).is_err());
    }
}
