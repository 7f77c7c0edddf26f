//! The wrapped calls of the C library.

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::atomic::{AtomicUsize, Ordering};

use libc::{clockid_t, epoll_event, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::rules::{self, Effect};

/// The C library's own address of a wrapped call, looked up once.
fn original(name: &CStr, cached: &AtomicUsize) -> usize {
    let known = cached.load(Ordering::Relaxed);
    if known != 0 {
        return known;
    }
    // SAFETY: `name` is a C string, and RTLD_NEXT names the libraries behind this one.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    assert!(found != 0, "the C library lacks {name:?}");
    cached.store(found, Ordering::Relaxed);
    found
}

fn set_errno(value: c_int) {
    // SAFETY: the C library gives the address of this thread's own variable.
    unsafe { *libc::__errno_location() = value };
}

fn path_of(fd: c_int) -> Option<String> {
    let path = std::fs::read_link(format!("/proc/self/fd/{fd}")).ok()?;
    Some(path.to_string_lossy().into_owned())
}

fn text_of(path: *const c_char) -> Option<String> {
    // SAFETY: callers of these calls hand over a C string.
    let text = unsafe { CStr::from_ptr(path) };
    Some(text.to_string_lossy().into_owned())
}

/// What a call on a descriptor meets; sockets and files are told apart by the rule's path.
fn meet(call: &str, fd: c_int) -> Option<Effect> {
    rules::current()?.select_effect(call, || path_of(fd))
}

/// Defines a wrapper: the name, its arguments, and what comes before the C library's own code. That part may end the
/// call with `return`.
macro_rules! wrap {
    ($name:ident($($arg:ident: $type:ty),*) -> $result:ty, $before:expr) => {
        /// Wraps the call of this name.
        ///
        /// # Safety
        /// As for the C library's own.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $result {
            static ADDRESS: AtomicUsize = AtomicUsize::new(0);
            let name = concat!(stringify!($name), "\0").as_bytes();
            let name = CStr::from_bytes_with_nul(name).expect("ends by a zero byte");
            let address = original(name, &ADDRESS);
            // SAFETY: the address is that of the C library's function with this signature.
            let own: unsafe extern "C" fn($($type),*) -> $result =
                unsafe { std::mem::transmute(address) };
            #[allow(clippy::redundant_closure_call)]
            ($before)(own)
        }
    };
}

/// A wrapper that either fails or is passed through.
macro_rules! failing {
    ($name:ident($fd:ident: $fd_type:ty $(, $arg:ident: $type:ty)*) -> $result:ty) => {
        wrap!($name($fd: $fd_type $(, $arg: $type)*) -> $result,
            |own: unsafe extern "C" fn($fd_type $(, $type)*) -> $result| {
                if let Some(Effect::Fail(error)) = meet(stringify!($name), $fd) {
                    set_errno(error);
                    return -1;
                }
                // SAFETY: the arguments are passed on as they came.
                unsafe { own($fd $(, $arg)*) }
            });
    };
}

/// A wrapper that moves bytes: it may fail, fail halfway, or handle fewer of them.
macro_rules! moving {
    ($name:ident($fd:ident: c_int, $buf:ident: $buf_type:ty, $len:ident: size_t
        $(, $arg:ident: $type:ty)*)) => {
        wrap!($name($fd: c_int, $buf: $buf_type, $len: size_t $(, $arg: $type)*) -> ssize_t,
            |own: unsafe extern "C" fn(c_int, $buf_type, size_t $(, $type)*) -> ssize_t| {
                let len = match meet(stringify!($name), $fd) {
                    Some(Effect::Fail(error)) => {
                        set_errno(error);
                        return -1;
                    }
                    Some(Effect::FailHalfway(error)) => {
                        // SAFETY: fewer bytes of the same buffer.
                        unsafe { own($fd, $buf, $len / 2 $(, $arg)*) };
                        set_errno(error);
                        return -1;
                    }
                    Some(Effect::Short(most)) => $len.min(most),
                    None => $len,
                };
                // SAFETY: no more bytes of the same buffer than the caller named.
                unsafe { own($fd, $buf, len $(, $arg)*) }
            });
    };
}

moving!(recv(fd: c_int, buf: *mut c_void, len: size_t, flags: c_int));
moving!(send(fd: c_int, buf: *const c_void, len: size_t, flags: c_int));
moving!(write(fd: c_int, buf: *const c_void, len: size_t));
moving!(pwrite64(fd: c_int, buf: *const c_void, len: size_t, at: off64_t));
failing!(fsync(fd: c_int) -> c_int);
failing!(fdatasync(fd: c_int) -> c_int);
failing!(ftruncate64(fd: c_int, len: off64_t) -> c_int);
failing!(connect(fd: c_int, address: *const sockaddr, len: socklen_t) -> c_int);
failing!(accept4(fd: c_int, address: *mut sockaddr, len: *mut socklen_t, flags: c_int) -> c_int);
failing!(epoll_wait(fd: c_int, events: *mut epoll_event, most: c_int, timeout: c_int) -> c_int);
failing!(socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int);

wrap!(writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t,
|own: unsafe extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t| {
    match meet("writev", fd) {
        Some(Effect::Fail(error) | Effect::FailHalfway(error)) => {
            set_errno(error);
            -1
        }
        Some(Effect::Short(most)) if count > 0 => {
            // SAFETY: the caller hands over `count` valid parts, so there is a first one.
            let first = unsafe { *parts };
            let short = libc::iovec { iov_len: first.iov_len.min(most), ..first };
            // SAFETY: a part of the caller's first part.
            unsafe { own(fd, &short, 1) }
        }
        // SAFETY: the arguments are passed on as they came.
        _ => unsafe { own(fd, parts, count) },
    }
});

wrap!(rename(from: *const c_char, to: *const c_char) -> c_int,
|own: unsafe extern "C" fn(*const c_char, *const c_char) -> c_int| {
    let effect = rules::current().and_then(|rules| rules.select_effect("rename", || text_of(to)));
    if let Some(Effect::Fail(error)) = effect {
        set_errno(error);
        return -1;
    }
    // SAFETY: the arguments are passed on as they came.
    unsafe { own(from, to) }
});

// The mode counts only where a file is made; it is passed on in any case.
wrap!(open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int,
|own: unsafe extern "C" fn(*const c_char, c_int, libc::mode_t) -> c_int| {
    let effect = rules::current().and_then(|rules| rules.select_effect("open", || text_of(path)));
    if let Some(Effect::Fail(error)) = effect {
        set_errno(error);
        return -1;
    }
    // SAFETY: the arguments are passed on as they came.
    unsafe { own(path, flags, mode) }
});

wrap!(clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int,
|own: unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int| {
    // SAFETY: the arguments are passed on as they came.
    let result = unsafe { own(clock, time) };
    let step = rules::current().map_or(0, |rules| rules.clock_step_nanos);
    if result == 0 && clock == libc::CLOCK_REALTIME && step != 0 {
        // SAFETY: the call has succeeded, so the caller's structure is there and filled.
        let time = unsafe { &mut *time };
        let nanos = time.tv_sec * 1_000_000_000 + time.tv_nsec + step;
        time.tv_sec = nanos.div_euclid(1_000_000_000);
        time.tv_nsec = nanos.rem_euclid(1_000_000_000);
    }
    result
});
