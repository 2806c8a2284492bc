use crate::support::Daemon;

/// Most memory that a process may take, in KiB: the target of docs/design.md, section 1.4.
pub const MAX_MEMORY_KIB: u64 = 128 * 1_024;

/// Most memory that a process has taken so far, in KiB.
pub fn peak_memory_kib(node: &Daemon) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.pid())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
