//! Typed access to named values, independent of their source.

use violetwind_balancer::api::Seconds;

/// Values by name. A list of plain values is joined by commas; a list of objects has its length under `NAME.count`
/// and its items under `NAME.0`, `NAME.1` and so on.
pub trait NamedValues {
    /// The value under a name, as text.
    fn get(&self, name: &str) -> Option<&str>;

    /// The value under a name; an error if it is absent.
    fn require(&self, name: &str) -> Result<&str, String> {
        self.get(name)
            .ok_or_else(|| format!("expected the field {name}"))
    }

    /// A whole number; an error if it is absent or invalid.
    fn require_int(&self, name: &str) -> Result<u64, String> {
        let value = self.require(name)?;
        value
            .parse()
            .map_err(|_| format!("{name}={value}: expected a whole number"))
    }

    /// A whole number, or `default` if it is absent; an error if it is invalid.
    fn int_or(&self, name: &str, default: u64) -> Result<u64, String> {
        if self.get(name).is_some() {
            self.require_int(name)
        } else {
            Ok(default)
        }
    }

    /// A number, if there is one; an error if it is invalid.
    fn number(&self, name: &str) -> Result<Option<f64>, String> {
        let parse = |value: &str| {
            value
                .parse()
                .map_err(|_| format!("{name}={value}: expected a number"))
        };
        self.get(name).map(parse).transpose()
    }

    /// A number, or `default` if it is absent; an error if it is invalid.
    fn number_or(&self, name: &str, default: f64) -> Result<f64, String> {
        Ok(self.number(name)?.unwrap_or(default))
    }

    /// A finite time in seconds; an error if it is absent or invalid.
    fn require_seconds(&self, name: &str) -> Result<Seconds, String> {
        let value = self
            .number(name)?
            .ok_or_else(|| format!("expected the field {name}"))?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{name}: expected a finite time"))
        }
    }

    /// A flag, false if it is absent; an error for anything but `0`, `1`, `false` and `true`.
    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => Err(format!("{name}={value}: expected 1 or 0")),
        }
    }

    /// The items of a list of plain values; empty if it is absent.
    fn list(&self, name: &str) -> Vec<String> {
        let values = self.get(name).unwrap_or("").split(',');
        values
            .filter(|value| !value.is_empty())
            .map(str::to_string)
            .collect()
    }
}
