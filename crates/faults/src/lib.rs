//! Fault injection for system calls.
//!
//! The shared object is loaded into one process under test with `LD_PRELOAD`. It wraps calls of the C library and
//! makes some of them fail according to the rules of a control file, whose path is in `VIOLETWIND_FAULTS`. Without that
//! variable every call is passed through. A test may replace the file at any time; the library writes the file's
//! first line to `PATH.seen` once its rules are in force.
//!
//! Calls that a program makes without the C library (rustix on Linux, the vDSO used directly) are not intercepted.

mod calls;
mod rules;
mod watch;
