use std::fs::File;
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::Mutex;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::Value;
use tempfile::TempDir;

use crate::support::addresses::NodeAddresses;
use crate::support::wait_until;

/// Number of log lines of each node that are printed when its test fails.
const PRINTED_LOG_LINES: usize = 40;

/// A node that runs as a process. The process is killed and reaped on drop.
pub struct Daemon {
    pub name: String,
    pub addresses: NodeAddresses,
    pub settings: Value,
    pub folder: TempDir,
    child: Option<Child>,
}

impl Daemon {
    /// Prepares a node without starting its process.
    pub fn new(name: &str, addresses: NodeAddresses, settings: Value, folder: TempDir) -> Self {
        Self { name: name.into(), addresses, settings, folder, child: None }
    }

    pub fn data_dir(&self) -> PathBuf {
        self.folder.path().join("data")
    }

    fn log_path(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Returns the log of all processes of this node so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// Writes the settings file and starts the process.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} is already running", self.name);
        let path = self.folder.path().join("settings.json");
        serde_json::to_writer_pretty(File::create(&path).unwrap(), &self.settings).unwrap();
        let log = OpenOptions::new().create(true).append(true).open(self.log_path()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragond"));
        command.arg("run").arg(path).stdout(log.try_clone().unwrap()).stderr(log);
        self.child = Some(command.spawn().unwrap());
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the node is running").id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the node is running");
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits by itself.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let child = Mutex::new(self.child.as_mut().expect("the node is running"));
        let exit_status = async || child.lock().unwrap().try_wait().unwrap();
        let status = wait_until("the process exits", exit_status).await;
        self.child = None;
        status
    }
}

/// Describes the threads of a process: name, state and where it waits in the kernel. It tells a process
/// that is stopped from one that waits and one that runs without end.
fn describe_threads(process_id: u32) -> String {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{process_id}/task")) else {
        return "no process".into();
    };
    let describe = |folder: PathBuf| {
        let read = |file: &str| std::fs::read_to_string(folder.join(file)).unwrap_or_default();
        let status = read("status");
        let state = status.lines().find(|line| line.starts_with("State")).unwrap_or_default();
        format!(
            "{}: {state}, {}, run time {}",
            read("comm").trim(),
            read("wchan"),
            read("schedstat")
        )
    };
    threads.flatten().map(|thread| describe(thread.path())).collect()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let threads = match &self.child {
            Some(child) if std::thread::panicking() => describe_threads(child.id()),
            _ => String::new(),
        };
        self.kill();
        if std::thread::panicking() {
            let log = self.read_log();
            let lines: Vec<&str> = log.lines().collect();
            let last_lines = lines[lines.len().saturating_sub(PRINTED_LOG_LINES)..].join("\n");
            eprintln!("== threads of {}\n{threads}", self.name);
            eprintln!("== log of {}\n{last_lines}", self.name);
        }
    }
}
