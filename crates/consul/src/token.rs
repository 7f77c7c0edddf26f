//! The ACL token, read from a file that may be replaced at any time. It is sent to Consul only and never appears in
//! a log line or an error.

use std::fmt;
use std::fs::File;
use std::io::Read;
use std::path::Path;

/// An ACL token for Consul; its `Debug` output hides the value.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// Reads a token file of at most `max_bytes` bytes: one line of printable ASCII without spaces. Fails if the file
    /// can't be read, is not a regular file or contains anything else.
    pub fn read(path: &Path, max_bytes: u64) -> Result<Self, String> {
        let describe = |error: std::io::Error| format!("{}: {error}", path.display());
        let file = File::open(path).map_err(describe)?;
        if !file.metadata().map_err(describe)?.is_file() {
            return Err(format!("{}: not a regular file", path.display()));
        }
        let mut text = String::new();
        file.take(max_bytes + 1)
            .read_to_string(&mut text)
            .map_err(describe)?;
        let token = text.trim();
        let is_valid = !token.is_empty() && token.chars().all(|c| c.is_ascii_graphic());
        match is_valid && text.len() as u64 <= max_bytes {
            true => Ok(Self(token.to_string())),
            false => Err(format!(
                "{}: expected a single token on one line",
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
    fn token_is_read_completely_or_rejected_and_never_printed() {
        let path = std::env::temp_dir().join(format!("violetwind-token-{}", std::process::id()));
        let read = |text: &str| {
            std::fs::write(&path, text).unwrap();
            Token::read(&path, 64)
        };
        let token = read("5e1c-77\n").unwrap();
        assert_eq!(token.secret(), "5e1c-77");
        assert!(!format!("{token:?}").contains("5e1c"));
        for invalid in ["", "\n", "two words", "5e1c\u{7}", &"x".repeat(65)] {
            let error = read(invalid).unwrap_err();
            assert!(
                invalid.trim().is_empty() || !error.contains(invalid.trim()),
                "{error}"
            );
        }
        std::fs::remove_file(&path).unwrap();
        assert!(Token::read(&path, 64).is_err());
    }
}
