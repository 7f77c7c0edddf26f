//! Wrappers around calls of the C library.

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::atomic::{AtomicUsize, Ordering};

use libc::{clockid_t, epoll_event, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::rules::{self, Effect};

/// The address of the C library's own function, looked up once.
fn original_address(name: &CStr, cached: &AtomicUsize) -> usize {
    let known_address = cached.load(Ordering::Relaxed);
    if known_address != 0 {
        return known_address;
    }
    // SAFETY: `name` is a C string, and RTLD_NEXT selects the libraries loaded after this one.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    assert!(address != 0, "the C library lacks {name:?}");
    cached.store(address, Ordering::Relaxed);
    address
}

fn set_errno(value: c_int) {
    // SAFETY: the C library returns the address of the calling thread's `errno`.
    unsafe { *libc::__errno_location() = value };
}

fn descriptor_path(fd: c_int) -> Option<String> {
    let path = std::fs::read_link(format!("/proc/self/fd/{fd}")).ok()?;
    Some(path.to_string_lossy().into_owned())
}

fn path_argument(path: *const c_char) -> Option<String> {
    // SAFETY: the wrapped calls require a valid C string.
    let text = unsafe { CStr::from_ptr(path) };
    Some(text.to_string_lossy().into_owned())
}

/// The effect that applies to a call on a descriptor. A rule's path distinguishes sockets from files.
fn select_effect(call: &str, fd: c_int) -> Option<Effect> {
    rules::current()?.select_effect(call, || descriptor_path(fd))
}

/// Defines a wrapper from the name, the arguments and a closure that receives the C library's own function. The closure
/// may return early instead of calling it.
macro_rules! wrap {
    ($name:ident($($arg:ident: $type:ty),*) -> $result:ty, $body:expr) => {
        /// Wraps the C library's function of this name.
        ///
        /// # Safety
        /// The requirements of the C library's function apply.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $result {
            static ADDRESS: AtomicUsize = AtomicUsize::new(0);
            let name = concat!(stringify!($name), "\0").as_bytes();
            let name = CStr::from_bytes_with_nul(name).expect("the name ends with a zero byte");
            let address = original_address(name, &ADDRESS);
            // SAFETY: the address is that of the C library's function, which has this signature.
            let original: unsafe extern "C" fn($($type),*) -> $result =
                unsafe { std::mem::transmute(address) };
            #[allow(clippy::redundant_closure_call)]
            ($body)(original)
        }
    };
}

/// A wrapper that either fails or passes the call through.
macro_rules! failing {
    ($name:ident($fd:ident: $fd_type:ty $(, $arg:ident: $type:ty)*) -> $result:ty) => {
        wrap!($name($fd: $fd_type $(, $arg: $type)*) -> $result,
            |original: unsafe extern "C" fn($fd_type $(, $type)*) -> $result| {
                if let Some(Effect::Fail(error)) = select_effect(stringify!($name), $fd) {
                    set_errno(error);
                    return -1;
                }
                // SAFETY: the arguments are passed through unchanged.
                unsafe { original($fd $(, $arg)*) }
            });
    };
}

/// A wrapper of a call that transfers bytes: it may fail, fail halfway, or transfer fewer of them.
macro_rules! transferring {
    ($name:ident($fd:ident: c_int, $buf:ident: $buf_type:ty, $len:ident: size_t
        $(, $arg:ident: $type:ty)*)) => {
        wrap!($name($fd: c_int, $buf: $buf_type, $len: size_t $(, $arg: $type)*) -> ssize_t,
            |original: unsafe extern "C" fn(c_int, $buf_type, size_t $(, $type)*) -> ssize_t| {
                let len = match select_effect(stringify!($name), $fd) {
                    Some(Effect::Fail(error)) => {
                        set_errno(error);
                        return -1;
                    }
                    Some(Effect::FailHalfway(error)) => {
                        // SAFETY: fewer bytes of the same buffer.
                        unsafe { original($fd, $buf, $len / 2 $(, $arg)*) };
                        set_errno(error);
                        return -1;
                    }
                    Some(Effect::Short(max_bytes)) => $len.min(max_bytes),
                    None => $len,
                };
                // SAFETY: no more bytes of the same buffer than the caller passed.
                unsafe { original($fd, $buf, len $(, $arg)*) }
            });
    };
}

transferring!(recv(fd: c_int, buf: *mut c_void, len: size_t, flags: c_int));
transferring!(send(fd: c_int, buf: *const c_void, len: size_t, flags: c_int));
transferring!(write(fd: c_int, buf: *const c_void, len: size_t));
transferring!(pwrite64(fd: c_int, buf: *const c_void, len: size_t, offset: off64_t));
failing!(fsync(fd: c_int) -> c_int);
failing!(fdatasync(fd: c_int) -> c_int);
failing!(ftruncate64(fd: c_int, len: off64_t) -> c_int);
failing!(connect(fd: c_int, address: *const sockaddr, len: socklen_t) -> c_int);
failing!(accept4(fd: c_int, address: *mut sockaddr, len: *mut socklen_t, flags: c_int) -> c_int);
failing!(epoll_wait(fd: c_int, events: *mut epoll_event, max_events: c_int, timeout: c_int) -> c_int);
failing!(socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int);

wrap!(writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t,
|original: unsafe extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t| {
    match select_effect("writev", fd) {
        Some(Effect::Fail(error) | Effect::FailHalfway(error)) => {
            set_errno(error);
            -1
        }
        Some(Effect::Short(max_bytes)) if count > 0 => {
            // SAFETY: the caller passes `count` valid parts, so there is a first one.
            let first = unsafe { *parts };
            let short = libc::iovec { iov_len: first.iov_len.min(max_bytes), ..first };
            // SAFETY: a prefix of the caller's first part.
            unsafe { original(fd, &short, 1) }
        }
        // SAFETY: the arguments are passed through unchanged.
        _ => unsafe { original(fd, parts, count) },
    }
});

wrap!(rename(from: *const c_char, to: *const c_char) -> c_int,
|original: unsafe extern "C" fn(*const c_char, *const c_char) -> c_int| {
    let effect = rules::current().and_then(|rules| rules.select_effect("rename", || path_argument(to)));
    if let Some(Effect::Fail(error)) = effect {
        set_errno(error);
        return -1;
    }
    // SAFETY: the arguments are passed through unchanged.
    unsafe { original(from, to) }
});

// The mode is used only when a file is created; it is passed through in any case.
wrap!(open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int,
|original: unsafe extern "C" fn(*const c_char, c_int, libc::mode_t) -> c_int| {
    let effect = rules::current().and_then(|rules| rules.select_effect("open", || path_argument(path)));
    if let Some(Effect::Fail(error)) = effect {
        set_errno(error);
        return -1;
    }
    // SAFETY: the arguments are passed through unchanged.
    unsafe { original(path, flags, mode) }
});

wrap!(clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int,
|original: unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int| {
    // SAFETY: the arguments are passed through unchanged.
    let result = unsafe { original(clock, time) };
    let step = rules::current().map_or(0, |rules| rules.clock_step_nanos);
    if result == 0 && clock == libc::CLOCK_REALTIME && step != 0 {
        // SAFETY: the call has succeeded, so the caller's structure is valid and filled.
        let time = unsafe { &mut *time };
        let nanos = time.tv_sec * 1_000_000_000 + time.tv_nsec + step;
        time.tv_sec = nanos.div_euclid(1_000_000_000);
        time.tv_nsec = nanos.rem_euclid(1_000_000_000);
    }
    result
});
