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

use crate::support::addresses::Addresses;
use crate::support::until;

/// Lines of a node's log that are printed when its test fails.
const LOG_LINES: usize = 40;

/// A node as a process. It is killed and waited for when dropped.
pub struct Daemon {
    pub name: String,
    pub at: Addresses,
    pub settings: Value,
    pub folder: TempDir,
    child: Option<Child>,
}

impl Daemon {
    /// Prepares a node; nothing runs yet.
    pub fn new(name: &str, at: Addresses, settings: Value, folder: TempDir) -> Self {
        Self { name: name.into(), at, settings, folder, child: None }
    }

    pub fn data_dir(&self) -> PathBuf {
        self.folder.path().join("data")
    }

    fn log_path(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// What all lives of the node have logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// Writes the settings file and starts the process.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} runs already", self.name);
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
        self.child.as_ref().expect("the node runs").id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the node runs");
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to end by itself.
    pub async fn exit(&mut self) -> ExitStatus {
        let child = Mutex::new(self.child.as_mut().expect("the node runs"));
        let ended = async || child.lock().unwrap().try_wait().unwrap();
        let status = until("the process ends", ended).await;
        self.child = None;
        status
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            let last = lines[lines.len().saturating_sub(LOG_LINES)..].join("\n");
            eprintln!("== log of {}\n{last}", self.name);
        }
    }
}
