use std::path::Path;

use error_stack::Report;
use tarragon_consensus::storage::replace_file;
use tarragon_consensus::storage::StorageError;

/// Name of the file in the data directory of a founder.
const FILE_NAME: &str = "first-start";

/// Whether this process belongs to the first start of the deployment, also if an earlier process of the
/// host was told so and ended before the log was formed.
///
/// The settings tell it to the first process only. A founder that was killed at once could otherwise
/// never form the log, and no other one may. A host that has lost its disk does not have the file. It
/// stays without effect once the log exists, see [`crate::replica::ReplicaSupervisor`].
///
/// # Errors
/// The file cannot be written.
pub fn remember_first_start(
    data_dir: &Path,
    is_first_start: bool,
) -> Result<bool, Report<StorageError>> {
    let is_remembered = data_dir.join(FILE_NAME).exists();
    if is_first_start && !is_remembered {
        replace_file(data_dir, FILE_NAME, b"")?;
    }
    Ok(is_first_start || is_remembered)
}
