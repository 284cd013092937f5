//! The replaced functions. Each makes the system call itself, so that none depends on the order in which
//! libraries are loaded.

use crate::injector::injector;
use crate::plan::{Call, Fault};
use libc::{c_char, c_int, c_void, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

const MS_PER_SECOND: i64 = 1_000;
const NANOS_PER_MS: i64 = 1_000_000;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

fn fault(call: Call) -> Option<Fault> {
    injector().and_then(|injector| injector.fault(call))
}

/// The error of this call, if it is to fail.
fn error(call: Call) -> Option<c_int> {
    match fault(call) {
        Some(Fault::Error(number)) => Some(number),
        _ => None,
    }
}

fn fail(number: c_int) -> c_int {
    // SAFETY: the location of the calling thread's error number is always valid.
    unsafe { *libc::__errno_location() = number };
    -1
}

/// Whether the descriptor is a socket of the internet family; pipes and sockets of the process itself are not.
fn is_internet_socket(fd: c_int) -> bool {
    // SAFETY: an all-zero address is a valid value of this plain structure.
    let mut address: libc::sockaddr_storage = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::sockaddr_storage>() as socklen_t;
    // SAFETY: both pointers lead to values on the stack, and the length is that of the structure.
    let result = unsafe { libc::syscall(libc::SYS_getsockname, fd, &raw mut address, &raw mut length) };
    result == 0 && c_int::from(address.ss_family) == libc::AF_INET
}

/// Whether the rules for files affect a path: it lies in their folder.
fn is_affected_path(path: *const c_char) -> bool {
    // SAFETY: the caller passes a string that ends with a zero byte, as the C library requires.
    let path = unsafe { std::ffi::CStr::from_ptr(path) };
    injector().is_some_and(|injector| injector.affects_path(path.to_bytes()))
}

/// Whether an open file lies there.
fn is_affected_file(fd: c_int) -> bool {
    injector().is_some_and(|injector| {
        injector.folder.is_some()
            && std::fs::read_link(format!("/proc/self/fd/{fd}"))
                .is_ok_and(|path| injector.affects_path(path.as_os_str().as_encoded_bytes()))
    })
}

/// How many bytes are written to a file, or the error.
fn limited_file_write(fd: c_int, length: size_t) -> Result<size_t, c_int> {
    match is_affected_file(fd).then(|| fault(Call::Write)).flatten() {
        Some(Fault::Error(number)) => Err(number),
        Some(Fault::Short) => Ok(length.div_ceil(2)),
        _ => Ok(length),
    }
}

/// # Safety
/// As `accept4` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    // SAFETY: the arguments are the caller's.
    let accept = || unsafe { libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int };
    match error(Call::Accept) {
        // The connection was closed before it was accepted.
        Some(number @ libc::ECONNABORTED) => match accept() {
            -1 => -1,
            accepted => {
                // SAFETY: the descriptor was returned just now, and nobody else knows it.
                unsafe { libc::syscall(libc::SYS_close, accepted) };
                fail(number)
            }
        },
        Some(number) => fail(number),
        None => accept(),
    }
}

/// # Safety
/// As `socket` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET
        && let Some(number) = error(Call::Socket)
    {
        return fail(number);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// # Safety
/// As `connect` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the arguments are the caller's.
    let connect = || unsafe { libc::syscall(libc::SYS_connect, fd, address, length) as c_int };
    match error(Call::Connect) {
        // An interrupted connect goes on by itself.
        Some(number @ libc::EINTR) => {
            connect();
            fail(number)
        }
        Some(number) => fail(number),
        None => connect(),
    }
}

/// # Safety
/// As `getsockopt` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    length: *mut socklen_t,
) -> c_int {
    // SAFETY: the arguments are the caller's.
    let result = unsafe { libc::syscall(libc::SYS_getsockopt, fd, level, name, value, length) as c_int };
    if result == 0
        && (level, name) == (libc::SOL_SOCKET, libc::SO_ERROR)
        && let Some(number) = error(Call::SocketError)
    {
        // SAFETY: the error of a socket is an integer, and the kernel has just written one there.
        unsafe { value.cast::<c_int>().write_unaligned(number) };
    }
    result
}

/// How many bytes are transferred, or the error.
fn limited(call: Call, fd: c_int, length: size_t) -> Result<size_t, c_int> {
    if !is_internet_socket(fd) {
        return Ok(length);
    }
    match fault(call) {
        Some(Fault::Error(number)) => Err(number),
        Some(Fault::Short) => Ok((length / 2).clamp(length.min(1), 7)),
        _ => Ok(length),
    }
}

/// A connection that failed is of no further use to either side.
fn fail_connection(fd: c_int, number: c_int) -> ssize_t {
    if !matches!(number, libc::EINTR | libc::ENOBUFS | libc::ENOMEM) {
        // SAFETY: the descriptor is the caller's.
        unsafe { libc::syscall(libc::SYS_shutdown, fd, libc::SHUT_RDWR) };
    }
    fail(number) as ssize_t
}

/// # Safety
/// As `recv` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match limited(Call::Receive, fd, length) {
        Ok(length) => length,
        Err(number) => return fail_connection(fd, number),
    };
    let nowhere = std::ptr::null::<c_void>();
    // SAFETY: the arguments are the caller's, with a length that is no greater.
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, buffer, length, flags, nowhere, nowhere) as ssize_t }
}

/// # Safety
/// As `send` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match limited(Call::Send, fd, length) {
        Ok(length) => length,
        Err(number) => return fail_connection(fd, number),
    };
    let nowhere = std::ptr::null::<c_void>();
    // SAFETY: the arguments are the caller's, with a length that is no greater.
    unsafe { libc::syscall(libc::SYS_sendto, fd, buffer, length, flags, nowhere, 0) as ssize_t }
}

/// # Safety
/// As `epoll_wait` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    if let Some(number) = error(Call::Wait) {
        return fail(number);
    }
    let no_mask = std::ptr::null::<c_void>();
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, fd, events, max_events, timeout_ms, no_mask, 0) as c_int }
}

/// # Safety
/// As `clock_gettime` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, now: *mut timespec) -> c_int {
    // SAFETY: the arguments are the caller's.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, now) as c_int };
    if result == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(Fault::Step(ms)) = fault(Call::WallClock)
    {
        // SAFETY: the kernel has just written a time there.
        let now = unsafe { &mut *now };
        let nanos = now.tv_nsec + ms % MS_PER_SECOND * NANOS_PER_MS;
        now.tv_sec += ms / MS_PER_SECOND + nanos.div_euclid(NANOS_PER_SECOND);
        now.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}

/// # Safety
/// As `open64` of the C library with a mode.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if flags & libc::O_ACCMODE != libc::O_RDONLY
        && is_affected_path(path)
        && let Some(number) = error(Call::Open)
    {
        return fail(number);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}

/// # Safety
/// As `write` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let length = match limited_file_write(fd, length) {
        Ok(length) => length,
        Err(number) => return fail(number) as ssize_t,
    };
    // SAFETY: the arguments are the caller's, with a length that is no greater.
    unsafe { libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t }
}

/// # Safety
/// As `pwrite64` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    fd: c_int,
    buffer: *const c_void,
    length: size_t,
    offset: libc::off64_t,
) -> ssize_t {
    let length = match limited_file_write(fd, length) {
        Ok(length) => length,
        Err(number) => return fail(number) as ssize_t,
    };
    // SAFETY: the arguments are the caller's, with a length that is no greater.
    unsafe { libc::syscall(libc::SYS_pwrite64, fd, buffer, length, offset) as ssize_t }
}

/// # Safety
/// As `fdatasync` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if is_affected_file(fd)
        && let Some(number) = error(Call::Sync)
    {
        return fail(number);
    }
    // SAFETY: the argument is the caller's.
    unsafe { libc::syscall(libc::SYS_fdatasync, fd) as c_int }
}

/// # Safety
/// As `rename` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if is_affected_path(from)
        && let Some(number) = error(Call::Rename)
    {
        return fail(number);
    }
    // SAFETY: the arguments are the caller's.
    unsafe { libc::syscall(libc::SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0) as c_int }
}
